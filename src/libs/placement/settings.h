#ifndef PAPAYADRIFT_PLACEMENT_SETTINGS_H_
#define PAPAYADRIFT_PLACEMENT_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "base/instant.h"

namespace papayadrift::placement {

enum class PlacementRule {
  kLeastCost,    // Weighs tail latency against throughput.
  kTightestFit,  // Leaves the least processors over.
};

// Limits and switches of a Scheduler.
struct Settings {
  uint64_t seed = 1;  // Of its random draws.
  PlacementRule rule = PlacementRule::kLeastCost;
  // Whether services above their target lead to throttling and evictions.
  bool has_mitigation = true;
  // Whether grants of running tasks follow their use.
  bool has_grant_adjustment = true;

  size_t workers_examined = 12;  // For one placement.
  size_t claims_per_pass = 32;
  size_t failed_tries_per_pass = 16;
  size_t failed_tries_per_team = 3;
  size_t jobs_scanned_per_team = 16;
  int claims_in_flight_per_worker = 8;
  // Room that is being made for urgent or owed work at the same time.
  size_t maximum_holds = 256;
  // Whether jobs that others overtake get rooms reserved.
  bool has_reservations = true;
  // For each reserved room there are at least so many workers, or it is the
  // only one.
  size_t workers_per_reservation = 20;
  // Claims for others that overtake a job before it gets a room reserved.
  uint64_t overtaken_before_reservation = 8;

  microseconds retry_pause = milliseconds(500);  // After a try that failed.
  microseconds rejected_pause = milliseconds(500);
  microseconds preemption_timeout = seconds(10);
  // Time in which a task that is moved must have stopped.
  microseconds move_timeout = seconds(60);
  // Time without a placement before a job gets a room reserved, and the time
  // after which the room is given up.
  microseconds reservation_pause = seconds(30);
  microseconds reservation_timeout = seconds(3600);
  // Work that is owed room waits this long before borrowers are evicted.
  microseconds reclaim_pause = seconds(20);
  microseconds grant_change_interval = seconds(30);
  // Time between two remedies on one worker: longer than reports lag.
  microseconds mitigation_interval = seconds(60);
  int reports_before_mitigation = 2;
  int reports_before_recovery = 3;
  // Evictions for services, per worker that this scheduler claims on and hour.
  double evictions_per_worker_hour = 0.5;

  friend bool operator==(const Settings&, const Settings&) = default;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_SETTINGS_H_
