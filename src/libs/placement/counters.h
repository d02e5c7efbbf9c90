#ifndef PAPAYADRIFT_PLACEMENT_COUNTERS_H_
#define PAPAYADRIFT_PLACEMENT_COUNTERS_H_

#include <cstdint>

namespace papayadrift::placement {

// What a scheduler has done since it was made.
struct Counters {
  uint64_t events = 0;
  uint64_t tries = 0;             // To place one task.
  uint64_t workers_examined = 0;  // Over all tries.
  // Racks and workers looked at for tasks that must be kept apart.
  uint64_t places_examined = 0;
  uint64_t jobs_examined = 0;
  uint64_t victims_examined = 0;
  uint64_t claims = 0;
  uint64_t claims_rejected = 0;
  uint64_t grants_raised = 0;
  uint64_t grants_lowered = 0;
  uint64_t throttles = 0;
  uint64_t reservations = 0;  // Rooms reserved for jobs that were overtaken.
  uint64_t moves = 0;         // Evictions with a better place kept.
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
