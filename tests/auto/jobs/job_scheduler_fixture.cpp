#include "job_scheduler_fixture.h"

#include <algorithm>
#include <ranges>
#include <variant>

namespace papayadrift::jobs {

Instant At(int64_t ms) {
  return Instant(milliseconds(ms));
}

JobSchedulerTest::JobSchedulerTest(const JobSchedulerSettings& settings)
    : scheduler_(settings, At(0), [this](const JobSchedulerEvent& event) {
        events_.push_back(event);
      }) {
  scheduler_.SetRoutes(Routes());
}

RouteTable JobSchedulerTest::Routes() {
  RouteTable routes;
  routes.version = 1;
  Queue queue;
  queue.name = "q";
  queue.service = "s";
  queue.max_failures = 2;
  routes.queues = {queue};
  routes.services = {Service{"s", false, false}};
  return routes;
}

Job JobSchedulerTest::JobOf(uint32_t tasks, int64_t millicores) {
  Job job;
  job.queue = "q";
  job.steps.resize(1);
  job.steps[0].count = tasks;
  job.steps[0].need = {millicores, 100, 0};
  return job;
}

size_t JobSchedulerTest::CountStarts(const RunnerOrders& orders) {
  return static_cast<size_t>(std::ranges::count_if(
      orders | std::views::values,
      [](const Order& it) { return std::holds_alternative<StartOrder>(it); }));
}

RunnerReport JobSchedulerTest::ReportOf(
    const RunnerIncarnation& incarnation) const {
  RunnerReport report;
  report.incarnation = incarnation;
  report.agent_address = "agent";
  report.service = "s";
  report.capacity = {4000, 4000, 0};
  return report;
}

void JobSchedulerTest::Report(const RunnerIncarnation& incarnation,
                              int64_t now_ms,
                              std::vector<ActiveRun> active,
                              std::vector<EndedRun> ended) {
  RunnerReport report = ReportOf(incarnation);
  report.sent_at_ms = now_ms;
  report.listed_at_ms = now_ms;
  report.active = std::move(active);
  report.ended = std::move(ended);
  scheduler_.OnReport(report, At(now_ms));
  scheduler_.OnLeaseGranted(incarnation,
                            At(now_ms) + JobSchedulerSettings().lease);
}

void JobSchedulerTest::Store(JobScheduler& scheduler) {
  const JobScheduler::Changes changes = scheduler.TakeChanges();
  for (const auto& [id, outcome] : changes.outcomes) {
    stored_[id].outcome = outcome.outcome;
    stored_[id].first_occurrence = outcome.first_occurrence;
  }
  for (const auto& [key, task] : changes.tasks) {
    stored_tasks_ += 1;
    if (task) {
      stored_[key.job].tasks[key] = *task;
    } else {
      stored_[key.job].tasks.erase(key);
    }
  }
  scheduler.OnStored(changes.version);
}

JobSchedulerTest::RunnerOrders JobSchedulerTest::Orders(JobScheduler& scheduler,
                                                        int64_t now_ms) {
  scheduler.OnJobsViewed(At(now_ms));
  scheduler.Advance(At(now_ms), now_ms);
  Store(scheduler);
  RunnerOrders all;
  for (const auto& [incarnation, orders] : scheduler.TakeOrders(At(now_ms))) {
    for (const Order& order : orders) {
      all.emplace_back(incarnation, order);
    }
  }
  return all;
}

}  // namespace papayadrift::jobs
