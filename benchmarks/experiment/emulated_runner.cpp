#include "emulated_runner.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <ranges>
#include <utility>
#include <variant>

#include "dice.h"

namespace papayadrift::experiment {
namespace {

constexpr milliseconds kGaugePeriod(500);
constexpr milliseconds kPacingDelay(100);
// Weights of a new value in each step of 50 ms. After a change of load a tail
// latency covers half of its way to the new value in half a second; processor
// use follows faster.
constexpr double kTailSmoothing = 0.067;
constexpr double kUseSmoothing = 0.3;
constexpr double kSaveIntervalMs = 500;
constexpr double kRestoreMs = 250;
// Upper limit of a tail latency, as a multiple of the tail latency without
// load.
constexpr double kMaxTailFactor = 40;
constexpr uint32_t kFullPercent = 100;

double Milliseconds(milliseconds span) {
  return static_cast<double>(span.count());
}

int64_t ClockOf(Instant now) {
  return std::chrono::floor<milliseconds>(now).time_since_epoch().count();
}

}  // namespace

EmulatedRunner::EmulatedRunner(const Workload& workload,
                               const GroundTruth& ground_truth,
                               const FindTask& find_task,
                               uint32_t number,
                               uint64_t seed)
    : workload_(workload),
      ground_truth_(ground_truth),
      find_task_(find_task),
      number_(number),
      random_(seed, number),
      incarnation_{"agent-" + std::to_string(number),
                   "runner-" + std::to_string(number), 1} {}

double EmulatedRunner::LoadOf(const Task& task, Instant now) const {
  const Sensitivity& sensitivity = workload_.sensitivity;
  const double periods =
      Milliseconds(std::chrono::floor<milliseconds>(now.time_since_epoch())) /
      Milliseconds(sensitivity.period);
  return sensitivity.load *
         (1 + sensitivity.swing *
                  std::sin(2 * std::numbers::pi * (periods + task.phase)));
}

double EmulatedRunner::DisturbanceOf(const std::string& serving_image) const {
  double sum = 0;
  for (const Task& task : tasks_ | std::views::values) {
    if (task.step->is_filler) {
      sum += ground_truth_.InterferenceOf(serving_image, task.step->image) *
             task.speed * static_cast<double>(task.step->need.millicores) /
             static_cast<double>(workload_.capacity.millicores);
    }
  }
  return sum;
}

// Fillers share the processors that other tasks leave, in proportion to their
// requests.
void EmulatedRunner::ShareProcessors(Instant now) {
  double left = static_cast<double>(workload_.capacity.millicores);
  double wanted = 0;
  for (Task& task : tasks_ | std::views::values) {
    if (now - task.paced_at >= kPacingDelay) {
      task.pace_percent = task.next_pace_percent;
    }
    const auto need = static_cast<double>(task.step->need.millicores);
    if (task.step->is_filler) {
      wanted += need * task.pace_percent / kFullPercent;
    } else {
      left -= task.step->tail_target_ms > 0 ? need * LoadOf(task, now) : need;
      task.speed = 1;
    }
  }
  const double share = wanted <= 0 ? 1 : std::clamp(left / wanted, 0.0, 1.0);
  for (Task& task : tasks_ | std::views::values) {
    if (task.step->is_filler) {
      task.speed = share * task.pace_percent / kFullPercent;
    }
  }
}

bool EmulatedRunner::Step(Instant now, milliseconds step, Measures& measures) {
  ShareProcessors(now);
  std::vector<jobs::TaskKey> done;
  for (auto& [key, task] : tasks_) {
    if (task.step->tail_target_ms > 0) {
      RunServing(task, now, step, measures);
    } else if (RunBatch(key, task, step, measures)) {
      done.push_back(key);
    }
  }
  for (const jobs::TaskKey& key : done) {
    End(key, tasks_.at(key), jobs::RunEnd::kDone);
    tasks_.erase(key);
  }
  if (now - gauges_read_at_ >= kGaugePeriod) {
    ReadGauges(now);
  }
  return !done.empty();
}

void EmulatedRunner::RunServing(Task& task,
                                Instant now,
                                milliseconds step,
                                Measures& measures) {
  const double free = 1 - LoadOf(task, now) - DisturbanceOf(task.step->image);
  const double tail = static_cast<double>(workload_.sensitivity.idle_tail_ms) /
                      std::max(1 / kMaxTailFactor, free);
  task.tail_ms = task.tail_ms == 0
                     ? tail
                     : task.tail_ms + kTailSmoothing * (tail - task.tail_ms);
  measures.OnServing(step,
                     tail > static_cast<double>(task.step->tail_target_ms));
}

bool EmulatedRunner::RunBatch(const jobs::TaskKey& key,
                              Task& task,
                              milliseconds step,
                              Measures& measures) {
  task.done_ms += task.speed * Milliseconds(step);
  const auto need = static_cast<double>(task.step->need.millicores);
  task.use += kUseSmoothing * (need * task.speed - task.use);
  if (task.step->is_filler) {
    measures.OnFiller(key, step, task.speed);
  }
  if (task.step->is_checkpointing) {
    task.saved_ms =
        std::max(task.saved_ms,
                 std::floor(task.done_ms / kSaveIntervalMs) * kSaveIntervalMs);
  }
  return task.done_ms >= Milliseconds(task.work);
}

void EmulatedRunner::ReadGauges(Instant now) {
  gauges_read_at_ = now;
  for (Task& task : tasks_ | std::views::values) {
    const double value =
        task.step->tail_target_ms > 0 ? task.tail_ms : task.use;
    const double rough =
        value * (1 + workload_.sensitivity.noise * Triangular(random_));
    task.gauge = std::max<int64_t>(1, std::llround(rough));
  }
}

std::string EmulatedRunner::CheckpointOf(double saved_ms) {
  return saved_ms <= 0 ? std::string()
                       : std::to_string(static_cast<int64_t>(saved_ms));
}

jobs::RunnerReport EmulatedRunner::Report(Instant now) const {
  jobs::RunnerReport report;
  report.incarnation = incarnation_;
  report.agent_address = incarnation_.node;
  report.service = kService;
  report.vm = incarnation_.node;
  report.capacity = workload_.capacity;
  report.labels = {"rack-" +
                   std::to_string(number_ / workload_.runners_per_rack)};
  report.sent_at_ms = ClockOf(now);
  report.listed_at_ms = ClockOf(now);
  for (const auto& [key, task] : tasks_) {
    const bool is_serving = task.step->is_long_running;
    const uint32_t percent =
        is_serving ? kFullPercent
                   : static_cast<uint32_t>(
                         kFullPercent *
                         std::min(1.0, task.done_ms / Milliseconds(task.work)));
    report.active.push_back(
        {key, task.run, CheckpointOf(task.saved_ms), percent, task.gauge});
  }
  report.ended = ended_;
  return report;
}

void EmulatedRunner::AcknowledgeEnds(uint64_t recorded) {
  std::erase_if(ended_, [recorded](const jobs::EndedRun& it) {
    return it.number <= recorded;
  });
}

jobs::OrderResult EmulatedRunner::Execute(const jobs::Order& order,
                                          Instant now) {
  if (const auto* start = std::get_if<jobs::StartOrder>(&order)) {
    return Start(*start, now);
  }
  if (const auto* stop = std::get_if<jobs::StopOrder>(&order)) {
    return Stop(*stop, now);
  }
  return SetPace(std::get<jobs::PaceOrder>(order), now);
}

jobs::OrderResult EmulatedRunner::Start(const jobs::StartOrder& order,
                                        Instant now) {
  const auto known = tasks_.find(order.task);
  if (known != tasks_.end() && known->second.run == order.run) {
    return {jobs::OrderVerdict::kDone, ClockOf(now)};
  }
  const auto stopped = stopped_.find(order.task);
  if (stopped != stopped_.end() && order.run <= stopped->second) {
    return {jobs::OrderVerdict::kStaleRun, ClockOf(now)};
  }
  const TaskFacts facts = find_task_(order.task);
  Task task;
  task.run = order.run;
  task.step = facts.step;
  task.work = facts.work;
  task.phase = Uniform(random_, 0, 1);
  if (!order.checkpoint.empty()) {
    task.saved_ms = std::stod(order.checkpoint);
    task.done_ms = task.saved_ms - kRestoreMs;
  }
  tasks_[order.task] = task;
  return {jobs::OrderVerdict::kDone, ClockOf(now)};
}

jobs::OrderResult EmulatedRunner::Stop(const jobs::StopOrder& order,
                                       Instant now) {
  uint32_t& highest = stopped_[order.task];
  highest = std::max(highest, order.run);
  const auto it = tasks_.find(order.task);
  if (it != tasks_.end() && it->second.run <= order.run) {
    End(order.task, it->second, jobs::RunEnd::kStopped);
    tasks_.erase(it);
  }
  return {jobs::OrderVerdict::kDone, ClockOf(now)};
}

jobs::OrderResult EmulatedRunner::SetPace(const jobs::PaceOrder& order,
                                          Instant now) {
  const auto it = tasks_.find(order.task);
  if (it != tasks_.end() && it->second.run == order.run) {
    it->second.next_pace_percent = order.percent;
    it->second.paced_at = now;
  }
  return {jobs::OrderVerdict::kDone, ClockOf(now)};
}

void EmulatedRunner::End(const jobs::TaskKey& key,
                         const Task& task,
                         jobs::RunEnd end) {
  uint32_t& highest = stopped_[key];
  highest = std::max(highest, task.run);
  ended_.push_back({++ends_, key, task.run, end, CheckpointOf(task.saved_ms)});
}

void EmulatedRunner::Crash(Instant now, Measures& measures) {
  for (const Task& task : tasks_ | std::views::values) {
    measures.OnLostWork(
        milliseconds(static_cast<int64_t>(task.done_ms - task.saved_ms)));
  }
  tasks_.clear();
  stopped_.clear();
  ended_.clear();
  ends_ = 0;
  incarnation_.start_unix_ms = ClockOf(now) + 1;
}

}  // namespace papayadrift::experiment
