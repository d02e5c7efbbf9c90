#ifndef PAPAYADRIFT_ROUTING_ROUTING_SETTINGS_H_
#define PAPAYADRIFT_ROUTING_ROUTING_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/identifiers.h"
#include "base/instant.h"

namespace papayadrift::routing {

enum class RunnerChoice {
  kLeastLoadedOfTwo,
  kRandom,  // Only for benchmarks.
};

struct RunnerSettings {
  RunnerChoice choice = RunnerChoice::kLeastLoadedOfTwo;
  // A runner in the same availability zone may be busier by this factor before
  // one in another zone is preferred.
  double other_zone_factor = 1.25;
  // The weight of a new runner increases to its full value over this time.
  microseconds slow_start{5'000'000};
  // Consecutive failures after which a runner is ejected.
  int32_t ejecting_failures = 3;
  microseconds first_ejection{1'000'000};
  microseconds longest_ejection{30'000'000};
  // At most this fraction of a service's serving runners is ejected at once.
  double maximum_ejected_fraction = 0.5;

  friend bool operator==(const RunnerSettings&,
                         const RunnerSettings&) = default;
};

struct LimitSettings {
  // The limit decreases when latency exceeds its long-term mean by this factor.
  double tolerance = 2.0;
  // Lower bound of the limit, as a fraction of the slots.
  double floor_fraction = 0.25;
  // Samples per adjustment.
  int32_t window_samples = 32;

  friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
};

struct RoutingSettings {
  ZoneId zone;                  // Availability zone of this entry.
  std::string identity_prefix;  // Unique per incarnation of an entry.
  uint64_t random_seed = 0;
  RunnerSettings runners;
  LimitSettings limits;
  // Whether requests that can't be answered in time are refused immediately.
  bool has_admission = true;
  bool has_hedging = true;
  // Limit of retries and hedges together, in relation to first sends.
  double extra_sends_per_request = 0.2;
  size_t maximum_extra_sends_saved = 32;
  // A request may be sent if this fraction of similar requests would be
  // answered in time.
  double admission_quantile = 0.9;
  // A hedge is sent when this fraction of similar requests would have been
  // answered.
  double hedge_quantile = 0.95;
  // Maximum number of queued requests, per service and per entry.
  size_t maximum_queued_per_service = 512;
  size_t maximum_queued = 4096;
  // Time reserved for the response to reach the caller before the deadline.
  microseconds reply_margin{1'000};
  // The response to a request with a key is awaited this long after its
  // deadline, as it may still prove that the request ran.
  microseconds late_answer_window{1'000'000};
  // Time after a deadline by which a runner must have stopped.
  microseconds overrun_margin{50'000};
  // Larger responses to requests with a key are not stored for duplicates.
  size_t maximum_kept_answer_bytes = 4096;
  // A request that has been queued this long makes the entry ask other entries
  // for slots.
  microseconds slot_request_delay{10'000};
  // Retry delay after a refusal for which no better estimate is available.
  microseconds default_retry_delay{1'000'000};

  friend bool operator==(const RoutingSettings&,
                         const RoutingSettings&) = default;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_ROUTING_SETTINGS_H_
