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
  kRandom,  // For comparison only.
};

struct RunnerSettings {
  RunnerChoice choice = RunnerChoice::kLeastLoadedOfTwo;
  // How much busier a runner of the own zone may be before one of another
  // zone is preferred.
  double other_zone_factor = 1.25;
  // A new runner's weight grows to its whole over this time.
  microseconds slow_start{5'000'000};
  // Failures in a row that eject a runner.
  int32_t ejecting_failures = 3;
  microseconds first_ejection{1'000'000};
  microseconds longest_ejection{30'000'000};
  // At most this part of a service's serving runners is ejected at once.
  double maximum_ejected_fraction = 0.5;

  friend bool operator==(const RunnerSettings&,
                         const RunnerSettings&) = default;
};

struct LimitSettings {
  // A limit falls when latency exceeds its long-term mean by this factor.
  double tolerance = 2.0;
  // The lowest limit, as a part of the slots.
  double floor_fraction = 0.25;
  // Samples that make one adjustment.
  int32_t window_samples = 32;

  friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
};

struct RoutingSettings {
  ZoneId zone;                  // Where this entry runs.
  std::string identity_prefix;  // Unique per life of an entry.
  uint64_t random_seed = 0;
  RunnerSettings runners;
  LimitSettings limits;
  // Refuse at once what can't be answered in time.
  bool has_admission = true;
  bool has_hedging = true;
  // Retries and hedges together are at most this part of first sends.
  double extra_sends_per_request = 0.2;
  size_t maximum_extra_sends_saved = 32;
  // A request may start while this part of like requests would be in time.
  double admission_quantile = 0.9;
  // A hedge is sent when this part of like requests would have an answer.
  double hedge_quantile = 0.95;
  // Bounds of waiting requests, for each service and for the entry.
  size_t maximum_queued_per_service = 512;
  size_t maximum_queued = 4096;
  // Time for the answer to reach the caller before its deadline.
  microseconds reply_margin{1'000};
  // The answer to a request with a key is awaited this long after its
  // deadline, as it may still prove that the request ran.
  microseconds late_answer_window{1'000'000};
  // Time after a deadline by which a runner has surely stopped.
  microseconds overrun_margin{50'000};
  // A longer answer to a request with a key is not kept for repeats.
  size_t maximum_kept_answer_bytes = 4096;
  // A request that has waited so long makes the entry ask others for slots.
  microseconds slot_request_delay{10'000};
  // When to try again after a refusal for which no better time is known.
  microseconds default_retry_delay{1'000'000};

  friend bool operator==(const RoutingSettings&,
                         const RoutingSettings&) = default;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_ROUTING_SETTINGS_H_
