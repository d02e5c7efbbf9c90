#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_SEARCH_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_SEARCH_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/instant.h"
#include "coverage.h"
#include "step.h"

namespace papayadrift::run_histories {

// Every so many histories are also played to their end.
inline constexpr uint64_t kSettledPart = 8;

struct Finding {
  uint64_t number = 0;  // Of the history.
  std::string violation;
  History history;  // The shortest that was found.
  bool settles = false;

  friend bool operator==(const Finding&, const Finding&) = default;
};

// What has been searched.
struct SearchTotals {
  uint64_t histories = 0;
  uint64_t states = 0;
  milliseconds longest{0};  // Simulated time of one history.
  uint64_t corpus = 0;      // Histories in which something new happened.

  void Add(const SearchTotals& other);

  friend bool operator==(const SearchTotals&, const SearchTotals&) = default;
};

struct SearchSettings {
  uint64_t seed = 1;
  uint64_t histories = 0;  // At most; 0: no limit.
  size_t threads = 1;
  Instant deadline = Instant::max();  // No history begins after it.
  // Whether half of the histories are changed ones of those before in which
  // something new happened.
  bool is_guided = true;

  friend bool operator==(const SearchSettings&,
                         const SearchSettings&) = default;
};

// Plays the histories of a seed in the order of their numbers, several at a
// time. What a number stands for depends on neither the threads nor the time,
// and so does the result: the lowest number that breaks a rule, if it is
// reached.
class Search {
 public:
  // Is called now and then, by the thread that runs the search.
  using OnProgress = std::function<void(const SearchTotals&)>;

  Search(const SearchSettings& settings,
         const Clock& clock,
         OnProgress on_progress = nullptr);

  // Returns what a history breaks, with the history made as short as possible;
  // nothing if none of them does.
  std::optional<Finding> Run();
  const SearchTotals& totals() const { return totals_; }

 private:
  struct Result {
    History history;
    Coverage coverage;
    SearchTotals totals;
    std::optional<std::string> violation;
    bool is_played = false;
  };

  History HistoryOf(uint64_t number) const;
  // Plays the histories of one generation, which all rest on the same corpus.
  std::vector<Result> PlayGeneration(uint64_t first, size_t count);
  void PlaySome(uint64_t first,
                std::vector<Result>& results,
                std::atomic<size_t>& next) const;
  Result PlayOne(uint64_t number) const;

  const SearchSettings settings_;
  const Clock& clock_;
  const OnProgress on_progress_;
  SearchTotals totals_;
  TotalCoverage coverage_;
  std::vector<History> corpus_;
};

// Returns the finding with a trace of what happens in it, and as a test.
std::string Describe(const Finding& finding);

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_SEARCH_H_
