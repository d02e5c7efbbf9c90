// The byte form of DecisionState. The tables are packed as they are, but for
// the workers of live tasks: these are numbers in the order of the worker
// table, in the order of the tasks. Grants by worker and team, and other
// indexes, are rebuilt from the jobs.

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <ranges>
#include <tuple>
#include <utility>
#include <vector>

#include "records/packing.h"
#include "records/record_fields.h"
#include "replay/decision_state.h"
#include "replay/state_fields_p.h"

namespace papayadrift::replay {

namespace {

struct PackedState {
  DecisionState state;
  std::vector<uint32_t> workers_of_live_tasks;
};

auto Fields(PackedState& packed) {
  return std::tie(packed.state, packed.workers_of_live_tasks);
}

std::vector<uint32_t> WorkersOfLiveTasks(const DecisionState& state) {
  std::map<WorkerKey, uint32_t> numbers;
  for (const WorkerKey& key : state.workers().workers() | std::views::keys) {
    numbers.emplace(key, static_cast<uint32_t>(numbers.size()));
  }
  std::vector<uint32_t> workers;
  for (const JobState& job : state.jobs().jobs() | std::views::values) {
    for (const TaskState& task : job.tasks | std::views::values) {
      if (task.is_live) {
        workers.push_back(numbers.at(task.worker));
      }
    }
  }
  return workers;
}

}  // namespace

std::optional<DecisionState> DecisionState::Restore(std::string_view bytes) {
  std::optional<PackedState> packed =
      records::UnpackFromBytes<PackedState>(bytes);
  if (!packed || !packed->state.SetWorkers(packed->workers_of_live_tasks) ||
      !packed->state.Reindex()) {
    return std::nullopt;
  }
  return std::move(packed->state);
}

std::string DecisionState::Snapshot() const {
  msgpack::sbuffer buf;
  records::Packer packer(buf);
  packer.pack_array(
      std::tuple_size_v<decltype(Fields(std::declval<PackedState&>()))>);
  records::Pack(packer, *this);
  records::Pack(packer, WorkersOfLiveTasks(*this));
  return {buf.data(), buf.size()};
}

bool DecisionState::SetWorkers(const std::vector<uint32_t>& numbers) {
  std::vector<WorkerKey> keys;
  std::ranges::copy(workers_.workers() | std::views::keys,
                    std::back_inserter(keys));
  std::vector<WorkerKey> workers;
  for (const uint32_t number : numbers) {
    if (number >= keys.size()) {
      return false;
    }
    workers.push_back(keys[number]);
  }
  return jobs_.SetWorkersOfLiveTasks(workers);
}

bool DecisionState::Reindex() {
  keys_.Reindex();
  if (!jobs_.Reindex()) {
    return false;
  }
  for (const auto& [id, job] : jobs_.jobs()) {
    for (const auto& [index, task] : job.tasks) {
      if (!task.is_live) {
        continue;
      }
      const WorkerState& worker = *workers_.Find(task.worker);
      jobs_.EnterDomain(id, worker.zone, worker.rack);
      workers_.AddGrant(task.worker, {.job = id, .index = index}, task.grant);
      quotas_.ChangeGrant(job.submitted.team, Resources(), task.grant);
    }
  }
  return true;
}

}  // namespace papayadrift::replay
