#include "placement/allowed_workers_p.h"

#include <iterator>
#include <limits>

namespace papayadrift::placement {

namespace {

// Maximum racks and workers examined by one search.
constexpr size_t kMaximumExamined = 64;

// Returns the last position of the same rack.
RackPosition LastPositionOfRack(RackPosition position) {
  position.worker = std::numeric_limits<uint32_t>::max();
  return position;
}

}  // namespace

AllowedWorkers::AllowedWorkers(SchedulerCore& core) : core_(core) {}

std::vector<WorkerState*> AllowedWorkers::Find(
    JobState& job,
    const WorkerState& near,
    size_t count,
    const Condition& predicate) const {
  const auto& workers = core_.fleet.by_rack();
  const RackPosition start = job.search_position.value_or(near.rack_position());
  std::vector<WorkerState*> found;
  auto it = workers.upper_bound(start);
  bool is_second_part = false;
  for (size_t i = 0; i < kMaximumExamined && found.size() < count; ++i) {
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
      job.search_position = LastPositionOfRack(it->first);
      it = workers.upper_bound(*job.search_position);
      continue;
    }
    job.search_position = it->first;
    ++it;
    if (worker.IsCandidate() && predicate(worker) &&
        !core_.separations.WhyNot(job, worker)) {
      found.push_back(&worker);
    }
  }
  return found;
}

}  // namespace papayadrift::placement
