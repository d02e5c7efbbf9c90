#include "entry/refusal_response.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "entry/json_response_p.h"

namespace papayadrift::entry {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooLarge = 413;
constexpr int kMisdirected = 421;
constexpr int kUnprocessable = 422;
constexpr int kTooMany = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace

int StatusOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kBadRequest:
    case RefusalReason::kConfigurationInvalid:
    case RefusalReason::kKeyMissing:
      return kBadRequest;
    case RefusalReason::kUnauthorized:
      return kUnauthorized;
    case RefusalReason::kEntryUnknown:
    case RefusalReason::kJobUnknown:
    case RefusalReason::kServiceUnknown:
      return kNotFound;
    case RefusalReason::kNotHomeRegion:
      return kMisdirected;
    case RefusalReason::kEntryHeard:
    case RefusalReason::kJobCancelled:
    case RefusalReason::kKeyInProgress:
    case RefusalReason::kVersionConflict:
      return kConflict;
    case RefusalReason::kKeyOutsideWindow:
      return kGone;
    case RefusalReason::kBodyTooLarge:
      return kTooLarge;
    case RefusalReason::kHomeRegionsFixed:
    case RefusalReason::kJobFailedEverywhere:
    case RefusalReason::kJobFitsNowhere:
      return kUnprocessable;
    case RefusalReason::kQuotaExceeded:
    case RefusalReason::kRateLimited:
      return kTooMany;
    case RefusalReason::kAnswerTooLarge:
    case RefusalReason::kAnswerTruncated:
    case RefusalReason::kBackendFailed:
    case RefusalReason::kConnectionLost:
      return kBadGateway;
    case RefusalReason::kBackendTimedOut:
    case RefusalReason::kDeadlinePassed:
      return kGatewayTimeout;
    case RefusalReason::kDeadlineTooClose:
    case RefusalReason::kEntryLost:
    case RefusalReason::kLogUnavailable:
    case RefusalReason::kNoRunner:
    case RefusalReason::kNotReady:
    case RefusalReason::kOverloaded:
    case RefusalReason::kStopping:
      return kUnavailable;
  }
  return kUnavailable;
}

Refusal NotRun(RefusalReason reason, std::string detail) {
  return {reason, Ran::kNo, std::move(detail), std::nullopt};
}

http::Response ResponseTo(const Refusal& refusal, WallInstant now) {
  nlohmann::json body = {{"reason", ToText(refusal.reason)},
                         {"ran", ToText(refusal.ran)},
                         {"detail", refusal.detail}};
  if (refusal.home) {
    body["home_region"] = refusal.home->region.text();
    body["home_address"] = refusal.home->address;
  }
  http::Response response = JsonResponse(StatusOf(refusal.reason), body);
  if (!refusal.retry_at) {
    return response;
  }
  constexpr int64_t kMillisecondsPerSecond = 1000;
  const int64_t wait = std::max<int64_t>(0, (*refusal.retry_at - now).count());
  body["retry_after_ms"] = wait;
  response.body = body.dump();
  const int64_t wait_seconds =
      (wait + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
  response.headers["retry-after"] = std::to_string(wait_seconds);
  return response;
}

}  // namespace papayadrift::entry
