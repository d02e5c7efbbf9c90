#include "guard/slot_gate.h"

#include <utility>

namespace papayadrift::guard {

SlotGate::Pass::Pass(Pass&& other) noexcept
    : gate_(std::exchange(other.gate_, nullptr)) {}

SlotGate::Pass::~Pass() {
  if (gate_ != nullptr) {
    --gate_->in_use_;
  }
}

std::optional<SlotGate::Pass> SlotGate::Enter() {
  int64_t in_use = in_use_.load();
  while (in_use < slots_) {
    if (in_use_.compare_exchange_weak(in_use, in_use + 1)) {
      return Pass(*this);
    }
  }
  return std::nullopt;
}

}  // namespace papayadrift::guard
