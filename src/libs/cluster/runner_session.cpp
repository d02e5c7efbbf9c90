#include "cluster/runner_session.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cluster/call_epochs.h"

namespace papayadrift::cluster {
namespace {

// Consecutive refused connections after which the runner is considered
// unreachable. A single one may be due to a restart of the listener.
constexpr uint32_t kRefusedCallsUntilUnreachable = 2;
// Maximum time for which ends that are not recorded yet delay the next listing
// of runs.
constexpr milliseconds kEndsRecordingDelay(300);
// Longest time after a call that the announced process has answered for which
// the next one is taken to reach the same process. Calls that are answered in
// time follow each other faster, unless the agent is held up.
constexpr milliseconds kConfirmationTimeout(1500);
// Longest time by which the clock of the VM may be set back after its runner
// has started, with room to spare.
constexpr milliseconds kMaxClockStep(60'000);
// Processes of the runner whose late announcements are recognized: those of
// more than a minute, also if each one crashes at once.
constexpr size_t kMaxFormerProcesses = 64;
// Time after the first announcement of a process in which a departure that an
// earlier one of its name has sent may still arrive: as long as an order that
// was not answered may take effect.
constexpr milliseconds kLateDepartureLimit(12'000);
// Announcements by which the sequence number of one process may advance at
// once: two weeks of them.
constexpr uint64_t kMaxSequenceStep = 1'000'000;

int64_t ToMs(Instant instant) {
  return std::chrono::floor<milliseconds>(instant).time_since_epoch().count();
}

bool IsSameProcess(const Announcement& one, const Announcement& other) {
  return one.instance == other.instance &&
         one.start_unix_ms == other.start_unix_ms;
}

// Whether `announcement` is newer than `known`.
bool IsNewer(const Announcement& announcement, const Announcement& known) {
  if (announcement.start_unix_ms != known.start_unix_ms) {
    return announcement.start_unix_ms > known.start_unix_ms;
  }
  return announcement.instance != known.instance ||
         announcement.sequence > known.sequence;
}

}  // namespace

RunnerSession::RunnerSession(const RunnerAgentSettings& settings,
                             int64_t agent_start_unix_ms)
    : settings_(settings), agent_start_unix_ms_(agent_start_unix_ms) {}

jobs::RunnerIncarnation RunnerSession::incarnation() const {
  return {settings_.node, announced_->instance, announced_->start_unix_ms};
}

bool RunnerSession::HasLease(Instant now) const {
  return runner_clock_ms_ && lease_until_ms_ > ToMs(now);
}

int64_t RunnerSession::LeaseEndOnRunnerClock() const {
  return runner_clock_ms_
             ? *runner_clock_ms_ + (lease_until_ms_ - runner_clock_read_ms_)
             : 0;
}

bool RunnerSession::IsPlausible(const Announcement& announcement,
                                WallInstant wall_now) const {
  const int64_t latest_start =
      (wall_now + kMaxClockStep).time_since_epoch().count();
  const bool is_known = announced_ && IsSameProcess(announcement, *announced_);
  return announcement.start_unix_ms <= latest_start &&
         (!is_known ||
          announcement.sequence <= announced_->sequence + kMaxSequenceStep);
}

bool RunnerSession::IsFormer(const Announcement& announcement) const {
  const jobs::RunnerIncarnation process{settings_.node, announcement.instance,
                                        announcement.start_unix_ms};
  return std::ranges::find(former_processes_, process) !=
         former_processes_.end();
}

bool RunnerSession::HasReplacedAnnounced(
    const Announcement& announcement) const {
  if (IsSameProcess(announcement, *announced_)) {
    return false;
  }
  if (has_ended_ || !replaced_by_start_ms_) {
    return has_ended_;
  }
  return *replaced_by_start_ms_ == 0
             ? announcement.instance != announced_->instance
             : announcement.start_unix_ms == *replaced_by_start_ms_;
}

AnnouncementVerdict RunnerSession::OnAnnouncement(
    const Announcement& announcement,
    Instant now,
    WallInstant wall_now) {
  if (announcement.service != settings_.service ||
      (announced_ && !HasReplacedAnnounced(announcement) &&
       (!IsNewer(announcement, *announced_) || IsFormer(announcement)))) {
    return AnnouncementVerdict::kNotNewer;
  }
  if (!IsPlausible(announcement, wall_now)) {
    return AnnouncementVerdict::kImplausible;
  }
  if (!IsRunnerUp() || !IsSameProcess(announcement, *announced_)) {
    OnRunnerStarted(announcement, now);
    return AnnouncementVerdict::kStarted;
  }
  const bool is_changed = announcement.state != announced_->state ||
                          announcement.capacity != announced_->capacity;
  announced_ = announcement;
  return is_changed ? AnnouncementVerdict::kChanged
                    : AnnouncementVerdict::kUnchanged;
}

void RunnerSession::OnRunnerStarted(const Announcement& announcement,
                                    Instant now) {
  earlier_crash_.reset();
  if (announced_ && !IsSameProcess(announcement, *announced_)) {
    earlier_crash_ = SuspectedCrash();
    former_processes_.push_back(incarnation());
    if (former_processes_.size() > kMaxFormerProcesses) {
      former_processes_.pop_front();
    }
  }
  announced_ = announcement;
  announced_at_ = now;
  std::erase(former_processes_, incarnation());
  has_ended_ = false;
  ++generation_;
  is_renewing_ = false;
  refused_calls_ = 0;
  is_unreachable_ = false;
  suspected_crash_.reset();
  answered_at_ms_ = ToMs(now);
  left_at_.reset();
  confirmed_at_.reset();
  replaced_by_start_ms_.reset();
  runner_clock_ms_.reset();
  listed_at_ms_ = 0;
  active_.clear();
  ended_.clear();
  has_all_ends_ = true;
  ends_ = {};
  dropped_ends_ = 0;
  ignored_ends_ = 0;
  lease_until_ms_ = 0;
}

bool RunnerSession::OnRunnerLeaving(const std::string& instance, Instant now) {
  if (!IsRunnerUp() || announced_->instance != instance) {
    return false;
  }
  if (announced_->state != jobs::RunnerState::kDraining ||
      !IsOwnDeparture(now)) {
    left_at_ = now;
    return false;
  }
  OnRunnerEnded();
  return true;
}

bool RunnerSession::IsOwnDeparture(Instant at) const {
  const bool may_have_predecessor =
      announced_->start_unix_ms < agent_start_unix_ms_ ||
      std::ranges::find(former_processes_, announced_->instance,
                        &jobs::RunnerIncarnation::instance) !=
          former_processes_.end();
  return !may_have_predecessor || at - announced_at_ > kLateDepartureLimit;
}

void RunnerSession::OnRunnerEnded() {
  has_ended_ = true;
  is_unreachable_ = false;
  suspected_crash_.reset();
  is_end_recorded_ = false;
  ++generation_;
  announced_->state = jobs::RunnerState::kGone;
}

std::optional<jobs::CrashTime> RunnerSession::SuspectedCrash() const {
  return left_at_ || announced_->state != jobs::RunnerState::kReady
             ? std::nullopt
             : suspected_crash_;
}

bool RunnerSession::OnLeader(const jobs::LeaderRecord& leader) {
  if (leader.term <= leader_.term) {
    return false;
  }
  leader_ = leader;
  ++reports_;
  is_reporting_ = false;
  return true;
}

void RunnerSession::OnTerm(uint64_t term) {
  term_ = std::max(term_, term);
}

bool RunnerSession::CanRenewLease() const {
  return IsRunnerUp() && !is_renewing_;
}

uint64_t RunnerSession::RecordedEnds() const {
  // The leader of a later term may lack what an earlier one has recorded.
  return std::max(dropped_ends_, ends_.term == term_ ? ends_.recorded : 0);
}

bool RunnerSession::IsProcessConfirmed(Instant now) const {
  return confirmed_at_ && now - *confirmed_at_ <= kConfirmationTimeout;
}

FencingToken RunnerSession::NextFencingToken(Instant now) {
  if (IsProcessConfirmed(now)) {
    is_epoch_used_ = true;
  } else if (std::exchange(is_epoch_used_, false)) {
    // This call may reach a later process. Starts and leases of the announced
    // one that are still on their way must not take effect there after it.
    ++fencing_token_.call_epoch;
  }
  return fencing_token_;
}

RenewalCall RunnerSession::StartRenewal(Instant now) {
  is_renewing_ = true;
  RenewalCall call;
  call.request.fencing_token = NextFencingToken(now).value();
  call.generation = generation_;
  call.sent_at = now;
  if (!IsProcessConfirmed(now)) {
    // Each process numbers its ends and counts its time anew. One that may not
    // be the announced one must not take ends for recorded that are not, nor a
    // lease on the clock of the announced one.
    return call;
  }
  call.request.recorded_ends = RecordedEnds();
  if (HasLease(now)) {
    call.request.lease_until_ms = LeaseEndOnRunnerClock();
    call.request.wait = settings_.renewal_wait;
  }
  return call;
}

jobs::CrashTime RunnerSession::CrashTimeFor(RunnerFailure failure,
                                            Instant sent_at,
                                            Instant now) const {
  // A call in progress breaks at the moment of the crash. A call that took
  // longer than its timeout was held up on this VM.
  const milliseconds longest =
      settings_.renewal_wait + settings_.runner_timeout;
  const bool is_prompt = failure == RunnerFailure::kUnanswered &&
                         ToMs(now) - ToMs(sent_at) < longest.count();
  return {is_prompt ? ToMs(now) : answered_at_ms_, ToMs(now)};
}

RenewalOutcome RunnerSession::OnRenewalFailed(RunnerFailure failure,
                                              Instant sent_at,
                                              Instant now) {
  const bool is_superseded = failure == RunnerFailure::kSuperseded;
  if (failure == RunnerFailure::kOtherIncarnation) {
    replaced_by_start_ms_ = 0;
  }
  // A refusal does not tell which process it is from.
  confirmed_at_.reset();
  if (is_superseded) {
    is_fenced_ = true;
    suspected_crash_.reset();
  } else if (!suspected_crash_) {
    suspected_crash_ = CrashTimeFor(failure, sent_at, now);
  }
  refused_calls_ =
      failure == RunnerFailure::kNotListening ? refused_calls_ + 1 : 0;
  RenewalOutcome outcome{.is_superseded = is_superseded,
                         .next_renewal = kRetryDelay};
  if (refused_calls_ < kRefusedCallsUntilUnreachable) {
    return outcome;
  }
  if (left_at_ && IsOwnDeparture(*left_at_)) {
    OnRunnerEnded();
    return {.has_runner_ended = true, .is_report_due = true};
  }
  if (!std::exchange(is_unreachable_, true)) {
    outcome.is_reachable = false;
    outcome.is_report_due = true;
  }
  return outcome;
}

RenewalOutcome RunnerSession::OnLeaseRenewed(const RenewalCall& call,
                                             LeaseRenewalResult result,
                                             Instant now) {
  if (call.generation != generation_) {
    return {};
  }
  is_renewing_ = false;
  if (const auto* failure = std::get_if<RunnerFailure>(&result)) {
    return OnRenewalFailed(*failure, call.sent_at, now);
  }
  refused_calls_ = 0;
  suspected_crash_.reset();
  answered_at_ms_ = ToMs(now);
  auto& renewal = std::get<LeaseRenewalResponse>(result);
  if (renewal.start_unix_ms != 0 &&
      renewal.start_unix_ms != announced_->start_unix_ms) {
    // Another process of the runner has the same name; its announcement is
    // still to come. It must not be granted a lease on the clock of the earlier
    // one, nor start what was meant for that: the next call has a higher token.
    confirmed_at_.reset();
    runner_clock_ms_.reset();
    const bool is_new = replaced_by_start_ms_ != renewal.start_unix_ms;
    replaced_by_start_ms_ = renewal.start_unix_ms;
    return {.next_renewal = is_new ? milliseconds(0) : kRetryDelay};
  }
  confirmed_at_ = call.sent_at;
  replaced_by_start_ms_.reset();
  if (left_at_ && *left_at_ < call.sent_at) {
    left_at_.reset();
  }
  dropped_ends_ = std::max(dropped_ends_, call.request.recorded_ends);
  runner_clock_ms_ = renewal.clock_ms;
  runner_clock_read_ms_ = ToMs(now);
  const bool is_first = listed_at_ms_ == 0;
  if (!renewal.has_unreadable_end) {
    // Otherwise the lists become too old for another lease, since nothing else
    // ends the wait for the end of that run.
    listed_at_ms_ = ToMs(call.sent_at);
  }
  active_ = std::move(renewal.active);
  ended_ = std::move(renewal.ended);
  has_all_ends_ = renewal.has_all_ends;
  const uint64_t recorded_ends = RecordedEnds();
  const bool has_unrecorded_ends =
      std::ranges::any_of(ended_, [recorded_ends](const jobs::EndedRun& ended) {
        return ended.number > recorded_ends;
      });
  milliseconds delay = HasLease(now) && !renewal.has_unreadable_end
                           ? milliseconds(0)
                           : kRetryDelay;
  if (has_unrecorded_ends) {
    delay = kEndsRecordingDelay;
  }
  const bool was_unreachable = std::exchange(is_unreachable_, false);
  return {.is_reachable = was_unreachable ? std::optional(true) : std::nullopt,
          .is_report_due = has_unrecorded_ends || was_unreachable ||
                           (is_first && !renewal.has_unreadable_end),
          .next_renewal = delay};
}

bool RunnerSession::CanReport() const {
  return announced_ && !is_reporting_ && !leader_.address.empty();
}

ReportCall RunnerSession::StartReport(Instant now) {
  is_reporting_ = true;
  ReportCall call;
  call.ticket = {.number = ++reports_, .generation = generation_};
  jobs::RunnerReport& report = call.report;
  report.incarnation = incarnation();
  report.agent_address = settings_.address;
  report.service = announced_->service;
  report.zone = announced_->zone;
  report.vm = announced_->vm;
  report.state = announced_->state;
  report.capacity = announced_->capacity;
  report.labels = announced_->labels;
  report.sent_at_ms = ToMs(now);
  report.agent_start_unix_ms = agent_start_unix_ms_;
  report.earlier_crash = earlier_crash_;
  report.call_epoch = fencing_token_.call_epoch;
  if (!has_ended_) {
    report.is_unreachable = is_unreachable_;
    if (is_unreachable_) {
      report.crash = SuspectedCrash();
    }
    report.listed_at_ms = listed_at_ms_;
    report.active = active_;
    report.ended = ended_;
    report.has_all_ends = has_all_ends_;
    for (const jobs::EndedRun& ended : ended_) {
      call.ticket.last_end = std::max(call.ticket.last_end, ended.number);
    }
  }
  return call;
}

bool RunnerSession::IsAwaited(const ReportTicket& ticket) const {
  return ticket.number == reports_ && is_reporting_;
}

ReportOutcome RunnerSession::OnReported(
    const ReportTicket& ticket,
    const std::optional<jobs::ReportAnswer>& answer) {
  is_reporting_ = false;
  if (!answer || answer->term < term_) {
    return {};
  }
  term_ = answer->term;
  const bool is_first = !CanCallRunner();
  UpdateFencingToken(*answer);
  if (ticket.generation != generation_) {
    return {.is_accepted = true, .is_renewal_due = is_first};
  }
  is_end_recorded_ = has_ended_;
  lease_until_ms_ = std::max(lease_until_ms_, answer->lease_until_ms);
  const uint64_t known_ends = RecordedEnds();
  const auto ignored_ends = OnEndsRecorded(*answer, ticket.last_end);
  return {.is_accepted = true,
          .is_end_recorded = is_end_recorded_,
          .is_renewal_due = is_first || RecordedEnds() > known_ends,
          .ignored_ends = ignored_ends};
}

void RunnerSession::UpdateFencingToken(const jobs::ReportAnswer& answer) {
  fencing_token_ = {answer.term,
                    std::max(fencing_token_.call_epoch, answer.call_epoch)};
  if (std::exchange(is_fenced_, false)) {
    // The leader takes this agent's reports, so that the calls with a higher
    // token are those of an agent before it that the leader didn't know.
    fencing_token_.call_epoch += CallEpochs::kMaxLead;
  }
}

std::optional<uint64_t> RunnerSession::OnEndsRecorded(
    const jobs::ReportAnswer& answer,
    uint64_t last_reported_end) {
  if (answer.term > ends_.term) {
    ends_ = {.term = answer.term};
  }
  ends_.reported = std::max(ends_.reported, last_reported_end);
  const uint64_t count = answer.recorded_ends;
  if (count <= std::max(ends_.reported, dropped_ends_)) {
    ends_.recorded = std::max(ends_.recorded, count);
    return std::nullopt;
  }
  return std::exchange(ignored_ends_, count) == count ? std::nullopt
                                                      : std::optional(count);
}

std::optional<jobs::OrderVerdict> RunnerSession::VerdictOn(
    const jobs::OrderBatch& batch,
    const jobs::Order& order,
    Instant deadline,
    Instant now) const {
  const bool is_start = std::holds_alternative<jobs::StartOrder>(order);
  if (batch.term < term_) {
    return jobs::OrderVerdict::kSuperseded;
  }
  if (!CanCallRunner() || !IsRunnerUp() || batch.incarnation != incarnation() ||
      (is_start && announced_->state != jobs::RunnerState::kReady)) {
    return jobs::OrderVerdict::kRefused;
  }
  const bool is_stop = std::holds_alternative<jobs::StopOrder>(order);
  const bool is_void =
      !is_stop && batch.valid_until_ms != 0 && ToMs(now) > batch.valid_until_ms;
  if (is_void || now > deadline) {
    return jobs::OrderVerdict::kExpired;
  }
  if (is_start && !(HasLease(now) && IsProcessConfirmed(now))) {
    // A start carries the lease, which a later process would take on its clock.
    return jobs::OrderVerdict::kLeaseExpired;
  }
  return is_start ? ViewVerdict(batch.jobs_viewed_at_ms, now) : std::nullopt;
}

std::optional<jobs::OrderVerdict> RunnerSession::ViewVerdict(
    int64_t viewed_at_ms,
    Instant now) const {
  const int64_t now_ms = ToMs(now);
  if (viewed_at_ms == 0 || viewed_at_ms > now_ms) {
    return jobs::OrderVerdict::kBadView;
  }
  return now_ms - viewed_at_ms > settings_.view_limit.count()
             ? std::optional(jobs::OrderVerdict::kOldView)
             : std::nullopt;
}

void RunnerSession::OnOrderAnswered(uint64_t generation,
                                    jobs::OrderVerdict verdict,
                                    Instant now) {
  if (generation == generation_ && verdict != jobs::OrderVerdict::kUnanswered &&
      verdict != jobs::OrderVerdict::kRefused) {
    answered_at_ms_ = ToMs(now);
  }
}

}  // namespace papayadrift::cluster
