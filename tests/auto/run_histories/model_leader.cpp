#include "model_leader.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <utility>
#include <variant>

#include "base/hash.h"
#include "cluster/topics.h"
#include "jobs/codec.h"
#include "workload.h"

namespace papayadrift::run_histories {
namespace {

// As in leader.cpp.
constexpr milliseconds kAppendTimeout(2000);
constexpr milliseconds kRefusedRetryDelay(60);
constexpr int kMaxCandidacyAttempts = 3;
constexpr milliseconds kReloadRetryDelay(100);
constexpr milliseconds kNotificationTimeout(500);
constexpr milliseconds kJobsPollWait(300);
// Rounds that find nothing to do are what histories cost most.
constexpr milliseconds kIdleStepInterval(100);

cluster::LeaderSettings SettingsOf(size_t index) {
  cluster::LeaderSettings settings;
  settings.node = "f" + std::to_string(index);
  settings.address = std::to_string(index);
  settings.max_step_interval = kIdleStepInterval;
  return settings;
}

}  // namespace

ModelLeader::ModelLeader(size_t index,
                         Simulation& simulation,
                         Network& network,
                         keyed_log::KeyedLog& store,
                         Wiring& wiring,
                         jobs::Directory& directory,
                         cluster::JobReplica& replica,
                         jobs::JobSchedulerEventListener event_listener)
    : index_(index),
      settings_(SettingsOf(index)),
      simulation_(simulation),
      network_(network),
      store_(store),
      wiring_(wiring),
      directory_(directory),
      replica_(replica),
      event_listener_(std::move(event_listener)),
      step_timer_(simulation) {}

void ModelLeader::After(milliseconds delay, std::function<void()> action) {
  simulation_.After(delay,
                    [weak = weak_from_this(), action = std::move(action)] {
                      const auto self = weak.lock();
                      if (self && !self->has_ended_) {
                        action();
                      }
                    });
}

keyed_log::Writer ModelLeader::NextWriter() const {
  return {cluster::kLeaderWriter, record_.term, sequence_};
}

void ModelLeader::Campaign() {
  record_ = {replica_.leader().term + 1, settings_.node, settings_.address};
  expected_end_ = replica_.progress_end();
  constexpr uint64_t kSequenceBits = 31;
  sequence_ = StableHash(settings_.node + settings_.address,
                         static_cast<uint64_t>(simulation_.UnixMs())) >>
              (64 - kSequenceBits);
  SendCandidacy(kMaxCandidacyAttempts);
  CatchUpOnJobs();
}

void ModelLeader::SendCandidacy(int attempts_left) {
  const Instant started_at = simulation_.Now();
  store_.Write(
      {cluster::kProgressTopic,
       {{cluster::kLeaderKey, jobs::Encode(record_)}},
       expected_end_,
       NextWriter()},
      started_at + kAppendTimeout,
      [weak = weak_from_this(), started_at,
       attempts_left](const keyed_log::AppendResult& result) {
        const auto self = weak.lock();
        if (!self || self->has_ended_) {
          return;
        }
        if (std::holds_alternative<keyed_log::Stored>(result)) {
          self->confirmed_at_ = started_at;
          self->OnElected();
        } else if (std::holds_alternative<keyed_log::Unanswered>(result) &&
                   attempts_left > 1) {
          self->SendCandidacy(attempts_left - 1);
        } else {
          self->End();
        }
      });
}

void ModelLeader::OnElected() {
  ++sequence_;
  PublishAddress();
  is_elected_ = true;
  StartLeadingIfReady();
}

void ModelLeader::PublishAddress() {
  store_.Write(
      {cluster::kLeaderTopic,
       {{cluster::kLeaderKey, jobs::Encode(record_)}},
       std::nullopt,
       keyed_log::Writer{cluster::kLeaderWriter, record_.term, 0}},
      simulation_.Now() + kAppendTimeout,
      [weak = weak_from_this()](const keyed_log::AppendResult& result) {
        const auto self = weak.lock();
        if (!self || self->has_ended_ ||
            std::holds_alternative<keyed_log::Stored>(result) ||
            std::holds_alternative<keyed_log::Fenced>(result)) {
          return;
        }
        self->After(kRefusedRetryDelay,
                    [self = self.get()] { self->PublishAddress(); });
      });
}

void ModelLeader::CatchUpOnJobs() {
  replica_.CatchUpOnJobs([weak = weak_from_this()](bool is_caught_up) {
    const auto self = weak.lock();
    if (!self || self->has_ended_) {
      return;
    }
    if (!is_caught_up) {
      self->After(kReloadRetryDelay,
                  [self = self.get()] { self->CatchUpOnJobs(); });
      return;
    }
    self->has_read_jobs_ = true;
    self->StartLeadingIfReady();
  });
}

void ModelLeader::StartLeadingIfReady() {
  if (is_elected_ && has_read_jobs_) {
    StartLeading();
  }
}

void ModelLeader::StartLeading() {
  const Instant now = simulation_.Now();
  const cluster::JobReplica::Content& content = replica_.content();
  scheduler_.emplace(settings_.scheduler, now, event_listener_);
  scheduler_->OnJobsViewed(replica_.jobs_caught_up_at());
  scheduler_->SetRoutes(Routes());
  agents_appended_at_ = now;
  for (const auto& [id, job] : content.jobs) {
    scheduler_->AddJob(id, job);
  }
  for (const auto& [id, progress] : content.progress) {
    scheduler_->Restore(id, progress);
  }
  for (const JobId& id : content.cancelled) {
    scheduler_->Cancel(id, now);
  }
  replica_.SetListener({[this](const JobId& id, const jobs::Job& job) {
                          scheduler_->AddJob(id, job);
                          ScheduleStep(milliseconds(0));
                        },
                        [this](const JobId& id) {
                          scheduler_->Cancel(id, simulation_.Now());
                          ScheduleStep(milliseconds(0));
                        }});
  std::ranges::copy_if(
      content.progress | std::views::keys, std::back_inserter(deleted_jobs_),
      [&](const JobId& id) { return !content.jobs.contains(id); });
  is_leading_ = true;
  stored_agents_ = content.agents;
  NotifyAgents();
  FollowJobs();
  ScheduleStep(milliseconds(0));
}

void ModelLeader::NotifyAgents() {
  for (const jobs::AgentAddress& agent : stored_agents_.agents) {
    const size_t index = std::stoul(agent.address);
    network_.Call<bool>(
        {LinkKind::kNotification, index}, kNotificationTimeout,
        [&wiring = wiring_, index, record = record_](
            const Delivery&, const Network::Respond<bool>& respond) {
          wiring.OnLeader(index, record);
          respond(true);
        },
        [](const std::optional<bool>&) {});
  }
}

void ModelLeader::FollowJobs() {
  replica_.WaitForJobs(kJobsPollWait, [weak = weak_from_this()](bool is_read) {
    const auto self = weak.lock();
    if (!self || !self->is_leading_) {
      return;
    }
    if (is_read) {
      self->FollowJobs();
    } else {
      self->After(kReloadRetryDelay,
                  [self = self.get()] { self->FollowJobs(); });
    }
  });
}

void ModelLeader::ScheduleStep(milliseconds delay) {
  const Instant due = simulation_.Now() + delay;
  if (has_ended_ || (step_due_ && *step_due_ <= due)) {
    return;
  }
  step_due_ = due;
  step_timer_.Start(delay, [this] {
    step_due_.reset();
    Step();
  });
}

void ModelLeader::Step() {
  if (!is_leading_) {
    return;
  }
  scheduler_->OnJobsViewed(replica_.jobs_caught_up_at());
  scheduler_->Advance(simulation_.Now(), simulation_.UnixMs());
  Flush();
  SendOrders();
  AnswerReports();
  ScheduleStep(scheduler_->has_more_to_place() ? milliseconds(0)
                                               : settings_.max_step_interval);
}

milliseconds ModelLeader::TimeToAppend() const {
  if (is_writing_) {
    return settings_.max_step_interval;
  }
  const microseconds passed = simulation_.Now() - last_append_at_;
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(
                                       settings_.min_append_interval - passed));
}

void ModelLeader::Flush() {
  const Instant now = simulation_.Now();
  if (is_writing_) {
    return;
  }
  const bool is_heartbeat_due =
      now - confirmed_at_ >= settings_.heartbeat_period;
  if (!scheduler_->has_changes() && deleted_jobs_.empty() &&
      !is_heartbeat_due) {
    return;
  }
  if (const milliseconds delay = TimeToAppend(); delay > milliseconds(0)) {
    ScheduleStep(delay);
    return;
  }
  const auto append = std::make_shared<keyed_log::Append>();
  append->topic = cluster::kProgressTopic;
  append->writer = NextWriter();
  const uint64_t version = AppendChanges(*append);
  for (const JobId& id : std::exchange(deleted_jobs_, {})) {
    append->records.push_back(
        {cluster::KeyOf(cluster::kOutcomePrefix, id), {}});
  }
  if (now - agents_appended_at_ >= settings_.learned_period) {
    agents_appended_at_ = now;
    AppendAgents(*append);
  }
  if (append->records.empty()) {
    ++record_.heartbeats;
    append->records.push_back({cluster::kLeaderKey, jobs::Encode(record_)});
  }
  is_writing_ = true;
  last_append_at_ = now;
  Write(append, version);
}

uint64_t ModelLeader::AppendChanges(keyed_log::Append& append) {
  const jobs::JobScheduler::Changes changes = scheduler_->TakeChanges();
  for (const auto& [task, progress] : changes.tasks) {
    append.records.push_back(
        {cluster::KeyOf(task),
         progress ? jobs::Encode(*progress) : std::string()});
    directory_.OnStarted(task.job);
  }
  for (const auto& [id, outcome] : changes.outcomes) {
    append.records.push_back({cluster::KeyOf(cluster::kOutcomePrefix, id),
                              jobs::Encode(jobs::StoredOutcome{outcome})});
    unstored_outcomes_.emplace_back(id, outcome);
  }
  return changes.version;
}

void ModelLeader::AppendAgents(keyed_log::Append& append) {
  std::map<std::string, std::string> addresses;
  for (const auto& [incarnation, runner] : scheduler_->fleet().runners()) {
    if (runner.has_report) {
      addresses[incarnation.node] = runner.report.agent_address;
    }
  }
  jobs::AgentList agents;
  for (const auto& [node, address] : addresses) {
    agents.agents.push_back({node, address});
  }
  if (agents != stored_agents_) {
    stored_agents_ = std::move(agents);
    append.records.push_back(
        {cluster::kAgentsKey, jobs::Encode(stored_agents_)});
  }
}

void ModelLeader::Write(const Pending& append, uint64_t version) {
  const Instant started_at = simulation_.Now();
  store_.Write(*append, started_at + kAppendTimeout,
               [weak = weak_from_this(), append, version,
                started_at](const keyed_log::AppendResult& result) {
                 const auto self = weak.lock();
                 if (self && !self->has_ended_) {
                   self->OnWritten(append, version, started_at, result);
                 }
               });
}

void ModelLeader::OnWritten(const Pending& append,
                            uint64_t version,
                            Instant started_at,
                            const keyed_log::AppendResult& result) {
  if (std::holds_alternative<keyed_log::Stored>(result)) {
    confirmed_at_ = started_at;
    ++sequence_;
    is_writing_ = false;
    OnStored(version);
  } else if (std::holds_alternative<keyed_log::Fenced>(result) ||
             std::holds_alternative<keyed_log::Moved>(result)) {
    End();
  } else if (std::holds_alternative<keyed_log::Unanswered>(result)) {
    Write(append, version);
  } else {
    After(kRefusedRetryDelay,
          [this, append, version] { Write(append, version); });
  }
}

void ModelLeader::OnStored(uint64_t version) {
  scheduler_->OnStored(version);
  for (const auto& [id, outcome] : std::exchange(unstored_outcomes_, {})) {
    directory_.OnOutcome(id, outcome);
  }
  if (!is_resigning_) {
    Step();
  } else if (record_.has_resigned) {
    End();
  } else {
    WriteResignation();
  }
}

void ModelLeader::Resign(const std::string& successor) {
  if (!is_leading_) {
    End();
    return;
  }
  is_leading_ = false;
  is_resigning_ = true;
  successor_ = successor;
  RejectPendingReports();
  if (!is_writing_) {
    WriteResignation();
  }
}

void ModelLeader::WriteResignation() {
  record_.has_resigned = true;
  record_.successor = successor_;
  const auto append = std::make_shared<keyed_log::Append>();
  append->topic = cluster::kProgressTopic;
  append->writer = NextWriter();
  const uint64_t version = AppendChanges(*append);
  AppendAgents(*append);
  append->records.push_back({cluster::kLeaderKey, jobs::Encode(record_)});
  is_writing_ = true;
  Write(append, version);
}

void ModelLeader::SendOrders() {
  const Instant now = simulation_.Now();
  for (auto& [incarnation, orders] : scheduler_->TakeOrders(now)) {
    const jobs::Runner* runner = scheduler_->fleet().Find(incarnation);
    const size_t agent = std::stoul(runner->report.agent_address);
    const jobs::OrderBatch batch{record_.term, incarnation, std::move(orders),
                                 scheduler_->OrderDeadlineMs(incarnation, now),
                                 scheduler_->JobsViewedAtMs(incarnation)};
    network_.Call<jobs::OrderAnswer>(
        {LinkKind::kOrders, agent}, settings_.order_timeout,
        [&wiring = wiring_, agent, batch](
            const Delivery&,
            const Network::Respond<jobs::OrderAnswer>& respond) {
          wiring.OnOrders(agent, batch, respond);
        },
        [weak = weak_from_this(), batch,
         now](const std::optional<jobs::OrderAnswer>& answer) {
          const auto self = weak.lock();
          if (self && !self->has_ended_) {
            self->OnOrdersAnswered(batch, now, answer);
          }
        });
  }
}

void ModelLeader::OnOrdersAnswered(const jobs::OrderBatch& batch,
                                   Instant sent_at,
                                   std::optional<jobs::OrderAnswer> answer) {
  const Instant now = simulation_.Now();
  if (answer) {
    scheduler_->OnOrderLatency(now - sent_at);
  }
  const jobs::Runner* addressee = scheduler_->fleet().Find(batch.incarnation);
  if (answer && addressee != nullptr &&
      answer->agent_start_unix_ms != addressee->report.agent_start_unix_ms) {
    answer.reset();
  }
  for (size_t i = 0; i < batch.orders.size(); ++i) {
    scheduler_->OnOrderResult(batch.incarnation, batch.orders[i],
                              answer && i < answer->results.size()
                                  ? answer->results[i]
                                  : jobs::OrderResult{},
                              now);
  }
}

bool ModelLeader::is_confirmed() const {
  return is_leading_ &&
         simulation_.Now() - confirmed_at_ <= settings_.confirmation_timeout;
}

bool ModelLeader::OnCancelled(const JobId& id) {
  if (!is_leading_ || !replica_.content().jobs.contains(id)) {
    return false;
  }
  directory_.OnCancelled(id);
  scheduler_->Cancel(id, simulation_.Now());
  ScheduleStep(milliseconds(0));
  return true;
}

void ModelLeader::OnReport(const jobs::RunnerReport& report,
                           const Network::Respond<ReportReply>& respond) {
  if (!is_leading_) {
    respond({});
    return;
  }
  const Instant now = simulation_.Now();
  const bool is_accepted = scheduler_->OnReport(report, now);
  if (!is_accepted || !is_confirmed()) {
    respond({});
    return;
  }
  PendingReport pending{report.incarnation, 0,   {},
                        report.sent_at_ms,  now, respond};
  if (report.state == jobs::RunnerState::kGone) {
    pending.gone_version = scheduler_->version();
  }
  for (const jobs::EndedRun& ended : report.ended) {
    pending.last_end_number = std::max(pending.last_end_number, ended.number);
  }
  if (IsRecorded(pending)) {
    Answer(pending);
    if (scheduler_->has_changes()) {
      ScheduleStep(TimeToAppend());
    }
    return;
  }
  pending_reports_.push_back(std::move(pending));
  ScheduleStep(TimeToAppend());
}

bool ModelLeader::IsRecorded(const PendingReport& report) const {
  if (report.gone_version) {
    return *report.gone_version <= scheduler_->stored_version();
  }
  return report.last_end_number <= scheduler_->RecordedEnds(report.incarnation);
}

void ModelLeader::Answer(const PendingReport& report) {
  int64_t lease_until_ms = 0;
  if (scheduler_->MayLease(report.incarnation, simulation_.Now())) {
    const Instant lease_end = confirmed_at_ + settings_.scheduler.lease;
    scheduler_->OnLeaseGranted(report.incarnation, lease_end);
    const auto remaining =
        std::chrono::floor<milliseconds>(lease_end - report.received_at);
    lease_until_ms = report.sent_at_ms + remaining.count();
  }
  report.respond({true,
                  {record_.term, scheduler_->RecordedEnds(report.incarnation),
                   lease_until_ms}});
}

void ModelLeader::AnswerReports() {
  const Instant now = simulation_.Now();
  std::vector<PendingReport> waiting;
  for (PendingReport& report : std::exchange(pending_reports_, {})) {
    const bool is_due = now - report.received_at >= settings_.report_timeout;
    if (is_due && report.gone_version && !IsRecorded(report)) {
      report.respond({});
    } else if (is_due || IsRecorded(report)) {
      Answer(report);
    } else {
      waiting.push_back(std::move(report));
    }
  }
  pending_reports_ = std::move(waiting);
}

void ModelLeader::RejectPendingReports() {
  for (const PendingReport& report : std::exchange(pending_reports_, {})) {
    report.respond({});
  }
}

void ModelLeader::End() {
  if (has_ended_) {
    return;
  }
  has_ended_ = true;
  is_leading_ = false;
  RejectPendingReports();
  replica_.SetListener({});
  step_timer_.Cancel();
}

}  // namespace papayadrift::run_histories
