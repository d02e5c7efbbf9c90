#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_RANDOM_HISTORY_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_RANDOM_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "step.h"

namespace papayadrift::run_histories {

inline constexpr size_t kHistorySteps = 40;

// Returns the history of this number, the same at each call.
History RandomHistory(uint64_t seed, uint64_t number);
// Returns a history made of one or two of `corpus` by changing some steps. The
// same corpus, seed and number always give the same one. Requires a corpus.
History MutatedHistory(const std::vector<History>& corpus,
                       uint64_t seed,
                       uint64_t number);

// Returns whether a history still breaks the rule in question.
using IsBroken = std::function<bool(const History&)>;

// Leaves out steps, and shortens times, as long as the rule stays broken.
History Shrink(History history, const IsBroken& is_broken);

// Returns the name of the rule that a violation breaks.
std::string RuleOf(const std::string& violation);

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_RANDOM_HISTORY_H_
