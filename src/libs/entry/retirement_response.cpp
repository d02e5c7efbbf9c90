#include "entry/retirement_response.h"

#include <optional>
#include <variant>

#include "entry/json_response_p.h"
#include "entry/refusal_response.h"

namespace papayadrift::entry {

namespace {

constexpr int kOk = 200;

// What operators are told when an entry was not lapsed on their word.
struct RetirementRefusal {
  const Clock& clock;

  std::optional<Refusal> operator()(const EntryLapsedByWord&) const {
    return std::nullopt;
  }
  std::optional<Refusal> operator()(const EntryNotFound&) const {
    return NotRun(RefusalReason::kEntryUnknown,
                  "There is no such member in this incarnation.");
  }
  std::optional<Refusal> operator()(const EntryStillHeard&) const {
    return NotRun(RefusalReason::kEntryHeard,
                  "The entry is heard, or not silent for long enough yet.");
  }
  std::optional<Refusal> operator()(const RetirerNotMember&) const {
    return NotRun(RefusalReason::kNotReady,
                  "This entry is no member itself; ask another one.");
  }
  std::optional<Refusal> operator()(const RetirementLogDown&) const {
    return NotRun(RefusalReason::kLogUnavailable, "Nothing was recorded.");
  }
  std::optional<Refusal> operator()(const RetirementUnknown&) const {
    return Refusal{RefusalReason::kLogUnavailable, Ran::kUnknown,
                   "Whether it was recorded is not known yet; see status.",
                   std::nullopt};
  }
  std::optional<Refusal> operator()(const RetirementNotBefore& kept) const {
    Refusal refusal = NotRun(RefusalReason::kNotReady,
                             "A promise to another entry still holds.");
    refusal.retry_at = clock.WallNow() +
                       std::chrono::ceil<milliseconds>(kept.at - clock.Now());
    return refusal;
  }
};

}  // namespace

http::Response ResponseToRetirement(const lease::MemberKey& member,
                                    const RetirementOutcome& outcome,
                                    const Clock& clock) {
  if (const auto refusal = std::visit(RetirementRefusal{clock}, outcome)) {
    return ResponseTo(*refusal, clock.WallNow());
  }
  return JsonResponse(kOk, {{"entry", member.entry.text()},
                            {"incarnation", member.incarnation.value()},
                            {"state", "lapsed"}});
}

}  // namespace papayadrift::entry
