#include "search.h"

#include <algorithm>

#include "random_history.h"
#include "world.h"

namespace papayadrift::run_histories {

std::optional<Finding> Search(uint64_t seed,
                              uint64_t number,
                              SearchTotals& totals) {
  const History history = RandomHistory(seed, number);
  const bool settles = number % kSettledPart == 0;
  const Outcome outcome = Play(history, settles);
  ++totals.histories;
  totals.states += outcome.states;
  totals.longest = std::max(totals.longest, outcome.span);
  if (!outcome.violation) {
    return std::nullopt;
  }
  const std::string rule = RuleOf(*outcome.violation);
  const History shortest = Shrink(history, [&](const History& trial) {
    const auto found = Play(trial, settles).violation;
    return found && RuleOf(*found) == rule;
  });
  return Finding{number, *Play(shortest, settles).violation, shortest, settles};
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
