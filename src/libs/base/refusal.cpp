#include "base/refusal.h"

#include <algorithm>
#include <array>
#include <utility>

namespace papayadrift {

namespace {

using NamedReason = std::pair<RefusalReason, std::string_view>;

constexpr auto kNamedReasons = std::to_array<NamedReason>({
    {RefusalReason::kAnswerTooLarge, "answer_too_large"},
    {RefusalReason::kAnswerTruncated, "answer_truncated"},
    {RefusalReason::kBackendFailed, "backend_failed"},
    {RefusalReason::kBackendTimedOut, "backend_timed_out"},
    {RefusalReason::kBadRequest, "bad_request"},
    {RefusalReason::kBodyTooLarge, "body_too_large"},
    {RefusalReason::kConfigurationInvalid, "configuration_invalid"},
    {RefusalReason::kConnectionLost, "connection_lost"},
    {RefusalReason::kDeadlinePassed, "deadline_passed"},
    {RefusalReason::kDeadlineTooClose, "deadline_too_close"},
    {RefusalReason::kEntryLost, "entry_lost"},
    {RefusalReason::kJobCancelled, "job_cancelled"},
    {RefusalReason::kJobFailedEverywhere, "job_failed_everywhere"},
    {RefusalReason::kJobFitsNowhere, "job_fits_nowhere"},
    {RefusalReason::kJobUnknown, "job_unknown"},
    {RefusalReason::kKeyInProgress, "key_in_progress"},
    {RefusalReason::kKeyMissing, "key_missing"},
    {RefusalReason::kKeyOutsideWindow, "key_outside_window"},
    {RefusalReason::kLogUnavailable, "log_unavailable"},
    {RefusalReason::kNoRunner, "no_runner"},
    {RefusalReason::kNotReady, "not_ready"},
    {RefusalReason::kOverloaded, "overloaded"},
    {RefusalReason::kQuotaExceeded, "quota_exceeded"},
    {RefusalReason::kRateLimited, "rate_limited"},
    {RefusalReason::kServiceUnknown, "service_unknown"},
    {RefusalReason::kStopping, "stopping"},
    {RefusalReason::kUnauthorized, "unauthorized"},
    {RefusalReason::kVersionConflict, "version_conflict"},
    {RefusalReason::kHomeRegionsFixed, "home_regions_fixed"},
    {RefusalReason::kNotHomeRegion, "not_home_region"},
    {RefusalReason::kEntryUnknown, "entry_unknown"},
    {RefusalReason::kEntryHeard, "entry_heard"},
});

constexpr auto kReasons = [] {
  std::array<RefusalReason, kNamedReasons.size()> reasons{};
  std::ranges::transform(kNamedReasons, reasons.begin(), &NamedReason::first);
  return reasons;
}();

}  // namespace

std::span<const RefusalReason> AllRefusalReasons() {
  return kReasons;
}

std::string_view ToText(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToText(RefusalReason reason) {
  const auto it = std::ranges::find(kNamedReasons, reason, &NamedReason::first);
  return it->second;
}

std::optional<RefusalReason> RefusalReasonFromText(std::string_view text) {
  const auto it = std::ranges::find(kNamedReasons, text, &NamedReason::second);
  if (it == kNamedReasons.end()) {
    return std::nullopt;
  }
  return it->first;
}

}  // namespace papayadrift
