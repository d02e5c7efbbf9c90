#ifndef PAPAYADRIFT_GUARD_SLOT_GATE_H_
#define PAPAYADRIFT_GUARD_SLOT_GATE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace papayadrift::guard {

// Lets at most a number of requests through at a time. Takes no lock. Must
// outlive its passes.
class SlotGate {
 public:
  // Holds a slot until it is destroyed.
  class Pass {
   public:
    explicit Pass(SlotGate& gate) : gate_(&gate) {}
    Pass(Pass&& other) noexcept;
    Pass& operator=(Pass&&) = delete;
    ~Pass();

   private:
    SlotGate* gate_;
  };

  explicit SlotGate(int64_t slots) : slots_(slots) {}

  // Returns a slot, or nothing when all are taken.
  std::optional<Pass> Enter();

  int64_t in_use() const { return in_use_; }
  int64_t slots() const { return slots_; }

 private:
  const int64_t slots_;
  std::atomic<int64_t> in_use_{0};
};

}  // namespace papayadrift::guard

#endif  // PAPAYADRIFT_GUARD_SLOT_GATE_H_
