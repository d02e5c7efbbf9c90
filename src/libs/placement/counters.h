#ifndef PAPAYADRIFT_PLACEMENT_COUNTERS_H_
#define PAPAYADRIFT_PLACEMENT_COUNTERS_H_

#include <cstdint>

namespace papayadrift::placement {

// Counters of a scheduler since its construction.
struct Counters {
  uint64_t events = 0;
  uint64_t tries = 0;             // Attempts to place one task.
  uint64_t workers_examined = 0;  // Over all tries.
  // Racks and workers examined for tasks with separation rules.
  uint64_t places_examined = 0;
  uint64_t jobs_examined = 0;
  uint64_t victims_examined = 0;
  uint64_t claims = 0;
  uint64_t claims_rejected = 0;
  uint64_t grants_raised = 0;
  uint64_t grants_lowered = 0;
  uint64_t throttles = 0;
  uint64_t reservations = 0;  // Capacity holds for jobs that were overtaken.
  uint64_t moves = 0;         // Evictions with capacity held on another worker.
  uint64_t evictions_for_services = 0;
  uint64_t evictions_for_urgent = 0;
  uint64_t evictions_for_quota = 0;
  uint64_t evictions_for_runners = 0;
  uint64_t stops_of_closed_jobs = 0;
  uint64_t quarantines = 0;
  uint64_t releases = 0;
  uint64_t jobs_refused = 0;

  friend bool operator==(const Counters&, const Counters&) = default;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_COUNTERS_H_
