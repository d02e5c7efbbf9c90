#ifndef PAPAYADRIFT_PLACEMENT_SETTINGS_H_
#define PAPAYADRIFT_PLACEMENT_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "base/instant.h"

namespace papayadrift::placement {

enum class PlacementRule {
  kLeastCost,    // Trades tail latency off against throughput.
  kTightestFit,  // Leaves the fewest processors free.
};

// Limits and switches of a Scheduler.
struct Settings {
  uint64_t seed = 1;  // Seed of the random numbers.
  PlacementRule rule = PlacementRule::kLeastCost;
  // Whether batch tasks are throttled or evicted for services above target.
  bool has_mitigation = true;
  // Whether grants of running tasks are adjusted to their usage.
  bool has_grant_adjustment = true;

  size_t workers_examined = 12;  // For one placement.
  size_t claims_per_pass = 32;
  size_t failed_tries_per_pass = 16;
  size_t failed_tries_per_team = 3;
  size_t jobs_scanned_per_team = 16;
  int claims_in_flight_per_worker = 8;
  // Number of concurrent holds at which no further preemption for urgent work
  // or quotas starts.
  size_t maximum_holds = 256;
  // Whether capacity is reserved for jobs that others overtake.
  bool has_reservations = true;
  // Minimum workers per reservation; one reservation is always allowed.
  size_t workers_per_reservation = 20;
  // Claims of other jobs that overtake a job before it gets a reservation.
  uint64_t overtaken_before_reservation = 8;

  microseconds retry_pause =
      milliseconds(500);  // After a failed attempt to place.
  microseconds rejected_pause = milliseconds(500);
  microseconds preemption_timeout = seconds(10);
  // Time within which a task that is moved must stop.
  microseconds move_timeout = seconds(60);
  // Time without a placement before a job gets a reservation, and the time
  // after which the reservation expires.
  microseconds reservation_pause = seconds(30);
  microseconds reservation_timeout = seconds(3600);
  // Waiting time of a job within its team's quota before borrowers are evicted.
  microseconds reclaim_pause = seconds(20);
  microseconds grant_change_interval = seconds(30);
  // Interval between two mitigations on one worker; longer than the delay of
  // reports.
  microseconds mitigation_interval = seconds(60);
  int reports_before_mitigation = 2;
  int reports_before_recovery = 3;
  // Evictions for services, per assigned worker and hour.
  double evictions_per_worker_hour = 0.5;

  friend bool operator==(const Settings&, const Settings&) = default;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_SETTINGS_H_
