#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_COVERAGE_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_COVERAGE_H_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace papayadrift::run_histories {

// What happened in one history: which log events of its processes followed each
// other, as a hash of each two in a row.
class Coverage {
 public:
  // `event` names the process and what it logged.
  void OnEvent(uint64_t event);

  const std::vector<uint32_t>& features() const { return features_; }

 private:
  std::vector<uint32_t> features_;
  uint64_t last_ = 0;
};

// What happened in any history so far.
class TotalCoverage {
 public:
  // Returns whether the history has something new.
  bool Add(const Coverage& coverage);

 private:
  static constexpr size_t kFeatures = 1U << 20U;

  std::bitset<kFeatures> seen_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_COVERAGE_H_
