#include "placement/allowed_workers_p.h"

#include <iterator>
#include <limits>

namespace papayadrift::placement {

namespace {

// Racks and workers that one search looks at.
constexpr size_t kMostLooks = 64;

// The last place of the same rack.
RackPlace EndOfRack(RackPlace place) {
  place.worker = std::numeric_limits<uint32_t>::max();
  return place;
}

}  // namespace

AllowedWorkers::AllowedWorkers(Core& core) : core_(core) {}

std::vector<WorkerState*> AllowedWorkers::Find(JobState& job,
                                               const WorkerState& near,
                                               size_t count,
                                               const Condition& will_do) const {
  const auto& workers = core_.fleet.by_rack();
  const RackPlace start = job.looked_until.value_or(near.place());
  std::vector<WorkerState*> found;
  auto it = workers.upper_bound(start);
  bool is_second_part = false;
  for (size_t i = 0; i < kMostLooks && found.size() < count; ++i) {
    if (it == workers.end() && !is_second_part) {
      it = workers.begin();
      is_second_part = true;
    }
    if (it == workers.end() || (is_second_part && start < it->first)) {
      break;
    }
    ++core_.counters.places_examined;
    WorkerState& worker = *it->second;
    if (!job.domains.HasRoom(job.separation, worker.zone, worker.rack)) {
      job.looked_until = EndOfRack(it->first);
      it = workers.upper_bound(*job.looked_until);
      continue;
    }
    job.looked_until = it->first;
    ++it;
    if (worker.IsCandidate() && will_do(worker) &&
        !core_.separations.WhyNot(job, worker)) {
      found.push_back(&worker);
    }
  }
  return found;
}

}  // namespace papayadrift::placement
