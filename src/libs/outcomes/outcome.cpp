#include "outcomes/outcome.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace papayadrift::outcomes {

namespace {

constexpr size_t kRanValues = 3;
// Endings without a reason come first.
constexpr size_t kAnsweredIndex = 0;
constexpr size_t kVanishedIndex = 1;
constexpr size_t kFirstReasonIndex = 2;

struct EndingText {
  std::string operator()(const Answered&) const { return "answered"; }
  std::string operator()(const Refused& refused) const {
    return std::string(papayadrift::ToText(refused.reason));
  }
  std::string operator()(const CallerVanished&) const {
    return "caller_vanished";
  }
};

struct EndingIndex {
  size_t operator()(const Answered&) const { return kAnsweredIndex; }
  size_t operator()(const Refused& refused) const {
    const auto all = AllRefusalReasons();
    const auto it = std::ranges::find(all, refused.reason);
    return kFirstReasonIndex +
           static_cast<size_t>(std::distance(all.begin(), it));
  }
  size_t operator()(const CallerVanished&) const { return kVanishedIndex; }
};

Ending EndingAt(size_t index) {
  if (index == kAnsweredIndex) {
    return Answered();
  }
  if (index == kVanishedIndex) {
    return CallerVanished();
  }
  return Refused{AllRefusalReasons()[index - kFirstReasonIndex]};
}

}  // namespace

std::string ToText(const Ending& ending) {
  return std::visit(EndingText(), ending);
}

size_t OutcomeCount() {
  return (kFirstReasonIndex + AllRefusalReasons().size()) * kRanValues;
}

size_t IndexOf(const Outcome& outcome) {
  return std::visit(EndingIndex(), outcome.ending) * kRanValues +
         static_cast<size_t>(outcome.ran);
}

Outcome OutcomeAt(size_t index) {
  assert(index < OutcomeCount());
  return {EndingAt(index / kRanValues), static_cast<Ran>(index % kRanValues)};
}

}  // namespace papayadrift::outcomes
