#include "standins/worker/worker_core.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace papayadrift::standins {

using records::TaskEnding;
using worker_protocol::CheckpointOrder;
using worker_protocol::ForgetOrder;
using worker_protocol::GrantOrder;
using worker_protocol::StartOrder;
using worker_protocol::StopOrder;

namespace {

constexpr int64_t kWhole = 1000;  // Permille.
constexpr int64_t kUsedPercent = 60;
constexpr int64_t kFailAfterPermille = 100;

// A checkpoint is named "<permille>@<job>/<index>#<attempt>".
CheckpointId CheckpointOf(const worker_protocol::AttemptReport& report) {
  return CheckpointId(std::to_string(report.progress_permille) + "@" +
                      ToText(report.task) + "#" +
                      std::to_string(report.attempt.value()));
}

int64_t ProgressIn(const CheckpointId& checkpoint) {
  int64_t permille = 0;
  const std::string& text = checkpoint.text();
  std::from_chars(text.data(), text.data() + text.size(), permille);
  return permille;
}

Resources UsedOf(const Resources& grant) {
  return {grant.millicores * kUsedPercent / 100,
          grant.memory_mebibytes * kUsedPercent / 100, grant.accelerators};
}

}  // namespace

// Follows one order.
struct WorkerCore::Follower {
  WorkerCore& core;
  Instant now;

  void operator()(const StartOrder& order) const { core.Start(order, now); }
  void operator()(const StopOrder& order) const {
    if (Running* running = core.Find(order.task, order.attempt)) {
      core.End(*running, TaskEnding::kStopped, "stopped", now);
    }
  }
  void operator()(const CheckpointOrder& order) const {
    if (Running* running = core.Find(order.task, order.attempt)) {
      running->report.checkpoint = CheckpointOf(running->report);
      core.End(*running, TaskEnding::kCheckpointed, "checkpointed", now);
    }
  }
  void operator()(const GrantOrder& order) const {
    if (Running* running = core.Find(order.task, order.attempt)) {
      running->report.grant = order.grant;
      running->report.used = UsedOf(order.grant);
      core.has_news_ = true;
    }
  }
  void operator()(const ForgetOrder& order) const {
    const auto it = core.running_.find({order.task, order.attempt});
    if (it != core.running_.end() && it->second.report.has_ended) {
      core.running_.erase(it);
    }
  }
};

WorkerCore::WorkerCore(records::WorkerAnnounced announcement,
                       int64_t run_time_divisor)
    : announcement_(std::move(announcement)),
      run_time_divisor_(std::max<int64_t>(1, run_time_divisor)),
      lease_(std::in_place, announcement_.incarnation) {}

worker_protocol::Heartbeat WorkerCore::MakeHeartbeat(Instant now) {
  worker_protocol::Heartbeat heartbeat;
  heartbeat.sequence = ++sequence_;
  heartbeat.announcement = announcement_;
  heartbeat.is_draining = is_draining_;
  for (const auto& [key, running] : running_) {
    heartbeat.attempts.push_back(running.report);
  }
  heartbeat.latencies = std::exchange(latencies_, {});
  has_news_ = false;
  ask_again_at_.reset();
  lease_->OnHeartbeatSent(heartbeat.sequence, now);
  return heartbeat;
}

void WorkerCore::OnAnswer(const worker_protocol::HeartbeatAnswer& answer,
                          Instant now) {
  lease_->OnAnswer(
      {answer.sequence, answer.incarnation,
       milliseconds(answer.renewal_milliseconds), answer.state_offset},
      now);
  if (answer.ask_again_milliseconds) {
    ask_again_at_ = now + milliseconds(*answer.ask_again_milliseconds);
  }
  if (answer.is_incarnation_over &&
      answer.incarnation == announcement_.incarnation) {
    StopAll(now);
    BeReborn();
    return;
  }
  if (!lease_->MayFollowOrders(now)) {
    return;
  }
  for (const worker_protocol::Order& order : answer.orders) {
    std::visit(Follower{*this, now}, order);
  }
}

void WorkerCore::OnTime(Instant now) {
  lease_->OnTime(now);
  if (lease_->must_stop()) {
    StopAll(now);
    BeReborn();
    return;
  }
  for (auto& [key, running] : running_) {
    if (!running.report.has_ended) {
      Advance(running, now);
    }
  }
}

void WorkerCore::AddLatency(const worker_protocol::LatencyReport& report) {
  latencies_.push_back(report);
}

bool WorkerCore::is_idle() const {
  return std::ranges::all_of(
      running_, [](const auto& it) { return it.second.report.has_ended; });
}

void WorkerCore::Start(const StartOrder& order, Instant now) {
  if (!seen_tokens_.insert(order.token).second) {
    return;
  }
  Running running;
  running.report.task = order.task;
  running.report.attempt = order.attempt;
  running.report.token = order.token;
  running.report.grant = order.grant;
  running.report.used = UsedOf(order.grant);
  running.report.progress_permille = ProgressIn(order.resumes);
  running.run_milliseconds =
      std::max<int64_t>(1, order.declared_run_milliseconds / run_time_divisor_);
  running.started_at = now;
  running.journal_index = journal_.size();
  journal_.push_back({order.task, order.attempt, now, std::nullopt,
                      running.report.progress_permille,
                      running.report.progress_permille, order.resumes,
                      CheckpointId(), ""});
  running_.emplace(std::pair(order.task, order.attempt), std::move(running));
  has_news_ = true;
}

void WorkerCore::End(Running& running,
                     TaskEnding ending,
                     const std::string& end,
                     Instant now) {
  running.report.has_ended = true;
  running.report.ending = ending;
  TaskRun& run = journal_[running.journal_index];
  run.ended_at = now;
  run.to_permille = running.report.progress_permille;
  run.checkpoint = running.report.checkpoint;
  run.end = end;
  has_news_ = true;
}

void WorkerCore::Advance(Running& running, Instant now) {
  const auto ran =
      std::chrono::floor<milliseconds>(now - running.started_at).count();
  const int64_t from = journal_[running.journal_index].from_permille;
  running.report.progress_permille =
      std::min(kWhole, from + ran * kWhole / running.run_milliseconds);
  if (faults_.fails_tasks &&
      running.report.progress_permille >= from + kFailAfterPermille) {
    End(running, TaskEnding::kFailed, "failed", now);
  } else if (running.report.progress_permille == kWhole) {
    End(running, TaskEnding::kFinished, "finished", now);
  }
}

void WorkerCore::StopAll(Instant now) {
  for (auto& [key, running] : running_) {
    if (!running.report.has_ended) {
      End(running, TaskEnding::kStopped, "lapsed", now);
    }
  }
  running_.clear();
  lease_->OnStopped();
}

void WorkerCore::BeReborn() {
  announcement_.incarnation = announcement_.incarnation.Next();
  announcement_.previous_ended = true;
  lease_.emplace(announcement_.incarnation);
  has_news_ = true;
}

WorkerCore::Running* WorkerCore::Find(const TaskId& task, Attempt attempt) {
  const auto it = running_.find({task, attempt});
  if (it == running_.end() || it->second.report.has_ended) {
    return nullptr;
  }
  return &it->second;
}

}  // namespace papayadrift::standins
