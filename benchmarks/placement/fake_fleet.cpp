#include "fake_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dice.h"

namespace papayadrift::placement {

namespace {

constexpr double kPerCore = 1000;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr microseconds kStopTakes = seconds(5);
constexpr double kFailsAfterSeconds = 5;
constexpr double kMemoryGrowsUntil = 0.2;  // Of the work.
constexpr uint64_t kStepsPerReport = 2;
constexpr double kUnloadedTailMicroseconds = 10'000;
constexpr double kRequestsPerSecond = 400;  // Of a runner at load 1.
constexpr double kTaskSpread = 0.2;
constexpr double kMeasurementNoise = 0.07;

const ServiceId& Service() {
  static const ServiceId service("service");
  return service;
}

double Seconds(microseconds span) {
  return static_cast<double>(span.count()) / kMicrosecondsPerSecond;
}

}  // namespace

FakeFleet::FakeFleet(const CustomerWorkload& workload,
                     const Scenario& scenario,
                     uint64_t seed,
                     bool reports_at_once)
    : workload_(workload),
      scenario_(scenario),
      reports_at_once_(reports_at_once),
      random_(seed) {
  for (int i = 0; i < kWorkers; ++i) {
    workers_.push_back({.id = WorkerId("worker-" + std::to_string(i)),
                        .rack = i / kWorkersPerRack});
  }
}

std::vector<Event> FakeFleet::Step(Instant now, microseconds step) {
  ++steps_;
  std::vector<Event> events;
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    const auto ended = Run(it->second, now, step);
    if (it->second.next_grant) {
      it->second.grant = *std::exchange(it->second.next_grant, {});
      events.emplace_back(
          GrantConfirmed{it->first, it->second.attempt, it->second.grant});
    }
    if (ended) {
      events.emplace_back(*ended);
      it = attempts_.erase(it);
      continue;
    }
    if (steps_ % kStepsPerReport == 0) {
      ReportUse(it->second, now);
    }
    ++it;
  }
  for (size_t i = 0; i < workers_.size(); ++i) {
    CheckSums(i);
    ReportLatency(i, now, step);
  }
  const auto due = std::ranges::stable_partition(
      delayed_, [now](const Delayed& it) { return it.due > now; });
  std::ranges::transform(due, std::back_inserter(events), &Delayed::event);
  delayed_.erase(due.begin(), due.end());
  return events;
}

std::vector<Event> FakeFleet::Execute(Instant now, const Action& action) {
  return std::visit([&](const auto& held) { return Execute(now, held); },
                    action);
}

void FakeFleet::SetFailing(size_t worker, bool fails) {
  workers_[worker].fails_everything = fails;
}

std::vector<Event> FakeFleet::LoseRack(int rack) {
  std::vector<Event> events;
  for (size_t i = 0; i < workers_.size(); ++i) {
    FakeWorker& worker = workers_[i];
    if (worker.rack != rack || !worker.is_up) {
      continue;
    }
    worker.is_up = false;
    std::erase_if(attempts_, [&](auto& it) {
      if (it.second.worker != i) {
        return false;
      }
      lost_core_seconds_ += (it.second.done - it.second.resumed) *
                            it.second.run_seconds * it.second.cores;
      return true;
    });
    events.emplace_back(WorkerLapsed{worker.id, worker.incarnation});
    events.emplace_back(WorkerFreed{worker.id, worker.incarnation});
  }
  return events;
}

std::vector<Event> FakeFleet::ReturnRack(int rack) {
  std::vector<Event> events;
  for (size_t i = 0; i < workers_.size(); ++i) {
    FakeWorker& worker = workers_[i];
    if (worker.rack == rack && !worker.is_up) {
      worker.is_up = true;
      worker.incarnation = worker.incarnation.Next();
      events.emplace_back(Announcement(i));
    }
  }
  return events;
}

void FakeFleet::DropPendingGrants() {
  for (auto& [task, attempt] : attempts_) {
    attempt.next_grant.reset();
  }
}

void FakeFleet::ResetMeasurements() {
  latencies_ = LatencySample();
  finished_core_seconds_ = 0;
  lost_core_seconds_ = 0;
  evictions_ = 0;
}

WorkerUp FakeFleet::Announcement(size_t worker) const {
  const FakeWorker& it = workers_[worker];
  const std::string rack = std::to_string(it.rack);
  return {.worker = it.id,
          .incarnation = it.incarnation,
          .zone = ZoneId("zone-" + rack),
          .rack = RackId("rack-" + rack),
          .capacity = workload_.worker,
          .runners = {{Service(), workload_.reserved}}};
}

std::vector<Event> FakeFleet::Execute(Instant now, const Claim& claim) {
  const auto worker =
      std::ranges::find(workers_, claim.worker, &FakeWorker::id);
  if (!worker->is_up || worker->incarnation != claim.incarnation) {
    return {
        ClaimRejected{claim.task, claim.attempt, ClaimRejection::kWorkerGone}};
  }
  FakeAttempt attempt;
  attempt.task = claim.task;
  attempt.attempt = claim.attempt;
  attempt.worker = static_cast<size_t>(worker - workers_.begin());
  attempt.kind = &*std::ranges::find_if(workload_.kinds, [&](const auto& kind) {
    return claim.task.job.text().starts_with(kind.kind.text() + ":");
  });
  // Tasks of a kind differ, but all attempts of a task behave alike.
  pcg64 own(std::hash<TaskId>()(claim.task));
  const auto spread = [&own](double deviation) {
    return std::exp(deviation * Triangular(own));
  };
  attempt.cores = attempt.kind->cores * spread(kTaskSpread);
  attempt.memory_mebibytes =
      attempt.kind->memory_mebibytes * spread(kTaskSpread);
  attempt.run_seconds = attempt.kind->run_seconds * spread(2 * kTaskSpread);
  attempt.grant = claim.grant;
  const auto checkpoint = checkpoints_.find(claim.task);
  const bool resumes =
      !claim.resumes.is_empty() && checkpoint != checkpoints_.end();
  attempt.resumed = resumes ? checkpoint->second : 0;
  attempt.done = attempt.resumed;
  attempt.started_at = now;
  violations_ += attempts_.contains(claim.task) ? 1 : 0;
  const size_t index = attempt.worker;
  attempts_[claim.task] = attempt;
  CheckSums(index);
  return {ClaimAccepted{claim.task, claim.attempt, claim.worker,
                        claim.incarnation, claim.grant},
          TaskStarted{claim.task, claim.attempt}};
}

std::vector<Event> FakeFleet::Execute(Instant /*now*/,
                                      const ChangeGrant& change) {
  const auto it = attempts_.find(change.task);
  if (it != attempts_.end() && it->second.attempt == change.attempt) {
    it->second.next_grant = change.grant;
  }
  return {};
}

std::vector<Event> FakeFleet::Execute(Instant now, const Evict& evict) {
  const auto it = attempts_.find(evict.task);
  if (it != attempts_.end() && it->second.attempt == evict.attempt) {
    it->second.stops_at = now + kStopTakes;
    evictions_ += evict.reason != EvictionReason::kJobCancelled ? 1 : 0;
  }
  return {};
}

std::vector<Event> FakeFleet::Execute(Instant /*now*/,
                                      const RefuseJob& refusal) {
  return {JobRefused{refusal.job, refusal.reason}};
}

std::vector<Event> FakeFleet::Execute(Instant /*now*/,
                                      const Quarantine& /*quarantine*/) {
  return {};
}

std::vector<Event> FakeFleet::Execute(Instant /*now*/,
                                      const Release& /*release*/) {
  return {};
}

std::optional<TaskEnded> FakeFleet::Run(FakeAttempt& attempt,
                                        Instant now,
                                        microseconds step) {
  const double granted =
      static_cast<double>(attempt.grant.millicores) / kPerCore;
  const double speed = std::min(1.0, granted / attempt.cores);
  attempt.done += speed * Seconds(step) / attempt.run_seconds;
  const double run = Seconds(now - attempt.started_at);
  const double memory = attempt.memory_mebibytes *
                        std::min(1.0, attempt.done / kMemoryGrowsUntil);
  const bool lacks_memory =
      memory > static_cast<double>(attempt.grant.memory_mebibytes);
  const bool worker_fails =
      workers_[attempt.worker].fails_everything && run >= kFailsAfterSeconds;
  if (lacks_memory || worker_fails) {
    return End(attempt, records::TaskEnding::kFailed);
  }
  if (attempt.done >= 1) {
    return End(attempt, records::TaskEnding::kFinished);
  }
  if (attempt.stops_at && now >= *attempt.stops_at) {
    return End(attempt, attempt.kind->is_checkpointable
                            ? records::TaskEnding::kCheckpointed
                            : records::TaskEnding::kStopped);
  }
  return std::nullopt;
}

TaskEnded FakeFleet::End(FakeAttempt& attempt, records::TaskEnding ending) {
  const double core_seconds = attempt.run_seconds * attempt.cores;
  TaskEnded ended = {attempt.task, attempt.attempt, ending, {}};
  switch (ending) {
    case records::TaskEnding::kFinished:
      finished_core_seconds_ += core_seconds;
      checkpoints_.erase(attempt.task);
      break;
    case records::TaskEnding::kCheckpointed:
      checkpoints_[attempt.task] = attempt.done;
      ended.checkpoint = CheckpointId("checkpoint");
      break;
    case records::TaskEnding::kFailed:
    case records::TaskEnding::kStopped:
      lost_core_seconds_ += (attempt.done - attempt.resumed) * core_seconds;
      break;
  }
  return ended;
}

void FakeFleet::ReportUse(const FakeAttempt& attempt, Instant now) {
  constexpr int64_t kPermille = 1000;
  const double cores =
      std::min(attempt.cores * Noise(kMeasurementNoise),
               static_cast<double>(attempt.grant.millicores) / kPerCore);
  const double memory = attempt.memory_mebibytes *
                        std::min(1.0, attempt.done / kMemoryGrowsUntil);
  Resources used = {std::llround(cores * kPerCore), std::llround(memory),
                    attempt.grant.accelerators};
  if (random_(100) < static_cast<uint32_t>(scenario_.reports_wrong_percent)) {
    used = {20 * used.millicores, 20 * used.memory_mebibytes, 0};
  }
  Delay(now,
        UsageReported{attempt.task, attempt.attempt, used,
                      static_cast<int64_t>(attempt.done * kPermille), now});
}

void FakeFleet::ReportLatency(size_t index, Instant now, microseconds step) {
  const FakeWorker& worker = workers_[index];
  if (!worker.is_up) {
    return;
  }
  const double extra = ExtraSlowdown(Harm(index), worker.load);
  const double requests = kRequestsPerSecond * worker.load * Seconds(step);
  latencies_.Add(requests, worker.load, extra);
  const double noise = reports_at_once_ ? 1 : Noise(kMeasurementNoise);
  double tail = kUnloadedTailMicroseconds * TailOf(worker.load, extra) * noise;
  if (random_(100) < static_cast<uint32_t>(scenario_.reports_wrong_percent)) {
    tail *= 20;
  }
  Delay(now, LatencyReported{worker.id, Service(),
                             microseconds(std::llround(tail / 3)),
                             microseconds(std::llround(tail)),
                             std::llround(requests), now - step, now});
}

void FakeFleet::Delay(Instant now, Event event) {
  if (reports_at_once_) {
    delayed_.push_back({now, std::move(event)});
    return;
  }
  if (random_(100) < static_cast<uint32_t>(scenario_.reports_lost_percent)) {
    return;
  }
  // Each report has its own delay, so reports may be reordered.
  const auto lag = static_cast<uint32_t>(scenario_.report_lag.count());
  delayed_.push_back(
      {now + microseconds(lag / 2 + random_(lag)), std::move(event)});
}

double FakeFleet::Harm(size_t worker) const {
  double harm = 0;
  for (const auto& [task, attempt] : attempts_) {
    if (attempt.worker == worker) {
      const double granted =
          static_cast<double>(attempt.grant.millicores) / kPerCore;
      harm += attempt.kind->harm * std::min(attempt.cores, granted) * kPerCore /
              static_cast<double>(workload_.worker.millicores);
    }
  }
  return harm;
}

void FakeFleet::CheckSums(size_t worker) {
  Resources sum = workload_.reserved;
  for (const auto& [task, attempt] : attempts_) {
    if (attempt.worker == worker) {
      sum = sum + attempt.grant;
    }
  }
  violations_ += FitsIn(sum, workload_.worker) ? 0 : 1;
}

double FakeFleet::Noise(double deviation) {
  return 1 + deviation * Triangular(random_);
}

}  // namespace papayadrift::placement
