#include "entry/worker_desk.h"

#include <algorithm>
#include <utility>

namespace papayadrift::entry {

using worker_protocol::AttemptReport;
using worker_protocol::Heartbeat;
using worker_protocol::HeartbeatAnswer;

namespace {

// When a worker asks again that urgent work is about to start on.
constexpr milliseconds kSoon(10);

replay::WorkerKey KeyOf(const Heartbeat& heartbeat) {
  return {heartbeat.announcement.worker, heartbeat.announcement.incarnation};
}

constexpr char kEnd[] = "end ";
constexpr char kGrant[] = "grant ";

std::string SubjectOf(const AttemptReport& report, const char* what) {
  return what + ToText(report.task) + "#" +
         std::to_string(report.attempt.value());
}

}  // namespace

WorkerDesk::WorkerDesk(DecisionStream& decisions,
                       lease::Renewer& renewer,
                       const lease::LeaseSettings& settings,
                       const Clock& clock,
                       DirectoryFor directory_for,
                       WorkerReportListener& listener)
    : decisions_(decisions),
      renewer_(renewer),
      settings_(settings),
      clock_(clock),
      directory_for_(std::move(directory_for)),
      listener_(listener) {}

HeartbeatAnswer WorkerDesk::Answer(const Heartbeat& heartbeat) {
  const replay::WorkerKey worker = KeyOf(heartbeat);
  heard_at_[worker] = clock_.Now();
  Announce(heartbeat, worker);
  if (heartbeat.is_draining) {
    RecordDraining(worker);
  }
  for (const AttemptReport& report : heartbeat.attempts) {
    RecordEnd(report, worker);
    RecordLowerGrant(report);
  }
  listener_.OnReports(heartbeat);

  EntryDirectory directory = directory_for_(worker.worker);
  HeartbeatAnswer answer;
  answer.sequence = heartbeat.sequence;
  answer.incarnation = worker.incarnation;
  answer.renewal_milliseconds = RenewalFor(worker).count();
  answer.state_offset = decisions_.state().next_offset();
  answer.is_incarnation_over = IsOver(worker);
  answer.home_address = std::move(directory.home_address);
  answer.entry_addresses = std::move(directory.addresses);
  if (decisions_.state().workers().Find(worker) != nullptr) {
    answer.orders = OrdersFor(decisions_.state(), worker, heartbeat.attempts,
                              PendingLowerGrants());
  }
  if (IsUrgentOrderNear(heartbeat)) {
    answer.ask_again_milliseconds = kSoon.count();
  }
  return answer;
}

void WorkerDesk::LowerGrant(const TaskId& task,
                            Attempt attempt,
                            const Resources& grant) {
  lower_grants_[task] = {attempt, grant};
}

void WorkerDesk::SetLapsePending(const replay::WorkerKey& worker,
                                 bool is_pending) {
  if (is_pending) {
    lapse_pending_.insert(worker);
  } else {
    lapse_pending_.erase(worker);
  }
}

std::optional<Instant> WorkerDesk::LastHeard(
    const replay::WorkerKey& worker) const {
  std::optional<Instant> last;
  for (const auto* heard : {&heard_at_, &heard_elsewhere_at_}) {
    const auto it = heard->find(worker);
    if (it != heard->end()) {
      last = std::max(last.value_or(it->second), it->second);
    }
  }
  return last;
}

std::vector<replay::WorkerKey> WorkerDesk::HeardSince(Instant since) const {
  std::vector<replay::WorkerKey> heard;
  for (const auto& [worker, at] : heard_at_) {
    if (at >= since) {
      heard.push_back(worker);
    }
  }
  return heard;
}

void WorkerDesk::NoteHeardElsewhere(const replay::WorkerKey& worker) {
  if (decisions_.state().workers().Find(worker) != nullptr) {
    heard_elsewhere_at_[worker] = clock_.Now();
  }
}

void WorkerDesk::Forget(const replay::WorkerKey& worker) {
  heard_at_.erase(worker);
  heard_elsewhere_at_.erase(worker);
  lapse_pending_.erase(worker);
}

void WorkerDesk::Announce(const Heartbeat& heartbeat,
                          const replay::WorkerKey& worker) {
  const replay::WorkerState* known = decisions_.state().workers().Find(worker);
  if (known != nullptr) {
    return;
  }
  ProposeOnce("announce " + worker.worker.text() + " " +
                  std::to_string(worker.incarnation.value()),
              heartbeat.announcement);
}

void WorkerDesk::RecordDraining(const replay::WorkerKey& worker) {
  const replay::WorkerState* known = decisions_.state().workers().Find(worker);
  if (known == nullptr || known->phase != replay::WorkerPhase::kLive) {
    return;
  }
  ProposeOnce("drain " + worker.worker.text(),
              records::WorkerDraining{worker.worker, worker.incarnation});
}

void WorkerDesk::RecordEnd(const AttemptReport& report,
                           const replay::WorkerKey& worker) {
  const replay::TaskState* live =
      decisions_.state().jobs().FindLive(report.task, report.attempt);
  const bool is_here =
      live != nullptr && live->worker == worker && live->token == report.token;
  if (!report.has_ended || !is_here) {
    return;
  }
  ProposeOnce(SubjectOf(report, kEnd),
              records::TaskEnded{report.task, report.attempt, report.ending,
                                 report.checkpoint});
}

void WorkerDesk::RecordLowerGrant(const AttemptReport& report) {
  const auto it = lower_grants_.find(report.task);
  if (it == lower_grants_.end()) {
    return;
  }
  const replay::TaskState* live =
      decisions_.state().jobs().FindLive(report.task, report.attempt);
  const bool is_over = live == nullptr ||
                       it->second.attempt != report.attempt ||
                       live->grant == it->second.grant;
  if (is_over) {
    lower_grants_.erase(it);
  } else if (report.grant == it->second.grant) {
    ProposeOnce(
        SubjectOf(report, kGrant),
        records::GrantChanged{report.task, report.attempt, report.grant});
  }
}

void WorkerDesk::ProposeOnce(std::string subject, records::Record record) {
  if (!on_their_way_.insert(subject).second) {
    return;
  }
  decisions_.Propose(std::move(record),
                     [this, subject = std::move(subject)](const auto&) {
                       on_their_way_.erase(subject);
                     });
}

bool WorkerDesk::IsOver(const replay::WorkerKey& worker) const {
  const replay::WorkerTable& workers = decisions_.state().workers();
  const replay::WorkerState* known = workers.Find(worker);
  if (known != nullptr) {
    return known->phase == replay::WorkerPhase::kLapsed;
  }
  const auto newest = workers.NewestIncarnation(worker.worker);
  return newest && *newest >= worker.incarnation;
}

bool WorkerDesk::IsUrgentOrderNear(const Heartbeat& heartbeat) const {
  switch (listener_.UrgentWorkOn(heartbeat.announcement.worker)) {
    case UrgentWork::kNone:
      return false;
    case UrgentWork::kBeingClaimed:
      return decisions_.is_log_available();
    case UrgentWork::kWaitsForRoom:
      break;
  }
  const auto is_on_its_way = [this](const AttemptReport& report) {
    return on_their_way_.contains(SubjectOf(report, kEnd)) ||
           on_their_way_.contains(SubjectOf(report, kGrant));
  };
  return decisions_.is_log_available() &&
         std::ranges::any_of(heartbeat.attempts, is_on_its_way);
}

milliseconds WorkerDesk::RenewalFor(const replay::WorkerKey& worker) {
  const replay::WorkerState* known = decisions_.state().workers().Find(worker);
  const lease::RenewalTarget target{
      lease::WorkerKey{worker.worker, worker.incarnation},
      known == nullptr || known->phase == replay::WorkerPhase::kLapsed,
      lapse_pending_.contains(worker)};
  if (!renewer_.MayRenew(target, clock_.Now())) {
    return milliseconds(0);
  }
  return settings_.renewal;
}

LowerGrants WorkerDesk::PendingLowerGrants() const {
  LowerGrants grants;
  for (const auto& [task, pending] : lower_grants_) {
    grants.emplace(task, pending.grant);
  }
  return grants;
}

}  // namespace papayadrift::entry
