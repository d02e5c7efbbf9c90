#include "coverage.h"

namespace papayadrift::run_histories {
namespace {

uint64_t Combine(uint64_t left, uint64_t right) {
  // From splitmix64.
  uint64_t mixed = left * 0x9E3779B97F4A7C15U + right;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
  return mixed ^ (mixed >> 31U);
}

}  // namespace

void Coverage::OnEvent(uint64_t event) {
  features_.push_back(static_cast<uint32_t>(Combine(last_, event)));
  last_ = event;
}

bool TotalCoverage::Add(const Coverage& coverage) {
  bool has_new = false;
  for (const uint32_t feature : coverage.features()) {
    auto seen = seen_[feature % kFeatures];
    has_new |= !seen;
    seen = true;
  }
  return has_new;
}

}  // namespace papayadrift::run_histories
