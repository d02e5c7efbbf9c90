#include "model_runner.h"

#include <algorithm>
#include <memory>
#include <ranges>
#include <utility>
#include <variant>

#include "workload.h"

namespace papayadrift::run_histories {
namespace {

constexpr int64_t kFirstClockMs = 1000;
constexpr int64_t kPercent = 100;

}  // namespace

ModelRunner::ModelRunner(const ModelRunnerSettings& settings,
                         const milliseconds& wall_lead,
                         Simulation& simulation,
                         Referee& referee)
    : settings_(settings),
      wall_lead_(wall_lead),
      simulation_(simulation),
      referee_(referee),
      capacity_(settings.capacity),
      lease_timer_(simulation) {}

void ModelRunner::Start(const std::string& instance) {
  is_up_ = true;
  instance_ = instance;
  ++life_;
  started_at_ = simulation_.Now();
  born_ms_ = simulation_.UnixMs() + wall_lead_.count();
  announcements_ = 0;
  fencing_token_ = 0;
  lease_until_ms_ = 0;
  end_count_ = 0;
}

void ModelRunner::Crash() {
  is_up_ = false;
  ++life_;
  active_.clear();
  numbers_.clear();
  floors_.clear();
  ended_.clear();
  // The system closes the connections of the process.
  for (const auto& hold : std::exchange(waiting_holds_, {})) {
    AnswerHold(*hold, cluster::RunnerFailure::kUnanswered);
  }
  lease_timer_.Cancel();
  referee_.OnRunnerEnded(settings_.index);
}

void ModelRunner::set_capacity(const Resources& capacity) {
  if (!FitsIn(capacity_, capacity)) {
    referee_.OnShrunk(settings_.index);
  }
  capacity_ = capacity;
}

cluster::Announcement ModelRunner::Announce() {
  cluster::Announcement announcement;
  announcement.instance = instance_;
  announcement.start_unix_ms = born_ms_;
  announcement.sequence = ++announcements_;
  announcement.service = Routes().services.front().name;
  announcement.capacity = capacity_;
  return announcement;
}

int64_t ModelRunner::ClockMs() const {
  return kFirstClockMs + std::chrono::floor<milliseconds>(
                             (simulation_.Now() - started_at_) *
                             settings_.clock_rate_percent / kPercent)
                             .count();
}

void ModelRunner::ExtendLease(int64_t deadline_ms) {
  const int64_t until_ms =
      std::min(deadline_ms, ClockMs() + settings_.longest_lease.count());
  if (until_ms <= lease_until_ms_ || until_ms <= ClockMs()) {
    return;
  }
  lease_until_ms_ = until_ms;
  lease_timer_.Start(milliseconds(until_ms - ClockMs()) * kPercent /
                             settings_.clock_rate_percent +
                         milliseconds(1),
                     [this] { OnLeaseExpired(); });
}

void ModelRunner::OnLeaseExpired() {
  const auto runs = active_;
  for (const auto& [task, run] : runs) {
    End(task, run.number, jobs::RunEnd::kLeaseExpired);
  }
  referee_.OnLapse(settings_.index);
}

void ModelRunner::Receive(microseconds held_up, Simulation::Action execute) {
  if (!is_up_ || held_up == microseconds(0)) {
    execute();
    return;
  }
  simulation_.After(held_up, [this, execute = std::move(execute)] {
    if (is_up_) {
      execute();
    }
  });
}

jobs::OrderVerdict ModelRunner::Execute(const std::string& instance,
                                        const jobs::Order& order,
                                        uint64_t fencing_token,
                                        int64_t lease_until_ms,
                                        Instant sent_at) {
  if (!is_up_ || instance != instance_) {
    return jobs::OrderVerdict::kRefused;
  }
  if (fencing_token < fencing_token_) {
    return jobs::OrderVerdict::kSuperseded;
  }
  fencing_token_ = fencing_token;
  if (const auto* start = std::get_if<jobs::StartOrder>(&order)) {
    return StartRun(*start, lease_until_ms, sent_at);
  }
  if (const auto* stop = std::get_if<jobs::StopOrder>(&order)) {
    StopRun(*stop);
  }
  return jobs::OrderVerdict::kDone;
}

jobs::OrderVerdict ModelRunner::StartRun(const jobs::StartOrder& start,
                                         int64_t lease_until_ms,
                                         Instant sent_at) {
  ExtendLease(lease_until_ms);
  const auto present = active_.find(start.task);
  if (present != active_.end() && present->second.number == start.run) {
    return jobs::OrderVerdict::kDone;
  }
  const auto floor = floors_.find(start.task);
  if (floor != floors_.end() && start.run <= floor->second) {
    return jobs::OrderVerdict::kStaleRun;
  }
  if (!HasLease()) {
    return jobs::OrderVerdict::kLeaseExpired;
  }
  active_[start.task] = {start.run, simulation_.Now(), false};
  numbers_[start.task] = start.run;
  referee_.OnStart(settings_.index, start.task, start.run, sent_at);
  referee_.OnCapacity(settings_.index, sent_at, !FitsIn(Used(), capacity_));
  if (!StepOfTask(start.task).is_long_running) {
    simulation_.After(DurationOf(start.task),
                      [this, life = life_, task = start.task, run = start.run] {
                        if (life == life_) {
                          End(task, run, jobs::RunEnd::kDone);
                        }
                      });
  }
  return jobs::OrderVerdict::kDone;
}

void ModelRunner::StopRun(const jobs::StopOrder& stop) {
  uint32_t& floor = floors_[stop.task];
  floor = std::max(floor, stop.run);
  const auto it = active_.find(stop.task);
  if (it == active_.end() || it->second.number != stop.run ||
      std::exchange(it->second.is_stopping, true)) {
    return;
  }
  simulation_.After(settings_.stop_time,
                    [this, life = life_, task = stop.task, run = stop.run] {
                      if (life == life_) {
                        End(task, run, jobs::RunEnd::kStopped);
                      }
                    });
}

void ModelRunner::EndRun(jobs::RunEnd end) {
  if (!active_.empty()) {
    const auto [task, run] = *active_.begin();
    End(task, run.number, end);
  }
}

void ModelRunner::End(const jobs::TaskKey& task,
                      uint32_t number,
                      jobs::RunEnd end) {
  const auto it = active_.find(task);
  if (it == active_.end() || it->second.number != number) {
    return;
  }
  active_.erase(it);
  numbers_.erase(task);
  uint32_t& floor = floors_[task];
  floor = std::max(floor, number);
  ended_.push_back({++end_count_, task, number, end, {}});
  referee_.OnEnd(settings_.index, end_count_, task, number, end);
  for (const auto& hold : std::exchange(waiting_holds_, {})) {
    AnswerHold(*hold, List());
  }
}

void ModelRunner::AnswerHold(OnHeld& hold,
                             const cluster::LeaseRenewalResult& result) {
  if (hold) {
    std::exchange(hold, nullptr)(result);
  }
}

void ModelRunner::Forget(uint64_t last_seen) {
  std::erase_if(
      ended_, [&](const jobs::EndedRun& it) { return it.number <= last_seen; });
  referee_.OnNoted(settings_.index, std::min(last_seen, end_count_));
}

void ModelRunner::Hold(const std::string& instance,
                       const cluster::LeaseRenewalRequest& call,
                       OnHeld done) {
  if (!is_up_) {
    done(cluster::RunnerFailure::kNotListening);
    return;
  }
  if (instance != instance_) {
    done(cluster::RunnerFailure::kOtherIncarnation);
    return;
  }
  if (call.fencing_token < fencing_token_) {
    done(cluster::RunnerFailure::kSuperseded);
    return;
  }
  fencing_token_ = call.fencing_token;
  Forget(call.recorded_ends);
  if (call.lease_until_ms) {
    ExtendLease(*call.lease_until_ms);
  }
  if (!ended_.empty() || call.wait == milliseconds(0)) {
    done(List());
    return;
  }
  const auto pending = std::make_shared<OnHeld>(std::move(done));
  waiting_holds_.push_back(pending);
  simulation_.After(call.wait, [this, pending] {
    if (*pending) {
      AnswerHold(*pending, List());
    }
  });
}

cluster::LeaseRenewalResponse ModelRunner::List() const {
  cluster::LeaseRenewalResponse response;
  response.clock_ms = ClockMs();
  response.start_unix_ms = born_ms_;
  for (const auto& [task, run] : active_) {
    const auto ran =
        std::chrono::floor<milliseconds>(simulation_.Now() - run.started_at);
    const auto percent = std::min<int64_t>(
        kPercent - 1, kPercent * ran.count() / DurationOf(task).count());
    response.active.push_back(
        {task, run.number, {}, static_cast<uint32_t>(percent), 0});
  }
  const size_t listed = std::min(ended_.size(), settings_.ends_in_list);
  response.ended.assign(ended_.begin(),
                        ended_.begin() + static_cast<ptrdiff_t>(listed));
  response.has_all_ends = listed == ended_.size();
  return response;
}

Resources ModelRunner::Used() const {
  Resources used;
  for (const jobs::TaskKey& task : active_ | std::views::keys) {
    used = used + StepOfTask(task).need;
  }
  return used;
}

Resources ModelRunner::Free() const {
  return capacity_ - Used();
}

}  // namespace papayadrift::run_histories
