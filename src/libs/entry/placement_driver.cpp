#include "entry/placement_driver.h"

#include <algorithm>
#include <utility>

#include "base/lookup.h"
#include "entry/policy_builder.h"

namespace papayadrift::entry {

namespace {

constexpr seconds kFirstLatencyInterval(1);

placement::ClaimRejection ReasonOf(replay::Rejection rejection) {
  switch (rejection) {
    case replay::Rejection::kCapacityExceeded:
      return placement::ClaimRejection::kNoCapacity;
    case replay::Rejection::kQuotaExceeded:
      return placement::ClaimRejection::kQuota;
    case replay::Rejection::kAttemptNotNext:
    case replay::Rejection::kTaskLive:
      return placement::ClaimRejection::kTaskTaken;
    case replay::Rejection::kJobClosed:
    case replay::Rejection::kJobUnknown:
    case replay::Rejection::kTaskEnded:
    case replay::Rejection::kTaskUnknown:
      return placement::ClaimRejection::kTaskEnded;
    case replay::Rejection::kDomainFull:
    case replay::Rejection::kKindsApart:
      return placement::ClaimRejection::kKeptApart;
    case replay::Rejection::kIncarnationSuperseded:
    case replay::Rejection::kWorkerDraining:
    case replay::Rejection::kWorkerLapsed:
    case replay::Rejection::kWorkerQuarantined:
    case replay::Rejection::kWorkerUnknown:
      return placement::ClaimRejection::kWorkerGone;
    default:
      return placement::ClaimRejection::kExpired;
  }
}

placement::WorkerUp WorkerEventOf(const records::WorkerAnnounced& record) {
  placement::WorkerUp event{record.worker, record.incarnation, record.zone,
                            record.rack,   record.capacity,    {}};
  for (const records::Runner& runner : record.runners) {
    event.runners.push_back({runner.service, runner.reserved});
  }
  return event;
}

std::vector<uint32_t> EndedTasks(const replay::JobState& job) {
  std::vector<uint32_t> ended;
  for (uint32_t i = 0; i < job.task_phases.size(); ++i) {
    if (job.task_phases[i] == replay::TaskPhase::kFinished) {
      ended.push_back(i);
    }
  }
  return ended;
}

}  // namespace

// Turns accepted records into events.
struct PlacementDriver::Applier {
  PlacementDriver& driver;

  void operator()(const records::WorkerAnnounced& record) const {
    // Replay frees the earlier incarnations with the same record.
    if (record.previous_ended && record.incarnation > Incarnation()) {
      driver.Handle(placement::WorkerFreed{
          record.worker, Incarnation(record.incarnation.value() - 1)});
    }
    driver.Handle(WorkerEventOf(record));
    driver.AssignHome(record.worker);
  }
  void operator()(const records::WorkerDraining& record) const {
    driver.Handle(placement::WorkerDraining{record.worker, record.incarnation});
  }
  void operator()(const records::WorkerLapsed& record) const {
    driver.Handle(placement::WorkerLapsed{record.worker, record.incarnation});
  }
  void operator()(const records::WorkerFreed& record) const {
    driver.Handle(placement::WorkerFreed{record.worker, record.incarnation});
  }
  void operator()(const records::WorkerQuarantined& record) const {
    driver.Handle(record);
  }
  void operator()(const records::KnowledgeNoted& record) const {
    driver.Handle(record);
  }
  void operator()(const records::JobSubmitted& record) const {
    driver.Handle(driver.EventOf(record));
  }
  void operator()(const records::JobCancelled& record) const {
    driver.Handle(placement::JobCancelled{record.job});
  }
  void operator()(const records::JobRefused& record) const {
    driver.Handle(placement::JobRefused{record.job, record.reason});
  }
  void operator()(const records::TaskClaimed& record) const {
    driver.Handle(placement::ClaimAccepted{record.task, record.attempt,
                                           record.worker, record.incarnation,
                                           record.grant});
  }
  void operator()(const records::GrantChanged& record) const {
    driver.Handle(
        placement::GrantRecorded{record.task, record.attempt, record.grant});
  }
  void operator()(const records::TaskEnded& record) const {
    driver.started_.erase({record.task, record.attempt});
    driver.Handle(placement::TaskEnded{record.task, record.attempt,
                                       record.ending, record.checkpoint});
  }
  template <typename T>
  void operator()(const T&) const {}
};

// Carries out the scheduler's actions.
struct PlacementDriver::Performer {
  PlacementDriver& driver;

  void operator()(const placement::Claim& claim) const {
    // After a restart the scheduler may not know what replay knows.
    const replay::JobTable& jobs = driver.decisions_.state().jobs();
    const replay::TaskState* task = jobs.FindTask(claim.task);
    driver.decisions_.Propose(
        records::TaskClaimed{claim.task, jobs.NextAttempt(claim.task),
                             claim.worker, claim.incarnation, claim.grant,
                             task ? task->checkpoint : CheckpointId()},
        [&driver = driver, claim](const ProposalOutcome& outcome) {
          driver.OnClaimOutcome(claim, outcome);
        });
  }
  void operator()(const placement::ChangeGrant& change) const {
    const replay::TaskState* live =
        driver.decisions_.state().jobs().FindLive(change.task, change.attempt);
    if (live == nullptr) {
      return;
    }
    if (FitsIn(change.grant, live->grant)) {
      driver.desk_->LowerGrant(change.task, change.attempt, change.grant);
    } else {
      driver.RaiseGrant(change);
    }
  }
  void operator()(const placement::Evict& evict) const {
    driver.RequestEviction(evict);
  }
  void operator()(const placement::RefuseJob& refuse) const {
    driver.decisions_.Propose(records::JobRefused{refuse.job, refuse.reason},
                              [](const ProposalOutcome&) {});
  }
  void operator()(const placement::Quarantine& quarantine) const {
    driver.ProposeQuarantine({quarantine.worker, quarantine.incarnation, true});
  }
  void operator()(const placement::Release& release) const {
    driver.ProposeQuarantine({release.worker, release.incarnation, false});
  }
};

PlacementDriver::PlacementDriver(const placement::Settings& settings,
                                 DecisionStream& decisions,
                                 const Clock& clock,
                                 IsHomeOf is_home_of)
    : settings_(settings),
      decisions_(decisions),
      clock_(clock),
      is_home_of_(std::move(is_home_of)),
      scheduler_(placement::MakeLearningScheduler(settings)) {}

void PlacementDriver::OnConfiguration(
    const configuration::Configuration& configuration) {
  policy_ = PolicyOf(configuration);
  if (decisions_.has_caught_up()) {
    Handle(placement::PolicyChanged{policy_});
  }
}

void PlacementDriver::SetCutOff(bool is_cut_off) {
  const bool was_cut_off = std::exchange(is_cut_off_, is_cut_off);
  if (was_cut_off == is_cut_off || !decisions_.has_caught_up()) {
    return;
  }
  if (is_cut_off) {
    Handle(placement::RegionCutOff());
  } else {
    Handle(placement::RegionRejoined());
  }
}

void PlacementDriver::OnHomesChanged() {
  for (const auto& [key, worker] : decisions_.state().workers().workers()) {
    AssignHome(key.worker);
  }
}

void PlacementDriver::OnTime() {
  if (!decisions_.has_caught_up()) {
    return;
  }
  for (const placement::Evict& evict : std::exchange(evict_again_, {})) {
    RequestEviction(evict);
  }
  Handle(placement::Tick());
}

void PlacementDriver::OnApplied(Offset,
                                const replay::AppliedProposal& applied) {
  if (applied.verdict.is_accepted() && decisions_.has_caught_up()) {
    std::visit(Applier{*this}, applied.proposal.record);
  }
}

void PlacementDriver::OnRestored() {
  scheduler_ = placement::MakeLearningScheduler(settings_);
  evict_again_.clear();
  Handle(placement::PolicyChanged{policy_});
  if (is_cut_off_) {
    Handle(placement::RegionCutOff());
  }
  Handle(decisions_.state().knowledge().All());
  TellWorkers();
  TellJobs();
  // Nothing may be claimed before all that runs is counted.
  OnHomesChanged();
}

void PlacementDriver::TellWorkers() {
  for (const auto& [key, worker] : decisions_.state().workers().workers()) {
    records::WorkerAnnounced announced;
    announced.worker = key.worker;
    announced.incarnation = key.incarnation;
    announced.zone = worker.zone;
    announced.rack = worker.rack;
    announced.capacity = worker.capacity;
    announced.runners = worker.runners;
    Handle(WorkerEventOf(announced));
    Handle(placement::WorkerAssigned{key.worker, false});
    if (worker.is_quarantined) {
      Handle(placement::WorkerQuarantined{key.worker, key.incarnation, true});
    }
    if (worker.phase == replay::WorkerPhase::kDraining) {
      Handle(placement::WorkerDraining{key.worker, key.incarnation});
    } else if (worker.phase == replay::WorkerPhase::kLapsed) {
      Handle(placement::WorkerLapsed{key.worker, key.incarnation});
    }
  }
}

void PlacementDriver::TellJobs() {
  for (const auto& [id, job] : decisions_.state().jobs().jobs()) {
    if (job.phase == replay::JobPhase::kOpen) {
      placement::JobSubmitted event = EventOf(job.submitted);
      event.ended = EndedTasks(job);
      Handle(event);
    }
    for (const auto& [index, task] : job.tasks) {
      if (task.is_live) {
        Handle(placement::ClaimAccepted{{id, index},
                                        task.attempt,
                                        task.worker.worker,
                                        task.worker.incarnation,
                                        task.grant});
      }
    }
  }
}

void PlacementDriver::OnReports(const worker_protocol::Heartbeat& heartbeat) {
  for (const worker_protocol::AttemptReport& report : heartbeat.attempts) {
    ReportAttempt(report);
  }
  const Instant now = clock_.Now();
  const WorkerId& worker = heartbeat.announcement.worker;
  for (const worker_protocol::LatencyReport& report : heartbeat.latencies) {
    const Instant from =
        ValueOr(latency_reported_until_, worker, now - kFirstLatencyInterval);
    Handle(placement::LatencyReported{
        worker, report.service, microseconds(report.p50_microseconds),
        microseconds(report.p99_microseconds), report.requests, from, now});
  }
  latency_reported_until_[worker] = now;
}

UrgentWork PlacementDriver::UrgentWorkOn(const WorkerId& worker) const {
  const auto view = scheduler_->View(worker);
  if (view && view->urgent_claims_in_flight > 0) {
    return UrgentWork::kBeingClaimed;
  }
  return view && view->held != Resources() ? UrgentWork::kWaitsForRoom
                                           : UrgentWork::kNone;
}

void PlacementDriver::Handle(const placement::Event& event) {
  for (const placement::Action& action :
       scheduler_->Handle(clock_.Now(), event)) {
    Perform(action);
  }
}

void PlacementDriver::Perform(const placement::Action& action) {
  std::visit(Performer{*this}, action);
}

void PlacementDriver::OnClaimOutcome(const placement::Claim& claim,
                                     const ProposalOutcome& outcome) {
  if (std::holds_alternative<ProposalAccepted>(outcome)) {
    return;  // Replay has told the scheduler.
  }
  const auto* rejected = std::get_if<ProposalRejected>(&outcome);
  Handle(placement::ClaimRejected{claim.task, claim.attempt,
                                  rejected
                                      ? ReasonOf(rejected->rejection)
                                      : placement::ClaimRejection::kExpired});
}

void PlacementDriver::RequestEviction(const placement::Evict& evict) {
  decisions_.Propose(records::EvictionRequested{evict.task, evict.attempt},
                     [this, evict](const ProposalOutcome& outcome) {
                       if (std::holds_alternative<ProposalExpired>(outcome)) {
                         evict_again_.push_back(evict);
                       }
                     });
}

void PlacementDriver::ProposeQuarantine(
    const records::WorkerQuarantined& record) {
  decisions_.Propose(record, [this, record](const ProposalOutcome& outcome) {
    const replay::WorkerState* worker =
        decisions_.state().workers().Find({record.worker, record.incarnation});
    if (std::holds_alternative<ProposalAccepted>(outcome) ||
        worker == nullptr) {
      return;  // Replay has told the scheduler, or the worker is gone.
    }
    Handle(placement::WorkerQuarantined{record.worker, record.incarnation,
                                        worker->is_quarantined});
  });
}

void PlacementDriver::RaiseGrant(const placement::ChangeGrant& change) {
  const auto refuse = [this, change] {
    Handle(placement::GrantRefused{change.task, change.attempt, change.grant});
  };
  const replay::TaskState* live =
      decisions_.state().jobs().FindLive(change.task, change.attempt);
  if (live == nullptr || !FitsIn(live->grant, change.grant)) {
    refuse();  // Higher in one amount and lower in another.
    return;
  }
  decisions_.Propose(
      records::GrantChanged{change.task, change.attempt, change.grant},
      [refuse](const ProposalOutcome& outcome) {
        if (!std::holds_alternative<ProposalAccepted>(outcome)) {
          refuse();
        }
      });
}

void PlacementDriver::AssignHome(const WorkerId& worker) {
  Handle(placement::WorkerAssigned{worker, is_home_of_(worker)});
}

void PlacementDriver::ReportAttempt(
    const worker_protocol::AttemptReport& report) {
  const replay::TaskState* live =
      decisions_.state().jobs().FindLive(report.task, report.attempt);
  if (live == nullptr || report.has_ended) {
    return;
  }
  if (started_.emplace(report.task, report.attempt).second) {
    Handle(placement::TaskStarted{report.task, report.attempt});
  }
  Handle(placement::UsageReported{report.task, report.attempt, report.used,
                                  report.progress_permille, clock_.Now()});
}

placement::JobSubmitted PlacementDriver::EventOf(
    const records::JobSubmitted& record) const {
  const milliseconds until_deadline = record.deadline - clock_.WallNow();
  placement::JobSubmitted event;
  event.job = record.job;
  event.customer = record.customer;
  event.team = record.team;
  event.kind = record.kind;
  event.tasks = record.tasks;
  event.declared = record.declared;
  event.declared_run = milliseconds(record.declared_run_milliseconds);
  event.priority = record.priority;
  event.is_urgent = record.is_urgent;
  event.is_checkpointable = record.is_checkpointable;
  event.deadline = clock_.Now() + until_deadline;
  event.separation = record.separation;
  return event;
}

}  // namespace papayadrift::entry
