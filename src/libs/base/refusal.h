#ifndef PAPAYADRIFT_BASE_REFUSAL_H_
#define PAPAYADRIFT_BASE_REFUSAL_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/identifiers.h"
#include "base/instant.h"

namespace papayadrift {

// Whether the work of a request was carried out, as far as can be proved.
enum class Ran { kNo, kYes, kUnknown };

// Why a request, job or change was refused or failed. The names returned by
// ToText() are part of the interface to callers and operators. The numbers are
// in the log: add only at the end.
enum class RefusalReason {
  kAnswerTooLarge,
  kAnswerTruncated,
  kBackendFailed,
  kBackendTimedOut,
  kBadRequest,
  kBodyTooLarge,
  kConfigurationInvalid,
  kConnectionLost,
  kDeadlinePassed,
  kDeadlineTooClose,
  kEntryLost,
  kJobCancelled,
  kJobFailedEverywhere,
  kJobFitsNowhere,
  kJobUnknown,
  kKeyInProgress,
  kKeyMissing,
  kKeyOutsideWindow,
  kLogUnavailable,
  kNoRunner,
  kNotReady,
  kOverloaded,
  kQuotaExceeded,
  kRateLimited,
  kServiceUnknown,
  kStopping,
  kUnauthorized,
  kVersionConflict,
  kHomeRegionsFixed,
  kNotHomeRegion,
  kEntryUnknown,
  kEntryHeard,
};

// All reasons, in order.
std::span<const RefusalReason> AllRefusalReasons();

std::string_view ToText(Ran ran);
std::string_view ToText(RefusalReason reason);

// Returns the reason that has the given name, if there is one.
std::optional<RefusalReason> RefusalReasonFromText(std::string_view text);

// The region that a job or request belongs to.
struct HomeRegion {
  RegionId region;
  std::string address;  // "ip:port" for callers; empty when not known.

  friend bool operator==(const HomeRegion&, const HomeRegion&) = default;
};

// What a caller or operator is told when something was not done.
struct Refusal {
  RefusalReason reason = RefusalReason::kBadRequest;
  Ran ran = Ran::kNo;
  // A whole sentence for people; programs read `reason`.
  std::string detail;
  // When a retry has a chance, if that is known.
  std::optional<WallInstant> retry_at;
  // Where to go instead, if that is known.
  std::optional<HomeRegion> home = std::nullopt;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

}  // namespace papayadrift

#endif  // PAPAYADRIFT_BASE_REFUSAL_H_
