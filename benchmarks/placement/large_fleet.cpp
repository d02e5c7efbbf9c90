#include "large_fleet.h"

#include <algorithm>
#include <utility>

namespace papayadrift::placement {

namespace {

constexpr microseconds kStep = milliseconds(100);
constexpr microseconds kGrantTakes = milliseconds(300);
constexpr microseconds kStopTakes = seconds(5);
constexpr int kRunners = 5;  // On each worker: 7,500 on 1,600, rounded up.
constexpr size_t kServices = 300;
constexpr size_t kTeams = 630;
constexpr size_t kKinds = 40;
constexpr uint32_t kTasksPerWorker = 11;
constexpr uint32_t kTasksPerJob = 10;
constexpr size_t kStepsPerReport = 100;  // Once per 10 s.
constexpr Resources kWorker = {32'000, 125'000, 0};
constexpr Resources kReserved = {1'000, 2'000, 0};
constexpr Resources kTask = {1'500, 4'000, 0};

ServiceId ServiceOf(size_t worker, int runner) {
  const size_t number = worker * kRunners + static_cast<size_t>(runner);
  return ServiceId("service-" + std::to_string(number % kServices));
}

WorkerId WorkerOf(size_t number) {
  return WorkerId("worker-" + std::to_string(number));
}

Policy PolicyFor(size_t workers) {
  Policy policy;
  const auto part = [&](int64_t amount) {
    return amount * static_cast<int64_t>(workers) /
               static_cast<int64_t>(kTeams) +
           amount;
  };
  for (size_t i = 0; i < kTeams; ++i) {
    policy.teams.push_back(
        {TeamId("team-" + std::to_string(i)),
         {part(kWorker.millicores), part(kWorker.memory_mebibytes), 0},
         1.0});
  }
  for (size_t i = 0; i < kServices; ++i) {
    policy.services.push_back({ServiceId("service-" + std::to_string(i)),
                               CustomerId("customer"), milliseconds(20)});
  }
  policy.customers = {{CustomerId("customer"), 1.0, 1.0}};
  return policy;
}

}  // namespace

LargeFleet::LargeFleet(size_t workers, uint64_t seed)
    : random_(seed),
      workers_(workers),
      scheduler_(MakeLearningScheduler({.seed = seed})) {
  Deliver(PolicyChanged{PolicyFor(workers)});
  for (size_t i = 0; i < workers; ++i) {
    WorkerUp up = {.worker = WorkerOf(i),
                   .incarnation = Incarnation(1),
                   .zone = ZoneId("zone-" + std::to_string(i % 14)),
                   .rack = RackId("rack-" + std::to_string(i / 3)),
                   .capacity = kWorker,
                   .runners = {}};
    for (int j = 0; j < kRunners; ++j) {
      up.runners.push_back({ServiceOf(i, j), kReserved});
    }
    Deliver(up);
  }
}

void LargeFleet::Fill() {
  const size_t wanted = workers_ * kTasksPerWorker;
  while (running_.size() < wanted) {
    Submit(kTasksPerJob, false, kTask);
    Advance();
  }
}

void LargeFleet::Churn(int steps, size_t ends_per_step) {
  for (int i = 0; i < steps; ++i) {
    Advance();
    for (size_t j = 0; j < ends_per_step && !running_.empty(); ++j) {
      EndOne();
      if (j % kTasksPerJob == 0) {
        const auto left = static_cast<uint32_t>(ends_per_step - j);
        Submit(std::min(left, kTasksPerJob), false, kTask);
      }
    }
    Report();
  }
}

void LargeFleet::Saturate() {
  constexpr uint32_t kSaturatingTasks = 9;
  for (size_t i = 0; i < workers_; ++i) {
    Submit(kSaturatingTasks, false, kTask);
  }
  constexpr int kSteps = 600;
  for (int i = 0; i < kSteps; ++i) {
    Advance();
  }
}

std::vector<double> LargeFleet::Urgent(int steps) {
  constexpr int kStepsToSettle = 100;
  for (int i = 0; i < steps + kStepsToSettle; ++i) {
    if (i < steps) {
      Submit(1, true, kTask);
    }
    Advance();
  }
  for (const auto& [job, since] : urgent_since_) {
    urgent_waits_.push_back(static_cast<double>((now_ - since).count()) / 1e6);
  }
  return urgent_waits_;
}

void LargeFleet::Deliver(const Event& event) {
  for (const Action& action : scheduler_->Handle(now_, event)) {
    Execute(action);
  }
}

void LargeFleet::Execute(const Action& action) {
  if (const auto* claim = std::get_if<Claim>(&action)) {
    delayed_.push_back(
        {now_, ClaimAccepted{claim->task, claim->attempt, claim->worker,
                             claim->incarnation, claim->grant}});
    delayed_.push_back({now_, TaskStarted{claim->task, claim->attempt}});
    positions_[claim->task] = running_.size();
    running_.push_back({claim->task, claim->attempt, claim->grant});
    const auto it = urgent_since_.find(claim->task.job);
    if (it != urgent_since_.end()) {
      urgent_waits_.push_back(static_cast<double>((now_ - it->second).count()) /
                              1e6);
      urgent_since_.erase(it);
    }
  } else if (const auto* change = std::get_if<ChangeGrant>(&action)) {
    delayed_.push_back(
        {now_ + kGrantTakes,
         GrantConfirmed{change->task, change->attempt, change->grant}});
  } else if (const auto* evict = std::get_if<Evict>(&action)) {
    delayed_.push_back(
        {now_ + kStopTakes,
         TaskEnded{
             evict->task, evict->attempt, records::TaskEnding::kStopped, {}}});
  }
}

void LargeFleet::Submit(uint32_t tasks,
                        bool is_urgent,
                        const Resources& declared) {
  const size_t number = next_job_++;
  const JobId job("job-" + std::to_string(number));
  if (is_urgent) {
    urgent_since_[job] = now_;
  }
  Deliver(JobSubmitted{
      .job = job,
      .customer = CustomerId("customer"),
      .team = TeamId("team-" + std::to_string(random_(uint32_t{kTeams}))),
      .kind = KindId("kind-" + std::to_string(random_(uint32_t{kKinds}))),
      .tasks = tasks,
      .declared = declared,
      .declared_run = seconds(60),
      .is_urgent = is_urgent,
      .is_checkpointable = number % 2 == 0});
}

void LargeFleet::EndOne() {
  const auto position = static_cast<size_t>(random_(running_.size()));
  const Running ended = running_[position];
  running_[position] = running_.back();
  positions_[running_[position].task] = position;
  running_.pop_back();
  positions_.erase(ended.task);
  Deliver(
      TaskEnded{ended.task, ended.attempt, records::TaskEnding::kFinished, {}});
}

void LargeFleet::Report() {
  const size_t tasks = running_.size() / kStepsPerReport;
  for (size_t i = 0; i < tasks; ++i) {
    const Running& it = running_[random_(running_.size())];
    Deliver(UsageReported{
        it.task,
        it.attempt,
        {it.grant.millicores * 2 / 3, it.grant.memory_mebibytes / 2, 0},
        500,
        now_ - seconds(2)});
  }
  const size_t latencies = workers_ * kRunners / kStepsPerReport;
  for (size_t i = 0; i < latencies; ++i) {
    const auto worker = static_cast<size_t>(random_(workers_));
    const auto runner = static_cast<int>(random_(uint32_t{kRunners}));
    Deliver(LatencyReported{WorkerOf(worker), ServiceOf(worker, runner),
                            milliseconds(3), milliseconds(9 + random_(4U)),
                            1000, now_ - seconds(20), now_ - seconds(10)});
  }
}

void LargeFleet::Advance() {
  now_ += kStep;
  const auto due = std::ranges::stable_partition(
      delayed_, [this](const Delayed& it) { return it.due > now_; });
  std::vector<Event> events;
  std::ranges::transform(due, std::back_inserter(events), &Delayed::event);
  delayed_.erase(due.begin(), due.end());
  std::ranges::for_each(events, [this](const Event& it) { Deliver(it); });
  Deliver(Tick());
}

}  // namespace papayadrift::placement
