#ifndef PAPAYADRIFT_PLACEMENT_VIEWS_H_
#define PAPAYADRIFT_PLACEMENT_VIEWS_H_

#include <cstddef>

#include "base/identifiers.h"
#include "base/resources.h"

namespace papayadrift::placement {

// A scheduler's view of a worker, for the state dump.
struct WorkerView {
  WorkerId worker;
  Incarnation incarnation;
  Resources capacity;
  Resources reserved;   // For runners.
  Resources committed;  // Grants and claims in flight.
  Resources held;       // Held for specific jobs.
  size_t tasks = 0;
  int claims_in_flight = 0;
  int urgent_claims_in_flight = 0;
  bool is_up = false;
  bool is_quarantined = false;
  double failure_evidence = 0;  // Log odds that it fails all tasks.

  friend bool operator==(const WorkerView&, const WorkerView&) = default;
};

// A scheduler's view of a team.
struct TeamView {
  TeamId team;
  Resources quota;
  Resources used;
  double dominant_share = 0;
  size_t jobs_waiting = 0;

  friend bool operator==(const TeamView&, const TeamView&) = default;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_VIEWS_H_
