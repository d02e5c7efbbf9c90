#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_PARALLEL_SEARCH_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_PARALLEL_SEARCH_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include "base/clock.h"
#include "search.h"

namespace papayadrift::run_histories {

struct ParallelSearchSettings {
  uint64_t seed = 1;
  uint64_t first = 0;      // Number of the first history.
  uint64_t histories = 0;  // 0: no limit.
  size_t threads = 1;
  Instant deadline;  // No history begins after it.

  friend bool operator==(const ParallelSearchSettings&,
                         const ParallelSearchSettings&) = default;
};

// Plays the random histories of a seed in the order of their numbers, several
// at a time. What a number stands for doesn't depend on the threads, nor does
// the result, unless time runs out: the lowest number that breaks a rule.
class ParallelSearch {
 public:
  // Is called now and then, by one thread at a time.
  using OnProgress = std::function<void(const SearchTotals&)>;

  ParallelSearch(const ParallelSearchSettings& settings,
                 const Clock& clock,
                 OnProgress on_progress);

  // Returns the number of the history that breaks a rule, if one does.
  std::optional<uint64_t> Run();
  const SearchTotals& totals() const { return totals_; }

 private:
  void Work();
  bool MayPlay(uint64_t number) const;
  void Add(const SearchTotals& totals);

  const ParallelSearchSettings settings_;
  const Clock& clock_;
  const OnProgress on_progress_;
  std::atomic<uint64_t> next_;
  std::atomic<uint64_t> lowest_broken_;
  std::mutex mutex_;
  SearchTotals totals_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_PARALLEL_SEARCH_H_
