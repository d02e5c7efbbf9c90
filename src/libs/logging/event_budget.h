#ifndef PAPAYADRIFT_LOGGING_EVENT_BUDGET_H_
#define PAPAYADRIFT_LOGGING_EVENT_BUDGET_H_

#include <atomic>
#include <cstdint>

#include "base/instant.h"

namespace papayadrift::logging {

struct EventBudgetSettings {
  // Lines of one event that may be written per second for long, and at once
  // after a quiet time.
  int64_t lines_per_second = 100;
  int64_t burst_lines = 500;

  friend bool operator==(const EventBudgetSettings&,
                         const EventBudgetSettings&) = default;
};

// How many lines of one event may be written: a token bucket. Safe to share
// between threads, takes no lock.
class EventBudget {
 public:
  explicit EventBudget(const EventBudgetSettings& settings = {});

  // Takes a token, or counts the line as left out and returns false.
  bool TryTake(Instant now);

  // Returns how many lines were left out since this was called last.
  uint64_t TakeLeftOut() { return left_out_.exchange(0); }
  // Lines left out in all.
  uint64_t left_out_count() const { return left_out_count_; }

 private:
  const microseconds interval_;  // Between two lines for long.
  const microseconds depth_;     // How far `full_at_` may be ahead of now.
  // When the bucket is full again, as microseconds of an Instant.
  std::atomic<int64_t> full_at_{INT64_MIN};
  std::atomic<uint64_t> left_out_{0};
  std::atomic<uint64_t> left_out_count_{0};
};

}  // namespace papayadrift::logging

#endif  // PAPAYADRIFT_LOGGING_EVENT_BUDGET_H_
