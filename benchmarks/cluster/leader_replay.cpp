#include "leader_replay.h"

#include <fmt/core.h>

#include <ranges>

#include "base/hash.h"
#include "cluster/topics.h"
#include "jobs/codec.h"

namespace papayadrift::cluster {
namespace {

using logging::Event;

// While there is news, the leader appends at this period. A round of decisions
// comes before each append and after the store's answer.
constexpr milliseconds kTick(10);
constexpr milliseconds kRunnerStep(50);
constexpr milliseconds kReportPeriod(500);
constexpr milliseconds kLease(6000);
// An arbitrary Unix time.
constexpr int64_t kUnixMs = 1'800'000'000'000;
constexpr size_t kPayloadBytes = 200;
constexpr uint64_t kTerm = 7;

// As in the processes of the platform.
logging::LoggerSettings LogSettings() {
  logging::LoggerSettings settings;
  settings.budget = {1000, 5000};
  return settings;
}

// Jobs of the deployments have names of 16 digits, as here.
std::vector<experiment::Arrival> NamedAsDeployed(
    std::vector<experiment::Arrival> arrivals) {
  for (experiment::Arrival& it : arrivals) {
    it.id = JobId(fmt::format("{:016x}", StableHash(it.id.text(), 0)));
    it.job.payload = std::string(kPayloadBytes, 'p');
  }
  return arrivals;
}

}  // namespace

LeaderReplay::LeaderReplay(const experiment::Workload& workload,
                           uint64_t seed,
                           int log_descriptor)
    : workload_(workload),
      ground_truth_(MakeGroundTruth(workload_, seed)),
      arrivals_(NamedAsDeployed(MakeArrivals(workload_, seed))),
      clock_(WallInstant(milliseconds(kUnixMs))),
      logger_("leader",
              logging::Level::kInfo,
              clock_,
              log_descriptor,
              LogSettings()),
      scheduler_(jobs::JobSchedulerSettings(),
                 started_at_,
                 [this](const jobs::JobSchedulerEvent& event) {
                   events_.push_back(event);
                 }),
      find_task_([this](const jobs::TaskKey& task) {
        const experiment::Arrival& arrival = *known_.at(task.job);
        return experiment::TaskFacts{&arrival.job.steps[task.step],
                                     arrival.durations[task.step][task.index]};
      }) {
  scheduler_.SetRoutes(MakeRoutes(workload_));
  for (uint32_t i = 0; i < workload_.runners; ++i) {
    runners_.push_back(std::make_unique<experiment::EmulatedRunner>(
        workload_, ground_truth_, find_task_, i, seed));
    runner_of_node_[IncarnationOf(i).node] = i;
  }
}

void LeaderReplay::RunUntil(milliseconds end) {
  while (clock_.Now() < started_at_ + end) {
    SubmitJobs();
    StepRunners();
    Decide();
    Store();
    Decide();
    clock_.Advance(kTick);
    ++ticks_;
  }
}

int64_t LeaderReplay::UnixNow() const {
  return clock_.WallNow().time_since_epoch().count();
}

jobs::RunnerIncarnation LeaderReplay::IncarnationOf(size_t runner) const {
  return {fmt::format("side-nordeste-a-{}", runner),
          fmt::format("runner-nordeste-a-{}", runner), kUnixMs};
}

void LeaderReplay::SubmitJobs() {
  while (next_arrival_ < arrivals_.size() &&
         started_at_ + arrivals_[next_arrival_].at <= clock_.Now()) {
    experiment::Arrival& arrival = arrivals_[next_arrival_++];
    arrival.job.accepted_ms = UnixNow();
    known_[arrival.id] = &arrival;
    scheduler_.AddJob(arrival.id, arrival.job);
  }
}

void LeaderReplay::StepRunners() {
  // The runners take their steps and report in turn.
  for (size_t i = 0; i < runners_.size(); ++i) {
    const int64_t tick = ticks_ + static_cast<int64_t>(i);
    if (tick % (kRunnerStep / kTick) != 0) {
      continue;
    }
    const bool has_news =
        runners_[i]->Step(clock_.Now(), kRunnerStep, measures_);
    if (has_news || tick % (kReportPeriod / kTick) == 0) {
      Report(i);
    }
  }
}

void LeaderReplay::Report(size_t runner) {
  ++counts_.reports;
  jobs::RunnerReport sent = runners_[runner]->Report(clock_.Now());
  sent.incarnation = IncarnationOf(runner);
  sent.agent_address = "10.20.30.40:18080";
  sent.vm = sent.incarnation.node;
  sent.zone = "nordeste-a";
  const std::string body = jobs::Encode(sent);
  const auto report = meter_.Measure(CostKind::kDecodeReports, [&] {
    return jobs::Decode<jobs::RunnerReport>(body);
  });
  meter_.Measure(CostKind::kReports,
                 [&] { scheduler_.OnReport(*report, clock_.Now()); });
  Announce();
  Answer(runner);
}

void LeaderReplay::Answer(size_t runner) {
  const jobs::RunnerIncarnation incarnation = IncarnationOf(runner);
  const std::string body = meter_.Measure(CostKind::kAnswers, [&] {
    if (scheduler_.MayLease(incarnation, clock_.Now())) {
      scheduler_.OnLeaseGranted(incarnation, clock_.Now() + kLease);
    }
    return jobs::Encode(jobs::ReportAnswer{
        kTerm, scheduler_.RecordedEnds(incarnation), UnixNow()});
  });
  runners_[runner]->AcknowledgeEnds(
      jobs::Decode<jobs::ReportAnswer>(body)->recorded_ends);
}

void LeaderReplay::Decide() {
  do {
    ++counts_.rounds;
    counts_.open_jobs += scheduler_.open_jobs();
    for (const auto& runner :
         scheduler_.fleet().runners() | std::views::values) {
      counts_.runs += runner.runs.size();
    }
    meter_.Measure(CostKind::kPlacement, [&] {
      work_before_round_ = scheduler_.fleet().work();
      scheduler_.OnJobsViewed(clock_.Now());
      scheduler_.Advance(clock_.Now(), UnixNow());
    });
    Announce();
    auto batches = meter_.Measure(
        CostKind::kOrders, [&] { return scheduler_.TakeOrders(clock_.Now()); });
    Announce();
    for (auto& [incarnation, orders] : batches) {
      Send(incarnation, std::move(orders));
    }
    meter_.Measure(CostKind::kMetrics, [&] {
      metrics_.UpdateLeaderGauges(kTerm, scheduler_.open_jobs(),
                                  scheduler_.waiting_tasks(),
                                  scheduler_.overdue());
    });
  } while (scheduler_.has_more_to_place());
}

void LeaderReplay::Store() {
  uint64_t version = 0;
  const auto records = meter_.Measure(CostKind::kChanges, [&] {
    std::vector<std::pair<std::string, std::string>> encoded;
    const jobs::JobScheduler::Changes changes = scheduler_.TakeChanges();
    for (const auto& [task, progress] : changes.tasks) {
      encoded.emplace_back(KeyOf(task),
                           progress ? jobs::Encode(*progress) : std::string());
    }
    for (const auto& [id, outcome] : changes.outcomes) {
      encoded.emplace_back(KeyOf(kOutcomePrefix, id), jobs::Encode(outcome));
    }
    version = changes.version;
    return encoded;
  });
  counts_.records += records.size();
  meter_.Measure(CostKind::kStored, [&] { scheduler_.OnStored(version); });
}

void LeaderReplay::Send(const jobs::RunnerIncarnation& incarnation,
                        std::vector<jobs::Order> orders) {
  counts_.orders += orders.size();
  jobs::OrderBatch batch;
  const std::string body = meter_.Measure(CostKind::kEncodeOrders, [&] {
    batch = {kTerm, incarnation, std::move(orders),
             scheduler_.OrderDeadlineMs(incarnation, clock_.Now()),
             scheduler_.ViewedAtMs(incarnation)};
    return jobs::Encode(batch);
  });
  const auto received = jobs::Decode<jobs::OrderBatch>(body);
  jobs::OrderAnswer sent;
  const size_t runner = runner_of_node_.at(incarnation.node);
  for (const jobs::Order& order : received->orders) {
    sent.results.push_back(runners_[runner]->Execute(order, clock_.Now()));
  }
  const std::string answer_body = jobs::Encode(sent);
  const auto answer = meter_.Measure(CostKind::kDecodeResults, [&] {
    return jobs::Decode<jobs::OrderAnswer>(answer_body);
  });
  meter_.Measure(CostKind::kResults, [&] {
    for (size_t i = 0; i < batch.orders.size(); ++i) {
      scheduler_.OnOrderResult(incarnation, batch.orders[i], answer->results[i],
                               clock_.Now());
    }
  });
  Announce();
}

void LeaderReplay::Announce() {
  if (events_.empty()) {
    return;
  }
  counts_.lines += events_.size();
  for (const jobs::JobSchedulerEvent& event : events_) {
    counts_.claims +=
        event.kind == jobs::JobSchedulerEvent::Kind::kRunClaimed ? 1 : 0;
  }
  meter_.Measure(CostKind::kMetrics, [&] {
    for (const jobs::JobSchedulerEvent& event : events_) {
      metrics_.OnSchedulerEvent(event);
    }
  });
  meter_.Measure(CostKind::kLog, [&] {
    for (const jobs::JobSchedulerEvent& event : events_) {
      logger_.Log(Event::kRunChanged,
                  {{"change", std::string(ToText(event.kind))},
                   {"subject", event.subject},
                   {"run", static_cast<int64_t>(event.run)},
                   {"runner", event.runner},
                   {"reason", event.reason},
                   {"term", static_cast<int64_t>(kTerm)}});
    }
  });
  events_.clear();
}

}  // namespace papayadrift::cluster
