#include "search.h"

#include <algorithm>

#include "random_history.h"
#include "world.h"

namespace papayadrift::run_histories {

void SearchTotals::Add(const SearchTotals& other) {
  histories += other.histories;
  states += other.states;
  longest = std::max(longest, other.longest);
}

bool BreaksRule(uint64_t seed, uint64_t number, SearchTotals& totals) {
  const Outcome outcome =
      Play(RandomHistory(seed, number), number % kSettledPart == 0);
  totals.Add({1, outcome.states, outcome.span});
  return outcome.violation.has_value();
}

Finding FindShortest(uint64_t seed, uint64_t number) {
  const History history = RandomHistory(seed, number);
  const bool settles = number % kSettledPart == 0;
  const std::string rule = RuleOf(*Play(history, settles).violation);
  const History shortest = Shrink(history, [&](const History& trial) {
    const auto found = Play(trial, settles).violation;
    return found && RuleOf(*found) == rule;
  });
  return {number, *Play(shortest, settles).violation, shortest, settles};
}

std::optional<Finding> Search(uint64_t seed,
                              uint64_t number,
                              SearchTotals& totals) {
  return BreaksRule(seed, number, totals)
             ? std::optional(FindShortest(seed, number))
             : std::nullopt;
}

std::string Describe(const Finding& finding) {
  std::string text = "history " + std::to_string(finding.number) + ", " +
                     std::to_string(finding.history.size()) +
                     " steps: " + finding.violation + "\n";
  Play(finding.history, finding.settles,
       [&](const std::string& line) { text += line + "\n"; });
  return text + ToTest(finding.history);
}

}  // namespace papayadrift::run_histories
