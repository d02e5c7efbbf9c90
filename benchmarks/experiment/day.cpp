#include "day.h"

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
// Between the start of the fleet and the first job.
constexpr milliseconds kLead(2000);
constexpr milliseconds kLeastLate(2000);
constexpr milliseconds kMostLate(12000);
// Any Unix time will do.
constexpr int64_t kUnixMs = 1'800'000'000'000;
constexpr double kMsPerMinute = 60000;

// An order without an answer that a runner carries out later.
struct LateOrder {
  Instant due;
  size_t runner = 0;
  jobs::RunnerLife life;
  jobs::Order order;
};

class Day {
 public:
  Day(const Workload& workload, const Variant& variant, uint64_t seed)
      : workload_(workload),
        truth_(MakeTruth(workload, seed)),
        arrivals_(MakeArrivals(workload, seed)),
        random_(seed),
        board_(variant.settings, now_, [this](const jobs::BoardNote& note) {
          measures_.OnNote(note);
        }) {
    board_.SetRoutes(MakeRoutes(workload));
    if (variant.knows_truth) {
      board_.TakeUp(TrueWeights());
    }
    for (uint32_t i = 0; i < workload.runners; ++i) {
      runners_.push_back(std::make_unique<EmulatedRunner>(workload_, truth_,
                                                          find_task_, i, seed));
      index_[runners_.back()->life().node] = i;
    }
  }

  Measures Play() {
    const Instant end = begun_at_ + kLead + workload_.length;
    for (; now_ < end; now_ += kStep) {
      Arrive();
      CrashSome();
      StepRunners();
      StepBoard();
    }
    JudgeJobs();
    return measures_;
  }

 private:
  int64_t UnixNow() const {
    return kUnixMs + std::chrono::floor<milliseconds>(now_ - begun_at_).count();
  }

  jobs::Learned TrueWeights() const {
    constexpr double kSure = 0.05;
    const Sensitivity& sensitivity = workload_.sensitivity;
    // Slack is the target divided by the tail.
    const double factor = static_cast<double>(sensitivity.target_ms) /
                          static_cast<double>(sensitivity.calm_tail_ms);
    jobs::Learned learned;
    for (const auto& [images, press] : truth_.presses) {
      learned.weights.push_back(
          {images.first, images.second, press * factor, kSure});
    }
    return learned;
  }

  TaskFacts FactsOf(const jobs::TaskKey& task) const {
    const Arrival& arrival = *known_.at(task.job);
    return {&arrival.job.steps[task.step],
            arrival.durations[task.step][task.index]};
  }

  void Arrive() {
    while (next_ < arrivals_.size() &&
           begun_at_ + kLead + arrivals_[next_].at <= now_) {
      Arrival& arrival = arrivals_[next_++];
      arrival.job.accepted_ms = UnixNow();
      known_[arrival.id] = &arrival;
      board_.AddJob(arrival.id, arrival.job);
    }
  }

  void CrashSome() {
    const double chance = workload_.crashes_per_minute *
                          static_cast<double>(kStep.count()) / kMsPerMinute;
    if (chance > 0 && Uniform(random_, 0, 1) < chance) {
      runners_[random_(runners_.size())]->Crash(now_, measures_);
    }
  }

  void StepRunners() {
    for (const auto& late : late_orders_) {
      if (late.due <= now_ && runners_[late.runner]->life() == late.life) {
        runners_[late.runner]->Obey(late.order, now_);
      }
    }
    std::erase_if(late_orders_,
                  [this](const LateOrder& it) { return it.due <= now_; });
    const auto steps =
        std::chrono::floor<milliseconds>(now_ - begun_at_) / kStep;
    for (size_t i = 0; i < runners_.size(); ++i) {
      EmulatedRunner& runner = *runners_[i];
      const bool has_news = runner.Step(now_, kStep, measures_);
      // Reports of the fleet are spread over their period.
      const bool is_due =
          (steps + static_cast<int64_t>(i)) % (kReportPeriod / kStep) == 0;
      if (has_news || is_due) {
        board_.OnReport(runner.Report(now_), now_);
        board_.OnLeaseGranted(runner.life(), now_ + kLease);
      }
    }
  }

  // Changes are stored, and orders answered, by the next step.
  void StepBoard() {
    board_.Advance(now_, UnixNow());
    board_.OnStored(board_.TakeChanges().version);
    for (const auto& runner : runners_) {
      runner->AcknowledgeEnds(board_.RecordedEnds(runner->life()));
    }
    for (const auto& [life, orders] : board_.TakeOrders(now_)) {
      const size_t i = index_.at(life.node);
      for (const jobs::Order& order : orders) {
        measures_.OnOrder(order);
        board_.OnOrderResult(life, order, Carry(i, life, order), now_);
      }
    }
  }

  jobs::OrderResult Carry(size_t i,
                          const jobs::RunnerLife& life,
                          const jobs::Order& order) {
    if (runners_[i]->life() != life) {
      return {jobs::OrderVerdict::kRefused, 0};
    }
    if (Uniform(random_, 0, 1) < workload_.lost_orders) {
      const double late =
          Uniform(random_, static_cast<double>(kLeastLate.count()),
                  static_cast<double>(kMostLate.count()));
      late_orders_.push_back(
          {now_ + milliseconds(static_cast<int64_t>(late)), i, life, order});
      return {};
    }
    return runners_[i]->Obey(order, now_);
  }

  // The longest chain of work, with the longest task of each step.
  static milliseconds ChainOf(const Arrival& arrival) {
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

  void JudgeJobs() {
    const jobs::RouteTable routes = MakeRoutes(workload_);
    for (const auto& [id, arrival] : known_) {
      if (arrival->job.queue == kServicesQueue) {
        continue;
      }
      const jobs::Queue& queue = *routes.Find(arrival->job.queue);
      const double allowed =
          queue.target_factor * static_cast<double>(ChainOf(*arrival).count()) +
          static_cast<double>(queue.target_extra_ms);
      const auto ended = board_.EndedAt(id);
      const Instant until = ended.value_or(now_);
      const Instant come = begun_at_ + kLead + arrival->at;
      const auto took = static_cast<double>(
          std::chrono::floor<milliseconds>(until - come).count());
      measures_.OnJob(queue.name, WorkOf(*arrival), took / allowed,
                      ended.has_value());
    }
  }

  const Workload& workload_;
  const Truth truth_;
  std::vector<Arrival> arrivals_;
  pcg64 random_;
  const Instant begun_at_ = Instant(seconds(1000));
  Instant now_ = begun_at_;
  Measures measures_;
  jobs::Board board_;
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

Measures PlayDay(const Workload& workload,
                 const Variant& variant,
                 uint64_t seed) {
  return Day(workload, variant, seed).Play();
}

}  // namespace papayadrift::experiment
