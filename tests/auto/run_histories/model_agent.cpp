#include "model_agent.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "cluster/topics.h"
#include "jobs/codec.h"
#include "workload.h"

namespace papayadrift::run_histories {
namespace {

// As in runner_agent.cpp.
constexpr milliseconds kRetryDelay(150);
constexpr milliseconds kLeaderLookupDelay(250);
constexpr milliseconds kLeaderLookupTimeout(1500);
constexpr uint32_t kRefusedCallsUntilEnded = 2;
constexpr milliseconds kEndsRecordingDelay(300);

bool IsNewer(const cluster::Announcement& announcement,
             const cluster::Announcement& known) {
  if (announcement.start_unix_ms != known.start_unix_ms) {
    return announcement.start_unix_ms > known.start_unix_ms;
  }
  return announcement.instance != known.instance ||
         announcement.sequence > known.sequence;
}

cluster::RunnerAgentSettings SettingsOf(size_t index) {
  cluster::RunnerAgentSettings settings;
  settings.node = "n" + std::to_string(index);
  settings.address = std::to_string(index);
  settings.service = Routes().services.front().name;
  return settings;
}

}  // namespace

struct ModelAgent::PendingOrders {
  jobs::OrderBatch batch;
  jobs::OrderAnswer answer;
  Network::Respond<jobs::OrderAnswer> respond;
  size_t open = 0;
};

ModelAgent::ModelAgent(size_t index,
                       milliseconds clock_lead,
                       Simulation& simulation,
                       Network& network,
                       keyed_log::KeyedLog& store,
                       Wiring& wiring,
                       ModelRunner& runner)
    : index_(index),
      clock_lead_(clock_lead),
      settings_(SettingsOf(index)),
      simulation_(simulation),
      network_(network),
      store_(store),
      wiring_(wiring),
      runner_(runner),
      start_unix_ms_(simulation.UnixMs()),
      renewal_timer_(simulation),
      report_timer_(simulation) {}

int64_t ModelAgent::NowMs() const {
  return simulation_.NowMs() + clock_lead_.count();
}

jobs::RunnerIncarnation ModelAgent::incarnation() const {
  return {settings_.node, announced_->instance, announced_->start_unix_ms};
}

bool ModelAgent::HasLease() const {
  return runner_clock_ms_ && lease_until_ms_ > NowMs();
}

int64_t ModelAgent::LeaseEndOnRunnerClock() const {
  return *runner_clock_ms_ + (lease_until_ms_ - runner_clock_read_ms_);
}

void ModelAgent::OnAnnouncement(const cluster::Announcement& announcement) {
  if (announced_ && !IsNewer(announcement, *announced_)) {
    return;
  }
  if (!announced_ || has_ended_ ||
      announcement.instance != announced_->instance ||
      announcement.start_unix_ms != announced_->start_unix_ms) {
    OnRunnerStarted(announcement);
    return;
  }
  const bool is_changed = announcement.state != announced_->state ||
                          announcement.capacity != announced_->capacity;
  announced_ = announcement;
  if (is_changed) {
    ReportNow();
  }
}

void ModelAgent::OnRunnerStarted(const cluster::Announcement& announcement) {
  announced_ = announcement;
  has_ended_ = false;
  ++generation_;
  is_renewing_ = false;
  refused_calls_ = 0;
  crash_.reset();
  suspected_crash_.reset();
  answered_at_ms_ = NowMs();
  runner_clock_ms_.reset();
  listed_at_ms_ = 0;
  active_.clear();
  ended_.clear();
  has_all_ends_ = true;
  recorded_ends_ = 0;
  lease_until_ms_ = 0;
  ReportNow();
  ScheduleLeaseRenewal(milliseconds(0));
}

void ModelAgent::OnRunnerEnded(std::optional<jobs::CrashTime> crash) {
  has_ended_ = true;
  crash_ = crash;
  ++generation_;
  announced_->state = jobs::RunnerState::kGone;
  renewal_timer_.Cancel();
  ReportNow();
}

jobs::CrashTime ModelAgent::CrashTimeFor(cluster::RunnerFailure failure,
                                         int64_t sent_at_ms) const {
  const milliseconds longest =
      settings_.renewal_wait + settings_.runner_timeout;
  const bool is_prompt = failure == cluster::RunnerFailure::kUnanswered &&
                         NowMs() - sent_at_ms < longest.count();
  return {is_prompt ? NowMs() : answered_at_ms_, NowMs()};
}

void ModelAgent::ScheduleLeaseRenewal(milliseconds delay) {
  renewal_timer_.Start(delay, [this] { RenewLease(); });
}

void ModelAgent::RenewLease() {
  if (!announced_ || has_ended_ || is_renewing_) {
    return;
  }
  if (term_ == 0) {
    ScheduleLeaseRenewal(kRetryDelay);
    return;
  }
  is_renewing_ = true;
  cluster::LeaseRenewalRequest call;
  call.term = term_;
  if (runner_clock_ms_ && !suspected_crash_) {
    call.recorded_ends = recorded_ends_;
  }
  if (HasLease()) {
    call.lease_until_ms = LeaseEndOnRunnerClock();
    call.wait = settings_.renewal_wait;
  }
  SendLeaseRenewal(call);
}

void ModelAgent::SendLeaseRenewal(const cluster::LeaseRenewalRequest& call) {
  using Result = cluster::LeaseRenewalResult;
  network_.Call<Result>(
      {LinkKind::kHold, index_}, call.wait + settings_.runner_timeout,
      [&runner = runner_, call, instance = announced_->instance](
          const Delivery& delivery, const Network::Respond<Result>& respond) {
        runner.Receive(delivery.held_up, [&runner, call, instance, respond] {
          runner.Hold(instance, call, respond);
        });
      },
      [weak = weak_from_this(), sent_at_ms = NowMs(),
       generation = generation_](const std::optional<Result>& result) {
        const auto self = weak.lock();
        if (self && generation == self->generation_) {
          self->OnLeaseRenewed(
              sent_at_ms, result.value_or(cluster::RunnerFailure::kUnanswered));
        }
      });
}

void ModelAgent::OnLeaseRenewed(int64_t sent_at_ms,
                                const cluster::LeaseRenewalResult& result) {
  is_renewing_ = false;
  if (const auto* failure = std::get_if<cluster::RunnerFailure>(&result)) {
    OnRenewalFailed(*failure, sent_at_ms);
    return;
  }
  refused_calls_ = 0;
  suspected_crash_.reset();
  answered_at_ms_ = NowMs();
  const auto& renewal = std::get<cluster::LeaseRenewalResponse>(result);
  if (renewal.start_unix_ms != 0 &&
      renewal.start_unix_ms != announced_->start_unix_ms) {
    runner_clock_ms_.reset();
    ScheduleLeaseRenewal(kRetryDelay);
    return;
  }
  TakeLists(renewal, sent_at_ms);
}

void ModelAgent::OnRenewalFailed(cluster::RunnerFailure failure,
                                 int64_t sent_at_ms) {
  if (failure == cluster::RunnerFailure::kSuperseded) {
    suspected_crash_.reset();
  } else if (!suspected_crash_) {
    suspected_crash_ = CrashTimeFor(failure, sent_at_ms);
  }
  refused_calls_ =
      failure == cluster::RunnerFailure::kNotListening ? refused_calls_ + 1 : 0;
  if (refused_calls_ >= kRefusedCallsUntilEnded) {
    const bool is_leaving = announced_->state == jobs::RunnerState::kDraining;
    OnRunnerEnded(is_leaving ? std::nullopt : suspected_crash_);
    return;
  }
  if (failure == cluster::RunnerFailure::kSuperseded) {
    LookUpLeader();
  }
  ScheduleLeaseRenewal(kRetryDelay);
}

void ModelAgent::TakeLists(const cluster::LeaseRenewalResponse& renewal,
                           int64_t sent_at_ms) {
  runner_clock_ms_ = renewal.clock_ms;
  runner_clock_read_ms_ = NowMs();
  const bool is_first = listed_at_ms_ == 0;
  listed_at_ms_ = sent_at_ms;
  active_ = renewal.active;
  ended_ = renewal.ended;
  has_all_ends_ = renewal.has_all_ends;
  const bool has_unrecorded_ends =
      std::ranges::any_of(ended_, [this](const jobs::EndedRun& ended) {
        return ended.number > recorded_ends_;
      });
  if (has_unrecorded_ends || is_first) {
    ReportNow();
  }
  if (has_unrecorded_ends) {
    ScheduleLeaseRenewal(kEndsRecordingDelay);
  } else {
    ScheduleLeaseRenewal(HasLease() ? milliseconds(0) : kRetryDelay);
  }
}

void ModelAgent::ScheduleReport(milliseconds delay) {
  const Instant due = simulation_.Now() + delay;
  if (report_due_ && *report_due_ <= due) {
    return;
  }
  report_due_ = due;
  report_timer_.Start(delay, [this] {
    report_due_.reset();
    Report();
  });
}

void ModelAgent::ReportNow() {
  if (is_reporting_) {
    is_report_needed_ = true;
    return;
  }
  Report();
}

jobs::RunnerReport ModelAgent::MakeReport() const {
  jobs::RunnerReport report;
  report.incarnation = incarnation();
  report.agent_address = settings_.address;
  report.service = announced_->service;
  report.state = announced_->state;
  report.capacity = announced_->capacity;
  report.sent_at_ms = NowMs();
  report.agent_start_unix_ms = start_unix_ms_;
  if (!has_ended_) {
    report.listed_at_ms = listed_at_ms_;
    report.active = active_;
    report.ended = ended_;
    report.has_all_ends = has_all_ends_;
  } else {
    report.crash = crash_;
  }
  return report;
}

void ModelAgent::Report() {
  if (!announced_ || is_reporting_ || leader_.address.empty()) {
    return;
  }
  is_reporting_ = true;
  is_report_needed_ = false;
  network_.Call<ReportReply>(
      {LinkKind::kReport, index_}, settings_.report_timeout,
      [&wiring = wiring_, address = leader_.address, report = MakeReport()](
          const Delivery&, const Network::Respond<ReportReply>& respond) {
        wiring.OnReport(address, report, respond);
      },
      [weak = weak_from_this(), generation = generation_,
       number = ++reports_](const std::optional<ReportReply>& reply) {
        const auto self = weak.lock();
        if (self && number == self->reports_) {
          self->OnReported(generation, reply);
        }
      });
}

void ModelAgent::OnReported(uint64_t generation,
                            const std::optional<ReportReply>& reply) {
  is_reporting_ = false;
  if (!reply || !reply->is_accepted || reply->answer.term < term_) {
    ScheduleLeaderLookup();
    return;
  }
  const jobs::ReportAnswer& answer = reply->answer;
  term_ = answer.term;
  if (generation == generation_) {
    lease_until_ms_ = std::max(lease_until_ms_, answer.lease_until_ms);
    if (answer.recorded_ends > recorded_ends_) {
      recorded_ends_ = answer.recorded_ends;
      ScheduleLeaseRenewal(milliseconds(0));
    }
  }
  if (is_report_needed_) {
    Report();
  } else {
    ScheduleReport(settings_.report_period);
  }
}

bool ModelAgent::UpdateLeader(const jobs::LeaderRecord& leader) {
  if (leader.term <= leader_.term) {
    return false;
  }
  leader_ = leader;
  ++reports_;
  is_reporting_ = false;
  return true;
}

void ModelAgent::OnLeader(const jobs::LeaderRecord& leader) {
  if (UpdateLeader(leader)) {
    ReportNow();
  }
}

void ModelAgent::ScheduleLeaderLookup() {
  simulation_.After(kLeaderLookupDelay,
                    [weak = weak_from_this(), term = leader_.term] {
                      const auto self = weak.lock();
                      if (self && self->leader_.term == term) {
                        self->LookUpLeader();
                      }
                    });
}

void ModelAgent::LookUpLeader() {
  if (is_looking_up_leader_) {
    return;
  }
  is_looking_up_leader_ = true;
  store_.ReadNewest(
      cluster::kLeaderTopic, {}, simulation_.Now() + kLeaderLookupTimeout,
      [weak = weak_from_this()](const keyed_log::ReadResult& result) {
        if (const auto self = weak.lock()) {
          self->OnLeaderRead(result);
        }
      });
}

void ModelAgent::OnLeaderRead(const keyed_log::ReadResult& result) {
  is_looking_up_leader_ = false;
  bool is_new = false;
  if (const auto* read = std::get_if<keyed_log::Records>(&result)) {
    for (const keyed_log::StoredRecord& stored : read->records) {
      const auto leader = jobs::Decode<jobs::LeaderRecord>(stored.record.value);
      if (stored.record.key == cluster::kLeaderKey && leader) {
        is_new = UpdateLeader(*leader);
      }
    }
  }
  if (leader_.address.empty()) {
    ScheduleLeaderLookup();
    return;
  }
  if (!is_reporting_) {
    ScheduleReport(is_new ? milliseconds(0) : kLeaderLookupDelay);
  }
}

void ModelAgent::OnOrders(const jobs::OrderBatch& batch,
                          const Network::Respond<jobs::OrderAnswer>& respond) {
  const auto pending = std::make_shared<PendingOrders>();
  pending->batch = batch;
  pending->answer.results.resize(batch.orders.size());
  pending->answer.agent_start_unix_ms = start_unix_ms_;
  pending->respond = respond;
  pending->open = batch.orders.size();
  term_ = std::max(term_, batch.term);
  for (size_t i = 0; i < batch.orders.size(); ++i) {
    if (const auto known = LocalVerdict(batch, batch.orders[i])) {
      OnOrderDone(pending, i, *known);
    } else {
      SendOrder(pending, i);
    }
  }
}

std::optional<jobs::OrderVerdict> ModelAgent::LocalVerdict(
    const jobs::OrderBatch& batch,
    const jobs::Order& order) const {
  const bool is_start = std::holds_alternative<jobs::StartOrder>(order);
  const bool is_stop = std::holds_alternative<jobs::StopOrder>(order);
  if (batch.term < term_) {
    return jobs::OrderVerdict::kSuperseded;
  }
  if (!announced_ || has_ended_ || batch.incarnation != incarnation() ||
      (is_start && announced_->state != jobs::RunnerState::kReady)) {
    return jobs::OrderVerdict::kRefused;
  }
  if (!is_stop && batch.valid_until_ms != 0 && NowMs() > batch.valid_until_ms) {
    return jobs::OrderVerdict::kExpired;
  }
  if (is_start && !HasLease()) {
    return jobs::OrderVerdict::kLeaseExpired;
  }
  return is_start ? ViewVerdict(batch.jobs_viewed_at_ms) : std::nullopt;
}

std::optional<jobs::OrderVerdict> ModelAgent::ViewVerdict(
    int64_t viewed_at_ms) const {
  const int64_t now_ms = NowMs();
  if (viewed_at_ms == 0 || viewed_at_ms > now_ms) {
    return jobs::OrderVerdict::kBadView;
  }
  return now_ms - viewed_at_ms > settings_.view_limit.count()
             ? std::optional(jobs::OrderVerdict::kOldView)
             : std::nullopt;
}

void ModelAgent::SendOrder(const std::shared_ptr<PendingOrders>& pending,
                           size_t i) {
  using jobs::OrderVerdict;
  network_.Call<OrderVerdict>(
      {LinkKind::kOrder, index_}, settings_.order_timeout,
      [&runner = runner_, instance = announced_->instance,
       order = pending->batch.orders[i], term = pending->batch.term,
       until_ms = runner_clock_ms_ ? LeaseEndOnRunnerClock() : 0](
          const Delivery& delivery,
          const Network::Respond<OrderVerdict>& respond) {
        runner.Receive(
            delivery.held_up, [&runner, instance, order, term, until_ms,
                               respond, sent_at = delivery.sent_at] {
              respond(runner.Execute(instance, order, term, until_ms, sent_at));
            });
      },
      [weak = weak_from_this(), pending, i,
       generation = generation_](const std::optional<OrderVerdict>& verdict) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        const OrderVerdict known = verdict.value_or(OrderVerdict::kUnanswered);
        if (generation == self->generation_ &&
            known != OrderVerdict::kUnanswered &&
            known != OrderVerdict::kRefused) {
          self->answered_at_ms_ = self->NowMs();
        }
        self->OnOrderDone(pending, i, known);
      });
}

void ModelAgent::OnOrderDone(const std::shared_ptr<PendingOrders>& pending,
                             size_t i,
                             jobs::OrderVerdict verdict) {
  pending->answer.results[i] = {verdict, NowMs()};
  if (--pending->open > 0) {
    return;
  }
  pending->respond(pending->answer);
  if (announced_ && !has_ended_ && !HasLease()) {
    ReportNow();
  }
}

}  // namespace papayadrift::run_histories
