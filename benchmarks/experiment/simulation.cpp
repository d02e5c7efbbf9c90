#include "simulation.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <ranges>
#include <utility>
#include <vector>

#include "dice.h"
#include "emulated_runner.h"
#include "jobs/work_order.h"

namespace papayadrift::experiment {
namespace {

constexpr milliseconds kStep(50);
constexpr milliseconds kReportPeriod(500);
constexpr milliseconds kLease(6000);
// Time between the start of the fleet and the first job.
constexpr milliseconds kWarmUp(2000);
constexpr milliseconds kMinOrderDelay(2000);
constexpr milliseconds kMaxOrderDelay(12000);
// An arbitrary Unix time.
constexpr int64_t kUnixMs = 1'800'000'000'000;
constexpr double kMsPerMinute = 60000;

// An unanswered order that a runner executes later.
struct LateOrder {
  Instant due;
  size_t runner = 0;
  jobs::RunnerIncarnation incarnation;
  jobs::Order order;
};

class Simulation {
 public:
  Simulation(const Workload& workload, const Variant& variant, uint64_t seed)
      : workload_(workload),
        ground_truth_(MakeGroundTruth(workload, seed)),
        arrivals_(MakeArrivals(workload, seed)),
        random_(seed),
        scheduler_(variant.settings,
                   now_,
                   [this](const jobs::JobSchedulerEvent& event) {
                     measures_.OnSchedulerEvent(event);
                   }) {
    scheduler_.SetRoutes(MakeRoutes(workload));
    if (variant.knows_truth) {
      scheduler_.ImportLearned(GroundTruthWeights());
    }
    for (uint32_t i = 0; i < workload.runners; ++i) {
      runners_.push_back(std::make_unique<EmulatedRunner>(
          workload_, ground_truth_, find_task_, i, seed));
      index_[runners_.back()->incarnation().node] = i;
    }
  }

  Measures Run() {
    const Instant end = started_at_ + kWarmUp + workload_.length;
    for (; now_ < end; now_ += kStep) {
      SubmitJobs();
      CrashRunners();
      StepRunners();
      StepScheduler();
    }
    RecordJobs();
    return measures_;
  }

 private:
  int64_t UnixNow() const {
    return kUnixMs +
           std::chrono::floor<milliseconds>(now_ - started_at_).count();
  }

  jobs::LearnedModel GroundTruthWeights() const {
    constexpr double kDeviation = 0.05;
    const Sensitivity& sensitivity = workload_.sensitivity;
    // Slack is the target divided by the tail latency.
    const double factor = static_cast<double>(sensitivity.target_ms) /
                          static_cast<double>(sensitivity.idle_tail_ms);
    jobs::LearnedModel learned;
    for (const auto& [images, interference] : ground_truth_.interference) {
      learned.weights.push_back(
          {images.first, images.second, interference * factor, kDeviation});
    }
    return learned;
  }

  TaskFacts FactsOf(const jobs::TaskKey& task) const {
    const Arrival& arrival = *known_.at(task.job);
    return {&arrival.job.steps[task.step],
            arrival.durations[task.step][task.index]};
  }

  void SubmitJobs() {
    while (next_ < arrivals_.size() &&
           started_at_ + kWarmUp + arrivals_[next_].at <= now_) {
      Arrival& arrival = arrivals_[next_++];
      arrival.job.accepted_ms = UnixNow();
      known_[arrival.id] = &arrival;
      scheduler_.AddJob(arrival.id, arrival.job);
    }
  }

  void CrashRunners() {
    const double chance = workload_.crashes_per_minute *
                          static_cast<double>(kStep.count()) / kMsPerMinute;
    if (chance > 0 && Uniform(random_, 0, 1) < chance) {
      runners_[random_(runners_.size())]->Crash(now_, measures_);
    }
  }

  void StepRunners() {
    for (const auto& late : late_orders_) {
      if (late.due <= now_ &&
          runners_[late.runner]->incarnation() == late.incarnation) {
        runners_[late.runner]->Execute(late.order, now_);
      }
    }
    std::erase_if(late_orders_,
                  [this](const LateOrder& it) { return it.due <= now_; });
    const auto steps =
        std::chrono::floor<milliseconds>(now_ - started_at_) / kStep;
    for (size_t i = 0; i < runners_.size(); ++i) {
      EmulatedRunner& runner = *runners_[i];
      const bool has_news = runner.Step(now_, kStep, measures_);
      // Reports of the runners are spread over the report period.
      const bool is_due =
          (steps + static_cast<int64_t>(i)) % (kReportPeriod / kStep) == 0;
      if (has_news || is_due) {
        scheduler_.OnReport(runner.Report(now_), now_);
        scheduler_.OnLeaseGranted(runner.incarnation(), now_ + kLease);
      }
    }
  }

  // Changes are stored and orders answered within one step.
  void StepScheduler() {
    do {
      scheduler_.OnJobsViewed(now_);
      scheduler_.Advance(now_, UnixNow());
    } while (scheduler_.has_more_to_place());
    scheduler_.OnStored(scheduler_.TakeChanges().version);
    for (const auto& runner : runners_) {
      runner->AcknowledgeEnds(scheduler_.RecordedEnds(runner->incarnation()));
    }
    for (const auto& [incarnation, orders] : scheduler_.TakeOrders(now_)) {
      const size_t i = index_.at(incarnation.node);
      for (const jobs::Order& order : orders) {
        measures_.OnOrder(order);
        scheduler_.OnOrderResult(incarnation, order,
                                 DeliverOrder(i, incarnation, order), now_);
      }
    }
  }

  jobs::OrderResult DeliverOrder(size_t i,
                                 const jobs::RunnerIncarnation& incarnation,
                                 const jobs::Order& order) {
    if (runners_[i]->incarnation() != incarnation) {
      return {jobs::OrderVerdict::kRefused, 0};
    }
    if (Uniform(random_, 0, 1) < workload_.lost_orders) {
      const double late =
          Uniform(random_, static_cast<double>(kMinOrderDelay.count()),
                  static_cast<double>(kMaxOrderDelay.count()));
      late_orders_.push_back({now_ + milliseconds(static_cast<int64_t>(late)),
                              i, incarnation, order});
      return {};
    }
    return runners_[i]->Execute(order, now_);
  }

  // Sum over the steps of the longest task of each.
  static milliseconds CriticalPathOf(const Arrival& arrival) {
    milliseconds sum(0);
    for (const auto& durations : arrival.durations) {
      sum += std::ranges::max(durations);
    }
    return sum;
  }

  static double WorkOf(const Arrival& arrival) {
    double sum = 0;
    for (size_t i = 0; i < arrival.durations.size(); ++i) {
      const auto cores =
          static_cast<double>(arrival.job.steps[i].need.millicores);
      for (const milliseconds duration : arrival.durations[i]) {
        sum += cores * static_cast<double>(duration.count());
      }
    }
    return sum;
  }

  void RecordJobs() {
    const jobs::RouteTable routes = MakeRoutes(workload_);
    for (const auto& [id, arrival] : known_) {
      if (arrival->job.queue == kServicesQueue) {
        continue;
      }
      const jobs::Queue& queue = *routes.Find(arrival->job.queue);
      const double allowed =
          queue.target_factor *
              static_cast<double>(CriticalPathOf(*arrival).count()) +
          static_cast<double>(queue.target_extra_ms);
      const auto ended = scheduler_.EndedAt(id);
      const Instant until = ended.value_or(now_);
      const Instant submitted = started_at_ + kWarmUp + arrival->at;
      const auto took = static_cast<double>(
          std::chrono::floor<milliseconds>(until - submitted).count());
      measures_.OnJob(queue.name, WorkOf(*arrival), took / allowed,
                      ended.has_value());
    }
  }

  const Workload& workload_;
  const GroundTruth ground_truth_;
  std::vector<Arrival> arrivals_;
  pcg64 random_;
  const Instant started_at_ = Instant(seconds(1000));
  Instant now_ = started_at_;
  Measures measures_;
  jobs::JobScheduler scheduler_;
  const FindTask find_task_ = [this](const jobs::TaskKey& task) {
    return FactsOf(task);
  };
  std::vector<std::unique_ptr<EmulatedRunner>> runners_;
  std::map<std::string, size_t> index_;
  std::map<JobId, const Arrival*> known_;
  size_t next_ = 0;
  std::vector<LateOrder> late_orders_;
};

}  // namespace

Measures RunSimulation(const Workload& workload,
                       const Variant& variant,
                       uint64_t seed) {
  return Simulation(workload, variant, seed).Run();
}

}  // namespace papayadrift::experiment
