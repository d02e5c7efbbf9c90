#ifndef PAPAYADRIFT_OUTCOMES_OUTCOME_H_
#define PAPAYADRIFT_OUTCOMES_OUTCOME_H_

#include <cstddef>
#include <string>
#include <variant>

#include "base/refusal.h"

namespace papayadrift::outcomes {

// The caller was given a whole answer in time.
struct Answered {
  friend bool operator==(const Answered&, const Answered&) = default;
};

// The caller was told that there is no answer, and why.
struct Refused {
  RefusalReason reason = RefusalReason::kOverloaded;

  friend bool operator==(const Refused&, const Refused&) = default;
};

// The caller went away before there was an answer.
struct CallerVanished {
  friend bool operator==(const CallerVanished&,
                         const CallerVanished&) = default;
};

// How a request or attempt ended.
using Ending = std::variant<Answered, Refused, CallerVanished>;

struct Outcome {
  Ending ending;
  Ran ran = Ran::kYes;

  friend bool operator==(const Outcome&, const Outcome&) = default;
};

// Returns the name used in the record: "answered", "caller_vanished" or the
// text of a RefusalReason.
std::string ToText(const Ending& ending);

// Numbers all outcomes without gaps, for arrays of counts.
size_t OutcomeCount();
size_t IndexOf(const Outcome& outcome);
Outcome OutcomeAt(size_t index);

}  // namespace papayadrift::outcomes

#endif  // PAPAYADRIFT_OUTCOMES_OUTCOME_H_
