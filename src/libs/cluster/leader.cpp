#include "cluster/leader.h"

#include <algorithm>
#include <ranges>
#include <utility>
#include <variant>

#include "cluster/cluster_metrics.h"
#include "cluster/topics.h"
#include "jobs/codec.h"

namespace papayadrift::cluster {
namespace {

using logging::Event;

// Expired jobs are deleted at this period and at most this many at once. That
// suffices for 8,700 finished jobs a day.
constexpr milliseconds kExpiryCheckPeriod(5000);
constexpr size_t kMaxExpiredJobs = 200;
constexpr milliseconds kReloadRetryDelay(100);
// Timeout of the notification of an agent or a successor that the leader has
// changed. Those that miss it read it from the store.
constexpr milliseconds kNotificationTimeout(500);
// The store delays the answer this long while there are no new jobs: the leader
// knows of cancellations as of one or two of these times ago.
constexpr milliseconds kJobsPollWait(300);

}  // namespace

Leader::Leader(const LeaderSettings& settings,
               const ProcessContext& context,
               ClusterMetrics& metrics,
               jobs::Directory& directory,
               JobReplica& replica,
               OnEnd on_end)
    : settings_(settings),
      context_(context),
      directory_(directory),
      replica_(replica),
      on_end_(std::move(on_end)),
      term_(std::make_shared<LeaderTerm>(
          context,
          metrics,
          [this] { StartLeadingIfReady(); },
          [this] { OnTermEnded(); })),
      metrics_(metrics),
      monitor_({settings.load, settings.load_period}, context, metrics),
      step_timer_(context.loop.MakeTimer()) {}

void Leader::Campaign() {
  term_->Campaign(
      {replica_.leader().term + 1, settings_.node, settings_.address},
      replica_.progress_end());
  // Jobs are stored before their progress, so this reads the job of every
  // progress record of the last leader.
  CatchUpOnJobs();
}

void Leader::CatchUpOnJobs() {
  replica_.CatchUpOnJobs([weak = weak_from_this()](bool is_caught_up) {
    const auto self = weak.lock();
    if (!self || self->term_->has_ended()) {
      return;
    }
    if (!is_caught_up) {
      self->term_->After(kReloadRetryDelay,
                         [self = self.get()] { self->CatchUpOnJobs(); });
      return;
    }
    self->has_read_jobs_ = true;
    self->StartLeadingIfReady();
  });
}

void Leader::StartLeadingIfReady() {
  if (term_->is_elected() && has_read_jobs_) {
    StartLeading();
  }
}

void Leader::StartLeading() {
  const Instant now = context_.clock.Now();
  const JobReplica::Content& content = replica_.content();
  // The last leader grants leases from the start of an append that is stored,
  // and this process has read all of them.
  scheduler_.emplace(
      settings_.scheduler, now,
      [this](const jobs::JobSchedulerEvent& event) {
        monitor_.OnSchedulerEvent(term(), event);
      },
      replica_.leader_seen_at());
  scheduler_->OnJobsViewed(replica_.jobs_caught_up_at());
  scheduler_->SetRoutes(routes_);
  scheduler_->SetEvacuatedZones(zones_.evacuated, now);
  scheduler_->OnZonesViewed(zones_.viewed_at);
  scheduler_->ImportLearned(content.learned);
  learned_appended_at_ = now;
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
                          scheduler_->Cancel(id, context_.clock.Now());
                          ScheduleStep(milliseconds(0));
                        }});
  // Jobs are deleted before their progress; deletes the progress that is left
  // over.
  std::ranges::copy_if(
      content.progress | std::views::keys, std::back_inserter(deleted_jobs_),
      [&](const JobId& id) { return !content.jobs.contains(id); });
  const auto leaderless_for =
      std::chrono::floor<milliseconds>(now - replica_.leader_seen_at());
  context_.logger.Log(
      Event::kLeaderServes,
      {{"term", static_cast<int64_t>(term())},
       {"jobs", static_cast<int64_t>(content.jobs.size())},
       {"open_jobs", static_cast<int64_t>(scheduler_->open_jobs())},
       {"learned_weights",
        static_cast<int64_t>(content.learned.weights.size())},
       {"agents", static_cast<int64_t>(content.agents.agents.size())},
       {"ms_since_last_leader", static_cast<int64_t>(leaderless_for.count())}});
  is_leading_ = true;
  stored_agents_ = content.agents;
  NotifyAgents();
  FollowJobs();
  ScheduleStep(milliseconds(0));
}

void Leader::NotifyAgents() {
  const Instant deadline = context_.clock.Now() + kNotificationTimeout;
  // Agents that miss the notification read it from the store.
  for (const jobs::AgentAddress& agent : stored_agents_.agents) {
    context_.peers.NotifyAgent(agent.address, term_->record(), deadline);
  }
}

jobs::AgentList Leader::KnownAgents() const {
  std::map<std::string, std::string> addresses;
  for (const auto& [incarnation, runner] : scheduler_->fleet().runners()) {
    if (runner.has_report) {
      addresses[incarnation.node] = runner.report.agent_address;
    }
  }
  jobs::AgentList list;
  for (auto& [node, address] : addresses) {
    list.agents.push_back({node, std::move(address)});
  }
  return list;
}

void Leader::FollowJobs() {
  replica_.WaitForJobs(kJobsPollWait, [weak = weak_from_this(),
                                       started_at =
                                           context_.clock.Now()](bool is_read) {
    const auto self = weak.lock();
    if (!self || !self->is_leading_) {
      return;
    }
    self->metrics_.OnJobsRead(is_read);
    self->monitor_.OnJobsRead(is_read, self->context_.clock.Now() - started_at);
    if (is_read) {
      self->FollowJobs();
    } else {
      self->term_->After(kReloadRetryDelay,
                         [self = self.get()] { self->FollowJobs(); });
    }
  });
}

void Leader::SetRoutes(const jobs::RouteTable& routes) {
  routes_ = routes;
  if (scheduler_) {
    scheduler_->SetRoutes(routes);
    ScheduleStep(milliseconds(0));
  }
}

void Leader::SetZones(const ZonesView& zones) {
  const bool is_changed = zones.evacuated != zones_.evacuated;
  zones_ = zones;
  if (scheduler_) {
    scheduler_->SetEvacuatedZones(zones.evacuated, context_.clock.Now());
    scheduler_->OnZonesViewed(zones.viewed_at);
  }
  if (scheduler_ && is_changed) {
    ScheduleStep(milliseconds(0));
  }
}

void Leader::ScheduleStep(milliseconds delay) {
  const Instant due = context_.clock.Now() + delay;
  if (term_->has_ended() || (is_step_due_ && step_due_ <= due)) {
    return;
  }
  is_step_due_ = true;
  step_due_ = due;
  step_timer_->Start(delay, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->term_->has_ended()) {
      self->is_step_due_ = false;
      self->BeginRound();
      self->Step();
    }
  });
}

void Leader::BeginRound() {
  if (is_leading_) {
    monitor_.OnRound(term(), *scheduler_, context_.clock.Now() - step_due_,
                     replica_.jobs_caught_up_at());
  }
}

void Leader::Step() {
  if (!is_leading_) {
    return;
  }
  ProcessWaitingReports();
  const Instant now = context_.clock.Now();
  const jobs::PlacementWork before = scheduler_->fleet().work();
  scheduler_->OnJobsViewed(replica_.jobs_caught_up_at());
  scheduler_->Advance(now, context_.clock.WallNow().time_since_epoch().count());
  monitor_.OnWork(WorkKind::kPlacement, 1, now);
  Flush();
  SendOrders();
  AnswerReports();
  DeleteExpiredJobs();
  metrics_.UpdateLeaderGauges(term(), scheduler_->open_jobs(),
                              scheduler_->waiting_tasks(),
                              scheduler_->overdue());
  metrics_.UpdateEvacuations(scheduler_->evacuated_zones(),
                             scheduler_->CountRunsInEvacuatedZones());
  metrics_.UpdateReservations(scheduler_->reservation_counts());
  monitor_.OnStep(term(), *scheduler_, before, now);
  const bool has_more =
      scheduler_->has_more_to_place() || !waiting_reports_.empty();
  ScheduleStep(has_more ? milliseconds(0) : settings_.max_step_interval);
}

milliseconds Leader::TimeToAppend() const {
  if (term_->is_appending()) {
    // The store's answer brings a round at once.
    return settings_.max_step_interval;
  }
  const microseconds passed = context_.clock.Now() - last_append_at_;
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(
                                       settings_.min_append_interval - passed));
}

void Leader::Flush() {
  const Instant now = context_.clock.Now();
  if (term_->is_appending()) {
    return;
  }
  const bool is_heartbeat_due =
      now - term_->confirmed_at() >= settings_.heartbeat_period;
  if (!scheduler_->has_changes() && deleted_jobs_.empty() &&
      !is_heartbeat_due) {
    return;
  }
  if (const milliseconds delay = TimeToAppend(); delay > milliseconds(0)) {
    ScheduleStep(delay);
    return;
  }
  std::vector<keyed_log::Record> records;
  auto changes = scheduler_->TakeChanges();
  AppendChanges(changes, records);
  for (const JobId& id : std::exchange(deleted_jobs_, {})) {
    records.push_back({KeyOf(kOutcomePrefix, id), {}});
  }
  if (now - learned_appended_at_ >= settings_.learned_period) {
    learned_appended_at_ = now;
    AppendHandover(records);
  }
  if (records.empty()) {
    records.push_back(term_->NextHeartbeat());
  }
  last_append_at_ = now;
  const size_t record_count = records.size();
  term_->Append(std::move(records), [this, changes = std::move(changes)] {
    OnChangesStored(changes);
    Step();
  });
  monitor_.OnWork(WorkKind::kAppends, record_count, now);
}

void Leader::AppendChanges(const jobs::JobScheduler::Changes& changes,
                           std::vector<keyed_log::Record>& records) {
  // The records may be stored in several appends, and this leader may end
  // between two of them. The outcome of a job comes first: the next leader
  // would run a job again of which only the end of the tasks' records was
  // stored.
  for (const auto& [id, outcome] : changes.outcomes) {
    records.push_back({KeyOf(kOutcomePrefix, id), jobs::Encode(outcome)});
  }
  for (const auto& [task, progress] : changes.tasks) {
    records.push_back(progress ? RecordOf(task, *progress)
                               : keyed_log::Record{KeyOf(task), {}});
  }
}

keyed_log::Record Leader::RecordOf(const jobs::TaskKey& task,
                                   const jobs::TaskProgress& progress) {
  keyed_log::Record record{KeyOf(task), jobs::Encode(progress)};
  if (keyed_log::SizeOf(record) > context_.log.limits().max_record_bytes) {
    // The task begins anew if its runner is lost.
    context_.logger.Log(
        Event::kAppendRejected,
        {{"key", record.key},
         {"bytes", static_cast<int64_t>(keyed_log::SizeOf(record))},
         {"left_out", "checkpoint"}});
    jobs::TaskProgress without_checkpoint = progress;
    without_checkpoint.checkpoint.clear();
    record.value = jobs::Encode(without_checkpoint);
  }
  return record;
}

void Leader::OnChangesStored(const jobs::JobScheduler::Changes& changes) {
  for (const auto& [task, progress] : changes.tasks) {
    if (progress && jobs::HasStarted(*progress)) {
      directory_.OnStarted(task.job);
    }
  }
  for (const auto& [id, outcome] : changes.outcomes) {
    directory_.OnOutcome(id, outcome);
  }
  scheduler_->OnStored(changes.version);
}

void Leader::AppendHandover(std::vector<keyed_log::Record>& records) {
  if (const jobs::LearnedModel learned = scheduler_->learned();
      !learned.is_empty()) {
    // Half a record: the size of the encoded model is estimated.
    records.push_back(
        {kLearnedKey,
         jobs::Encode(jobs::FitTo(
             learned, context_.log.limits().max_record_bytes / 2))});
  }
  if (jobs::AgentList agents = KnownAgents(); agents != stored_agents_) {
    stored_agents_ = std::move(agents);
    records.push_back({kAgentsKey, jobs::Encode(stored_agents_)});
  }
}

void Leader::DeleteExpiredJobs() {
  const Instant now = context_.clock.Now();
  if (is_deleting_jobs_ || now - expiry_checked_at_ < kExpiryCheckPeriod) {
    return;
  }
  expiry_checked_at_ = now;
  const std::vector<JobId> ids = scheduler_->ExpiredJobs(now, kMaxExpiredJobs);
  if (ids.empty()) {
    return;
  }
  is_deleting_jobs_ = true;
  keyed_log::Append append{kJobsTopic, {}, std::nullopt, std::nullopt};
  for (const JobId& id : ids) {
    append.records.push_back({KeyOf(kJobPrefix, id), {}});
    append.records.push_back({KeyOf(kCancelPrefix, id), {}});
  }
  context_.log.Write(
      append, now + kAppendTimeout,
      [weak = weak_from_this(), ids](const keyed_log::AppendResult& result) {
        const auto self = weak.lock();
        if (!self || self->term_->has_ended()) {
          return;
        }
        self->is_deleting_jobs_ = false;
        if (!std::holds_alternative<keyed_log::Stored>(result)) {
          return;  // Retried in the next period.
        }
        for (const JobId& id : ids) {
          self->scheduler_->Forget(id);
          self->directory_.Forget(id);
          self->deleted_jobs_.push_back(id);
        }
      });
}

void Leader::SendOrders() {
  const Instant now = context_.clock.Now();
  uint64_t order_count = 0;
  for (auto& [incarnation, orders] : scheduler_->TakeOrders(now)) {
    order_count += orders.size();
    const jobs::Runner* runner = scheduler_->fleet().Find(incarnation);
    auto batch = std::make_shared<jobs::OrderBatch>(
        jobs::OrderBatch{term(), incarnation, std::move(orders),
                         scheduler_->OrderDeadlineMs(incarnation, now),
                         scheduler_->ViewedAtMs(incarnation)});
    context_.peers.SendOrders(
        runner->report.agent_address, *batch, now + settings_.order_timeout,
        [weak = weak_from_this(), batch,
         sent_at = now](const std::optional<jobs::OrderAnswer>& answer) {
          const auto self = weak.lock();
          if (self && !self->term_->has_ended()) {
            self->OnOrdersAnswered(*batch, sent_at, answer);
          }
        });
  }
  monitor_.OnWork(WorkKind::kOrders, order_count, now);
}

void Leader::OnOrdersAnswered(const jobs::OrderBatch& batch,
                              Instant sent_at,
                              const std::optional<jobs::OrderAnswer>& answer) {
  const Instant answered_at = context_.clock.Now();
  if (answer || monitor_.is_behind()) {
    scheduler_->OnOrderLatency(answered_at - sent_at);
  }
  const jobs::Runner* addressee = scheduler_->fleet().Find(batch.incarnation);
  // The times in the answer of another process of the agent are on another
  // clock than those of its reports.
  const bool is_valid = answer && (addressee == nullptr ||
                                   answer->agent_start_unix_ms ==
                                       addressee->report.agent_start_unix_ms);
  for (size_t i = 0; i < batch.orders.size(); ++i) {
    scheduler_->OnOrderResult(batch.incarnation, batch.orders[i],
                              is_valid && i < answer->results.size()
                                  ? answer->results[i]
                                  : jobs::OrderResult{},
                              answered_at);
  }
  monitor_.OnWork(WorkKind::kResults, batch.orders.size(), answered_at);
}

bool Leader::is_confirmed() const {
  return is_leading_ && context_.clock.Now() - term_->confirmed_at() <=
                            settings_.confirmation_timeout;
}

bool Leader::OnCancelled(const JobId& id) {
  if (!is_leading_ || !replica_.content().jobs.contains(id)) {
    return false;
  }
  directory_.OnCancelled(id);
  scheduler_->Cancel(id, context_.clock.Now());
  ScheduleStep(milliseconds(0));
  return true;
}

void Leader::HandleReport(const ArrivedReport& arrived,
                          const RespondToReport& respond) {
  if (!is_leading_) {
    respond(ReportRejection::kNotTaken);
    return;
  }
  WaitingReport report{arrived, context_.clock.Now(), respond};
  if (waiting_reports_.empty() &&
      reports_since_round_ < settings_.max_reports_per_round) {
    ++reports_since_round_;
    ProcessReport(report);
    return;
  }
  if (const auto overtaken = waiting_reports_.Put(std::move(report))) {
    metrics_.OnReportOvertaken();
    overtaken->respond(ReportRejection::kNotTaken);
  }
  ScheduleStep(milliseconds(0));
}

void Leader::ProcessWaitingReports() {
  reports_since_round_ = 0;
  while (reports_since_round_ < settings_.max_reports_per_round) {
    const auto report = waiting_reports_.Take();
    if (!report) {
      return;
    }
    ++reports_since_round_;
    ProcessReport(*report);
  }
}

void Leader::ProcessReport(const WaitingReport& waiting) {
  const RespondToReport& respond = waiting.respond;
  const Instant started_at = context_.clock.Now();
  const auto report = waiting.report.decode();
  if (!report) {
    respond(ReportRejection::kUnreadable);
    return;
  }
  // What it says is as old as its arrival.
  const Instant now = waiting.received_at;
  const bool is_accepted = scheduler_->OnReport(*report, now);
  monitor_.OnWork(WorkKind::kReports, 1, started_at);
  // If the store no longer confirms this leader, another one may have been
  // elected. Agents have to look it up while their leases are valid.
  if (!is_accepted || !is_confirmed()) {
    respond(ReportRejection::kNotTaken);
    return;
  }
  PendingReport pending{report->incarnation,
                        0,
                        {},
                        report->sent_at_ms,
                        call_epochs_.OnReport(*report),
                        now,
                        started_at,
                        respond};
  if (report->state == jobs::RunnerState::kGone) {
    pending.gone_version = scheduler_->version();
  }
  for (const jobs::EndedRun& ended : report->ended) {
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

bool Leader::IsRecorded(const PendingReport& report) const {
  if (report.gone_version) {
    return *report.gone_version <= scheduler_->stored_version();
  }
  return report.last_end_number <= scheduler_->RecordedEnds(report.incarnation);
}

void Leader::Answer(const PendingReport& report) {
  int64_t lease_until_ms = 0;
  if (scheduler_->MayLease(report.incarnation, context_.clock.Now())) {
    // The next leader waits for a whole lease after it has read the last record
    // of this one, which comes after the store last confirmed it.
    const Instant lease_end = term_->confirmed_at() + settings_.scheduler.lease;
    scheduler_->OnLeaseGranted(report.incarnation, lease_end);
    const auto remaining =
        std::chrono::floor<milliseconds>(lease_end - report.received_at);
    lease_until_ms = report.sent_at_ms + remaining.count();
  }
  report.respond(
      jobs::ReportAnswer{term(), scheduler_->RecordedEnds(report.incarnation),
                         lease_until_ms, report.call_epoch});
}

void Leader::AnswerReports() {
  const Instant now = context_.clock.Now();
  std::vector<PendingReport> waiting;
  for (PendingReport& report : pending_reports_) {
    const bool is_due = now - (report.gone_version ? report.processed_at
                                                   : report.received_at) >=
                        settings_.report_timeout;
    if (is_due && report.gone_version && !IsRecorded(report)) {
      // Another leader may be able to store it.
      report.respond(ReportRejection::kNotTaken);
    } else if (is_due || IsRecorded(report)) {
      Answer(report);
    } else {
      waiting.push_back(std::move(report));
    }
  }
  pending_reports_ = std::move(waiting);
}

void Leader::Stop(const std::optional<FrontendRecord>& successor) {
  if (!is_leading_) {
    term_->End("The process is stopping.");
    return;
  }
  is_leading_ = false;
  RejectPendingReports();
  auto changes = std::make_shared<jobs::JobScheduler::Changes>();
  term_->Resign(
      successor ? successor->node : std::string(),
      [this, changes] {
        std::vector<keyed_log::Record> records;
        *changes = scheduler_->TakeChanges();
        AppendChanges(*changes, records);
        AppendHandover(records);
        return records;
      },
      [this, changes, successor] {
        OnChangesStored(*changes);
        if (successor) {
          NotifySuccessor(*successor);
        }
      });
}

void Leader::NotifySuccessor(const FrontendRecord& successor) {
  // If the call fails, all frontends read it from the store a little later.
  context_.peers.NotifySuccessor(successor.address,
                                 context_.clock.Now() + kNotificationTimeout);
}

void Leader::RejectPendingReports() {
  while (const auto report = waiting_reports_.Take()) {
    report->respond(ReportRejection::kNotTaken);
  }
  for (const PendingReport& report : pending_reports_) {
    report.respond(ReportRejection::kNotTaken);
  }
  pending_reports_.clear();
}

void Leader::OnTermEnded() {
  const auto self = shared_from_this();
  is_leading_ = false;
  RejectPendingReports();
  metrics_.UpdateLeaderGauges(0, 0, 0, {});
  metrics_.UpdateEvacuations(0, 0);
  metrics_.UpdateReservations({});
  replica_.SetListener({});
  step_timer_->Cancel();
  on_end_();
}

}  // namespace papayadrift::cluster
