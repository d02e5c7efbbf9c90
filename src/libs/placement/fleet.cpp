#include <algorithm>
#include <cassert>

#include "placement/fleet_p.h"

namespace papayadrift::placement {

namespace {

Resources Largest(const Resources& left, const Resources& right) {
  return {std::max(left.millicores, right.millicores),
          std::max(left.memory_mebibytes, right.memory_mebibytes),
          std::max(left.accelerators, right.accelerators)};
}

std::vector<RunnerState> RunnersOf(const WorkerUp& event,
                                   std::vector<RunnerState> known) {
  std::vector<RunnerState> runners;
  for (const RunnerReservation& it : event.runners) {
    const auto old =
        std::ranges::find(known, it.service, &RunnerState::service);
    RunnerState runner = old == known.end() ? RunnerState() : *old;
    runner.service = it.service;
    runner.reserved = it.reserved;
    runners.push_back(std::move(runner));
  }
  return runners;
}

}  // namespace

Fleet::Fleet(uint64_t seed) : index_(seed) {}

WorkerState& Fleet::Announce(const WorkerUp& event) {
  WorkerState*& worker = by_id_[event.worker];
  if (worker == nullptr) {
    workers_.push_back(std::make_unique<WorkerState>());
    worker = workers_.back().get();
    worker->id = event.worker;
    worker->number = static_cast<uint32_t>(workers_.size() - 1);
  }
  RemoveFromTotals(*worker);
  if (event.incarnation > worker->incarnation ||
      worker->phase == WorkerPhase::kFreed) {
    worker->phase = WorkerPhase::kUp;
  }
  worker->incarnation = event.incarnation;
  by_rack_.erase(worker->rack_position());
  worker->zone = event.zone;
  worker->rack = event.rack;
  by_rack_[worker->rack_position()] = worker;
  worker->capacity = event.capacity;
  worker->runners = RunnersOf(event, std::move(worker->runners));
  worker->reserved = {};
  for (const RunnerState& runner : worker->runners) {
    worker->reserved = worker->reserved + runner.reserved;
  }
  largest_ = Largest(largest_, worker->capacity - worker->reserved);
  AddToTotals(*worker);
  Reindex(*worker);
  return *worker;
}

void Fleet::SetPhase(WorkerState& worker, WorkerPhase phase) {
  RemoveFromTotals(worker);
  worker.phase = phase;
  if (phase == WorkerPhase::kFreed) {
    by_rack_.erase(worker.rack_position());
  }
  AddToTotals(worker);
  Reindex(worker);
}

void Fleet::SetAssigned(WorkerState& worker, bool is_assigned) {
  worker.is_assigned = is_assigned;
  Reindex(worker);
}

void Fleet::Attach(WorkerState& worker,
                   TaskState& task,
                   const Resources& amount) {
  assert(task.worker == nullptr);
  task.worker = &worker;
  task.incarnation = worker.incarnation;
  task.committed = amount;
  worker.committed = worker.committed + amount;
  worker.tasks.push_back(&task);
  Reindex(worker);
}

void Fleet::Recommit(TaskState& task, const Resources& amount) {
  WorkerState& worker = *task.worker;
  worker.committed = worker.committed - task.committed + amount;
  task.committed = amount;
  Reindex(worker);
}

void Fleet::Detach(TaskState& task) {
  WorkerState& worker = *task.worker;
  worker.committed = worker.committed - task.committed;
  std::erase(worker.tasks, &task);
  task.worker = nullptr;
  task.committed = {};
  Reindex(worker);
}

void Fleet::Hold(WorkerState& worker, const Resources& amount) {
  worker.held = worker.held + amount;
  Reindex(worker);
}

void Fleet::ReleaseHold(WorkerState& worker, const Resources& amount) {
  worker.held = worker.held - amount;
  Reindex(worker);
}

void Fleet::Reindex(WorkerState& worker) {
  if (!worker.IsCandidate()) {
    index_.Remove(worker.number);
    return;
  }
  index_.Update(worker.number, worker.Free().millicores,
                worker.capacity.accelerators > 0);
}

WorkerState* Fleet::Find(const WorkerId& id) {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

const WorkerState* Fleet::Find(const WorkerId& id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

size_t Fleet::CountAssigned() const {
  return static_cast<size_t>(
      std::ranges::count_if(workers_, [](const auto& worker) {
        return worker->phase == WorkerPhase::kUp && worker->is_assigned;
      }));
}

std::vector<WorkerState*> Fleet::Draw(const Resources& need, size_t count) {
  return ToStates(index_.Draw(need, count));
}

std::vector<WorkerState*> Fleet::DrawAny(bool with_accelerators, size_t count) {
  return ToStates(index_.DrawAny(with_accelerators, count));
}

std::vector<WorkerState*> Fleet::ToStates(
    const std::vector<uint32_t>& numbers) {
  std::vector<WorkerState*> states(numbers.size());
  std::ranges::transform(numbers, states.begin(),
                         [this](uint32_t n) { return workers_[n].get(); });
  return states;
}

void Fleet::AddToTotals(const WorkerState& worker) {
  if (worker.phase == WorkerPhase::kUp) {
    total_ = total_ + worker.capacity - worker.reserved;
    ++up_;
  }
}

void Fleet::RemoveFromTotals(const WorkerState& worker) {
  if (worker.phase == WorkerPhase::kUp) {
    total_ = total_ - worker.capacity + worker.reserved;
    --up_;
  }
}

}  // namespace papayadrift::placement
