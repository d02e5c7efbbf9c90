#include "replay/worker_table.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <limits>
#include <numeric>
#include <ranges>

#include "base/lookup.h"
#include "replay/plausibility.h"

namespace papayadrift::replay {

namespace {

template <typename Record>
WorkerKey KeyOf(const Record& record) {
  return WorkerKey{.worker = record.worker, .incarnation = record.incarnation};
}

Resources SumOfReservations(const std::vector<records::Runner>& runners) {
  return std::accumulate(runners.begin(), runners.end(), Resources(),
                         [](const Resources& sum, const auto& runner) {
                           return sum + runner.reserved;
                         });
}

bool IsWellFormed(const records::WorkerAnnounced& record) {
  const auto is_valid = [](const records::Runner& runner) {
    return IsPlausible(runner.reserved) && runner.slots >= 0 &&
           runner.connections >= 0;
  };
  return !record.worker.is_empty() && IsPlausible(record.capacity) &&
         std::ranges::all_of(record.runners, is_valid);
}

}  // namespace

auto WorkerTable::IncarnationsOf(const WorkerId& worker) const {
  const auto first =
      workers_.lower_bound({.worker = worker, .incarnation = Incarnation()});
  const auto last = workers_.upper_bound(
      {.worker = worker,
       .incarnation = Incarnation(std::numeric_limits<uint64_t>::max())});
  return std::ranges::subrange(first, last);
}

const WorkerState* WorkerTable::Find(const WorkerKey& key) const {
  return FindOrNull(workers_, key);
}

std::optional<Incarnation> WorkerTable::NewestIncarnation(
    const WorkerId& worker) const {
  std::optional<Incarnation> newest = formers_.Newest(worker);
  for (const WorkerKey& key : IncarnationsOf(worker) | std::views::keys) {
    newest = std::max(newest, std::optional(key.incarnation));
  }
  return newest;
}

Resources WorkerTable::UsedOn(const WorkerId& worker) const {
  Resources used;
  for (const auto& [key, state] : IncarnationsOf(worker)) {
    used = used + state.reserved + state.granted;
  }
  return used;
}

std::vector<TaskId> WorkerTable::LiveTasksOn(const WorkerId& worker) const {
  std::vector<TaskId> tasks;
  for (const WorkerState& state : IncarnationsOf(worker) | std::views::values) {
    std::ranges::copy(state.live_tasks, std::back_inserter(tasks));
  }
  return tasks;
}

std::optional<Rejection> WorkerTable::CheckClaim(const WorkerKey& key,
                                                 const Resources& grant) const {
  const WorkerState* state = Find(key);
  if (state == nullptr) {
    return Rejection::kWorkerUnknown;
  }
  if (state->phase == WorkerPhase::kLapsed) {
    return Rejection::kWorkerLapsed;
  }
  if (state->phase == WorkerPhase::kDraining) {
    return Rejection::kWorkerDraining;
  }
  if (state->is_quarantined && !state->live_tasks.empty()) {
    return Rejection::kWorkerQuarantined;
  }
  return CheckGrant(key, Resources(), grant);
}

std::optional<Rejection> WorkerTable::CheckGrant(const WorkerKey& key,
                                                 const Resources& before,
                                                 const Resources& after) const {
  if (!IsPlausible(after)) {
    return Rejection::kMalformed;
  }
  if (FitsIn(after, before)) {
    return std::nullopt;
  }
  const WorkerState& state = workers_.at(key);
  if (state.phase == WorkerPhase::kLapsed) {
    return Rejection::kWorkerLapsed;
  }
  if (!FitsIn(after - before, state.capacity - UsedOn(key.worker))) {
    return Rejection::kCapacityExceeded;
  }
  return std::nullopt;
}

std::optional<Rejection> WorkerTable::Check(
    const records::WorkerAnnounced& record) const {
  if (!IsWellFormed(record)) {
    return Rejection::kMalformed;
  }
  const std::optional<Incarnation> newest = NewestIncarnation(record.worker);
  if (newest && record.incarnation <= *newest) {
    return Find(KeyOf(record)) != nullptr ? Rejection::kNoChange
                                          : Rejection::kIncarnationSuperseded;
  }
  const Resources kept =
      record.previous_ended ? Resources() : UsedOn(record.worker);
  if (!FitsIn(kept + SumOfReservations(record.runners), record.capacity)) {
    return Rejection::kCapacityExceeded;
  }
  return std::nullopt;
}

std::optional<Rejection> WorkerTable::Check(
    const records::WorkerDraining& record) const {
  const WorkerState* state = Find(KeyOf(record));
  if (state == nullptr) {
    return Rejection::kWorkerUnknown;
  }
  if (state->phase != WorkerPhase::kLive) {
    return Rejection::kNoChange;
  }
  return std::nullopt;
}

std::optional<Rejection> WorkerTable::Check(
    const records::WorkerLapsed& record) const {
  const WorkerState* state = Find(KeyOf(record));
  if (state == nullptr) {
    return Rejection::kWorkerUnknown;
  }
  if (state->phase == WorkerPhase::kLapsed) {
    return Rejection::kNoChange;
  }
  return std::nullopt;
}

std::optional<Rejection> WorkerTable::Check(
    const records::WorkerFreed& record) const {
  const WorkerState* state = Find(KeyOf(record));
  if (state == nullptr) {
    return Rejection::kWorkerUnknown;
  }
  if (state->phase != WorkerPhase::kLapsed) {
    return Rejection::kWorkerNotLapsed;
  }
  return std::nullopt;
}

std::optional<Rejection> WorkerTable::Check(
    const records::WorkerQuarantined& record) const {
  const WorkerState* state = Find(KeyOf(record));
  if (state == nullptr) {
    return Rejection::kWorkerUnknown;
  }
  if (state->is_quarantined == record.is_quarantined) {
    return Rejection::kNoChange;
  }
  return std::nullopt;
}

std::vector<WorkerKey> WorkerTable::EndedBy(
    const records::WorkerAnnounced& record) const {
  std::vector<WorkerKey> ended;
  if (record.previous_ended) {
    std::ranges::copy(IncarnationsOf(record.worker) | std::views::keys,
                      std::back_inserter(ended));
  }
  return ended;
}

void WorkerTable::AddGrant(const WorkerKey& key,
                           const TaskId& task,
                           const Resources& grant) {
  WorkerState& state = workers_.at(key);
  state.granted = state.granted + grant;
  state.live_tasks.insert(task);
}

void WorkerTable::ChangeGrant(const WorkerKey& key,
                              const Resources& before,
                              const Resources& after) {
  WorkerState& state = workers_.at(key);
  state.granted = state.granted - before + after;
}

void WorkerTable::RemoveGrant(const WorkerKey& key,
                              const TaskId& task,
                              const Resources& grant) {
  WorkerState& state = workers_.at(key);
  state.granted = state.granted - grant;
  state.live_tasks.erase(task);
}

void WorkerTable::Apply(Offset offset, const records::WorkerAnnounced& record) {
  for (const auto& [key, unused] : IncarnationsOf(record.worker)) {
    WorkerState& old = workers_.at(key);
    if (old.phase == WorkerPhase::kLive) {
      old.phase = WorkerPhase::kDraining;
      old.phase_since = offset;
    }
  }
  workers_[KeyOf(record)] =
      WorkerState{.zone = record.zone,
                  .rack = record.rack,
                  .address = record.address,
                  .capacity = record.capacity,
                  .runners = record.runners,
                  .phase = WorkerPhase::kLive,
                  .is_quarantined = false,
                  .phase_since = offset,
                  .reserved = SumOfReservations(record.runners),
                  .granted = Resources(),
                  .live_tasks = {}};
}

void WorkerTable::Apply(Offset offset, const records::WorkerDraining& record) {
  WorkerState& state = workers_.at(KeyOf(record));
  state.phase = WorkerPhase::kDraining;
  state.phase_since = offset;
}

void WorkerTable::Apply(Offset offset, const records::WorkerLapsed& record) {
  WorkerState& state = workers_.at(KeyOf(record));
  state.phase = WorkerPhase::kLapsed;
  state.phase_since = offset;
}

void WorkerTable::Apply(Offset /*offset*/,
                        const records::WorkerQuarantined& record) {
  workers_.at(KeyOf(record)).is_quarantined = record.is_quarantined;
}

void WorkerTable::Remove(Offset offset, const WorkerKey& key) {
  assert(workers_.at(key).live_tasks.empty());
  workers_.erase(key);
  formers_.Add(key.worker, key.incarnation, offset);
}

}  // namespace papayadrift::replay
