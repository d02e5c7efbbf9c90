#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_SEARCH_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_SEARCH_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/instant.h"
#include "step.h"

namespace papayadrift::run_histories {

// Every so many histories are also played to their end.
inline constexpr uint64_t kSettledPart = 8;

struct Finding {
  uint64_t number = 0;  // Of the random history.
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

  void Add(const SearchTotals& other);

  friend bool operator==(const SearchTotals&, const SearchTotals&) = default;
};

// Plays the random history of this number and adds it to `totals`; returns
// whether it breaks a rule.
bool BreaksRule(uint64_t seed, uint64_t number, SearchTotals& totals);
// Returns what the random history of this number breaks, with the history made
// as short as possible. Requires that it breaks a rule.
Finding FindShortest(uint64_t seed, uint64_t number);
// Both of them.
std::optional<Finding> Search(uint64_t seed,
                              uint64_t number,
                              SearchTotals& totals);
// Returns the finding with a trace of what happens in it, and as a test.
std::string Describe(const Finding& finding);

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_SEARCH_H_
