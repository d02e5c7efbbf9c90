#include "cluster/runner_agent.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cluster/report_queue.h"
#include "cluster/topics.h"
#include "jobs/codec.h"

namespace papayadrift::cluster {
namespace {

using logging::Event;

constexpr milliseconds kRetryDelay(150);
// Delay before the leader is looked up again; reads of the store are rate
// limited and billed.
constexpr milliseconds kLeaderLookupDelay(250);
constexpr milliseconds kLeaderLookupTimeout(1500);
// Consecutive refused connections after which the runner is considered ended. A
// single one may be due to a restart of the listener.
constexpr uint32_t kRefusedCallsUntilEnded = 2;
// Concurrent calls to the runner from one batch, so that an unanswered one does
// not block the others. The runner accepts 64 connections.
constexpr size_t kMaxConcurrentCalls = 8;
// Maximum time for which ends that are not recorded yet delay the next listing
// of runs.
constexpr milliseconds kEndsRecordingDelay(300);
// Longest time by which the clock of the VM may be set back after its runner
// has started, with room to spare.
constexpr milliseconds kMaxClockStep(60'000);
// Announcements by which the sequence number of one process may advance at
// once: two weeks of them.
constexpr uint64_t kMaxSequenceStep = 1'000'000;

// Whether `announcement` is newer than `known`.
bool IsNewer(const Announcement& announcement, const Announcement& known) {
  if (announcement.start_unix_ms != known.start_unix_ms) {
    return announcement.start_unix_ms > known.start_unix_ms;
  }
  return announcement.instance != known.instance ||
         announcement.sequence > known.sequence;
}

}  // namespace

// A batch of orders that is being sent to the runner.
struct RunnerAgent::PendingOrderBatch {
  jobs::OrderBatch batch;
  jobs::OrderAnswer answer;
  async_http::Respond respond;
  Instant deadline;  // No order is sent to the runner after it.
  size_t next = 0;   // Index of the next order to send.
  size_t in_flight = 0;
  bool has_refused_view = false;  // Logged once for all of its starts.
};

RunnerAgent::RunnerAgent(const RunnerAgentSettings& settings,
                         const ProcessContext& context,
                         RunnerApi& runner)
    : settings_(settings),
      context_(context),
      start_unix_ms_(context.clock.WallNow().time_since_epoch().count()),
      runner_(runner),
      report_limit_(settings.report_timeout),
      renewal_timer_(context.loop),
      report_timer_(context.loop) {}

void RunnerAgent::Start() {
  LookUpLeader();
}

int64_t RunnerAgent::NowMs() const {
  return std::chrono::floor<milliseconds>(context_.clock.Now())
      .time_since_epoch()
      .count();
}

jobs::RunnerIncarnation RunnerAgent::incarnation() const {
  return {settings_.node, announced_->instance, announced_->start_unix_ms};
}

bool RunnerAgent::HasLease() const {
  return runner_clock_ms_ && lease_until_ms_ > NowMs();
}

int64_t RunnerAgent::LeaseEndOnRunnerClock() const {
  return *runner_clock_ms_ + (lease_until_ms_ - runner_clock_read_ms_);
}

bool RunnerAgent::IsPlausible(const Announcement& announcement) const {
  const int64_t latest_start =
      (context_.clock.WallNow() + kMaxClockStep).time_since_epoch().count();
  const bool is_known = announced_ &&
                        announcement.instance == announced_->instance &&
                        announcement.start_unix_ms == announced_->start_unix_ms;
  return announcement.start_unix_ms <= latest_start &&
         (!is_known ||
          announcement.sequence <= announced_->sequence + kMaxSequenceStep);
}

void RunnerAgent::OnAnnouncement(const Announcement& announcement) {
  if (announcement.service != settings_.service) {
    return;
  }
  if (announced_ && !IsNewer(announcement, *announced_)) {
    return;
  }
  if (!IsPlausible(announcement)) {
    context_.logger.Log(
        Event::kMessageUnreadable,
        {{"from", "runner"},
         {"instance", announcement.instance},
         {"start_unix_ms", announcement.start_unix_ms},
         {"sequence", static_cast<int64_t>(announcement.sequence)}});
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

void RunnerAgent::OnRunnerStarted(const Announcement& announcement) {
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
  context_.logger.Log(Event::kRunnerChanged,
                      {{"change", "announced"},
                       {"subject", ToText(incarnation())},
                       {"runner", announcement.address}});
  ReportNow();
  ScheduleLeaseRenewal(milliseconds(0));
}

void RunnerAgent::OnRunnerLeaving(const std::string& instance) {
  if (announced_ && !has_ended_ && announced_->instance == instance) {
    OnRunnerEnded("The runner announced that it is leaving.", std::nullopt);
  }
}

void RunnerAgent::OnRunnerEnded(std::string_view reason,
                                std::optional<jobs::CrashTime> crash) {
  has_ended_ = true;
  crash_ = crash;
  is_end_recorded_ = false;
  ++generation_;
  announced_->state = jobs::RunnerState::kGone;
  context_.logger.Log(Event::kRunnerChanged,
                      {{"change", "ended"},
                       {"subject", ToText(incarnation())},
                       {"reason", std::string(reason)}});
  boost::system::error_code ignored;
  renewal_timer_.cancel(ignored);
  ReportNow();
}

jobs::CrashTime RunnerAgent::CrashTimeFor(RunnerFailure failure,
                                          int64_t sent_at_ms) const {
  // A call in progress breaks at the moment of the crash. A call that took
  // longer than its timeout was held up on this VM.
  const milliseconds longest =
      settings_.renewal_wait + settings_.runner_timeout;
  const bool is_prompt = failure == RunnerFailure::kUnanswered &&
                         NowMs() - sent_at_ms < longest.count();
  return {is_prompt ? NowMs() : answered_at_ms_, NowMs()};
}

void RunnerAgent::Stop(Instant deadline, std::function<void()> done) {
  if (!has_ended_ || is_end_recorded_) {
    done();
    return;
  }
  on_stopped_ = std::move(done);
  auto timer = std::make_shared<boost::asio::steady_timer>(
      context_.loop,
      std::chrono::ceil<milliseconds>(deadline - context_.clock.Now()));
  timer->async_wait([this, timer](boost::system::error_code) {
    if (on_stopped_) {
      std::exchange(on_stopped_, nullptr)();
    }
  });
}

void RunnerAgent::ScheduleLeaseRenewal(milliseconds delay) {
  renewal_timer_.expires_after(delay);
  renewal_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      RenewLease();
    }
  });
}

void RunnerAgent::RenewLease() {
  if (!announced_ || has_ended_ || is_renewing_) {
    return;
  }
  if (term_ == 0) {
    // The runner would refuse a call without a term.
    ScheduleLeaseRenewal(kRetryDelay);
    return;
  }
  is_renewing_ = true;
  LeaseRenewalRequest call;
  call.term = term_;
  if (runner_clock_ms_ && !suspected_crash_) {
    // Each process numbers its ends anew. One that may not be the announced one
    // must not take ends for recorded that are not.
    call.recorded_ends = recorded_ends_;
  }
  if (HasLease()) {
    call.lease_until_ms = LeaseEndOnRunnerClock();
    call.wait = settings_.renewal_wait;
  }
  const int64_t sent_at_ms = NowMs();
  runner_.RenewLease(
      announced_->address, announced_->instance, call,
      context_.clock.Now() + call.wait + settings_.runner_timeout,
      [this, sent_at_ms,
       generation = generation_](const LeaseRenewalResult& result) {
        OnLeaseRenewed(generation, sent_at_ms, result);
      });
}

void RunnerAgent::OnLeaseRenewed(uint64_t generation,
                                 int64_t sent_at_ms,
                                 const LeaseRenewalResult& result) {
  if (generation != generation_) {
    return;
  }
  is_renewing_ = false;
  if (const auto* failure = std::get_if<RunnerFailure>(&result)) {
    if (*failure == RunnerFailure::kSuperseded) {
      suspected_crash_.reset();
    } else if (!suspected_crash_) {
      suspected_crash_ = CrashTimeFor(*failure, sent_at_ms);
    }
    refused_calls_ =
        *failure == RunnerFailure::kNotListening ? refused_calls_ + 1 : 0;
    if (refused_calls_ >= kRefusedCallsUntilEnded) {
      const bool is_leaving = announced_->state == jobs::RunnerState::kDraining;
      OnRunnerEnded("Connections to the runner's address are refused.",
                    is_leaving ? std::nullopt : suspected_crash_);
      return;
    }
    if (*failure == RunnerFailure::kSuperseded) {
      LookUpLeader();
    }
    ScheduleLeaseRenewal(kRetryDelay);
    return;
  }
  refused_calls_ = 0;
  suspected_crash_.reset();
  answered_at_ms_ = NowMs();
  const auto& renewal = std::get<LeaseRenewalResponse>(result);
  if (renewal.start_unix_ms != 0 &&
      renewal.start_unix_ms != announced_->start_unix_ms) {
    // Another process of the runner has the same name; its announcement is
    // still to come. It must not be granted a lease on the clock of the earlier
    // one, nor start what was meant for that.
    runner_clock_ms_.reset();
    ScheduleLeaseRenewal(kRetryDelay);
    return;
  }
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

void RunnerAgent::ScheduleReport(milliseconds delay) {
  const Instant due = context_.clock.Now() + delay;
  if (report_due_ && *report_due_ <= due) {
    return;
  }
  report_due_ = due;
  report_timer_.expires_after(delay);
  report_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      report_due_.reset();
      Report();
    }
  });
}

void RunnerAgent::ReportNow() {
  if (is_reporting_) {
    is_report_needed_ = true;
    return;
  }
  Report();
}

void RunnerAgent::Report() {
  if (!announced_ || is_reporting_ || leader_.address.empty()) {
    return;
  }
  is_reporting_ = true;
  is_report_needed_ = false;
  jobs::RunnerReport report;
  report.incarnation = incarnation();
  report.agent_address = settings_.address;
  report.service = announced_->service;
  report.zone = announced_->zone;
  report.vm = announced_->vm;
  report.state = announced_->state;
  report.capacity = announced_->capacity;
  report.labels = announced_->labels;
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
  http::Request request;
  request.method = "POST";
  request.path = kReportPath;
  request.headers = {{kReporterHeader, ReporterOf(report)}};
  request.body = jobs::Encode(report);
  const Instant sent_at = context_.clock.Now();
  context_.client.Send(leader_.address, request, sent_at + report_limit_,
                       [this, generation = generation_, sent_at,
                        number = ++reports_](const http::ClientResult& result) {
                         if (number == reports_) {
                           UpdateReportLimit(sent_at, result);
                           OnReported(generation, result);
                         }
                       });
}

void RunnerAgent::UpdateReportLimit(Instant sent_at,
                                    const http::ClientResult& result) {
  const auto* failure = std::get_if<http::ClientFailure>(&result);
  milliseconds limit(0);
  if (failure == nullptr) {
    limit = 2 * std::chrono::ceil<milliseconds>(context_.clock.Now() - sent_at);
  } else if (*failure == http::ClientFailure::kTimedOut) {
    limit = 2 * report_limit_;
  }
  report_limit_ = std::clamp(limit, settings_.report_timeout,
                             settings_.longest_report_timeout);
}

void RunnerAgent::OnReported(uint64_t generation,
                             const http::ClientResult& result) {
  is_reporting_ = false;
  const auto* response = std::get_if<http::Response>(&result);
  std::optional<jobs::ReportAnswer> answer;
  if (response != nullptr && response->status == 200) {
    answer = jobs::Decode<jobs::ReportAnswer>(response->body);
  }
  if (!answer || answer->term < term_) {
    if (!std::exchange(is_report_failing_, true)) {
      context_.logger.Log(
          Event::kReportUnanswered,
          {{"term", static_cast<int64_t>(leader_.term)},
           {"status", response == nullptr
                          ? int64_t{0}
                          : static_cast<int64_t>(response->status)},
           {"has_lease", HasLease()}});
    }
    ScheduleLeaderLookup();
    return;
  }
  is_report_failing_ = false;
  term_ = answer->term;
  if (generation == generation_) {
    is_end_recorded_ = has_ended_;
    if (has_ended_ && on_stopped_) {
      std::exchange(on_stopped_, nullptr)();
    }
    lease_until_ms_ = std::max(lease_until_ms_, answer->lease_until_ms);
    if (answer->recorded_ends > recorded_ends_) {
      recorded_ends_ = answer->recorded_ends;
      ScheduleLeaseRenewal(milliseconds(0));
    }
  }
  if (is_report_needed_) {
    Report();
  } else {
    ScheduleReport(settings_.report_period);
  }
}

bool RunnerAgent::UpdateLeader(const jobs::LeaderRecord& leader,
                               const char* source) {
  if (leader.term <= leader_.term) {
    return false;
  }
  leader_ = leader;
  // The former leader's answer is not waited for.
  ++reports_;
  is_reporting_ = false;
  report_limit_ = settings_.report_timeout;
  context_.logger.Log(Event::kLeaderFound,
                      {{"term", static_cast<int64_t>(leader_.term)},
                       {"address", leader_.address},
                       {"source", source}});
  return true;
}

void RunnerAgent::HandleLeader(const http::Request& request,
                               const async_http::Respond& respond) {
  const auto leader = jobs::Decode<jobs::LeaderRecord>(request.body);
  if (!leader) {
    respond({400, {}, {}});
    return;
  }
  respond({200, {}, {}});
  if (UpdateLeader(*leader, "leader")) {
    ReportNow();
  }
}

void RunnerAgent::ScheduleLeaderLookup() {
  auto timer = std::make_shared<boost::asio::steady_timer>(context_.loop,
                                                           kLeaderLookupDelay);
  timer->async_wait(
      [this, timer, term = leader_.term](boost::system::error_code) {
        if (leader_.term == term) {
          LookUpLeader();
        }
      });
}

void RunnerAgent::LookUpLeader() {
  if (is_looking_up_leader_) {
    return;
  }
  is_looking_up_leader_ = true;
  context_.log.ReadNewest(
      kLeaderTopic, {}, context_.clock.Now() + kLeaderLookupTimeout,
      [this](const keyed_log::ReadResult& result) {
        is_looking_up_leader_ = false;
        bool is_new = false;
        if (const auto* read = std::get_if<keyed_log::Records>(&result)) {
          for (const keyed_log::StoredRecord& stored : read->records) {
            if (stored.record.key != kLeaderKey) {
              continue;
            }
            const auto leader =
                jobs::Decode<jobs::LeaderRecord>(stored.record.value);
            if (leader) {
              is_new = UpdateLeader(*leader, "store");
            }
          }
        }
        if (leader_.address.empty()) {
          ScheduleLeaderLookup();
          return;
        }
        // A leader that was known already has just been tried.
        if (!is_reporting_) {
          ScheduleReport(is_new ? milliseconds(0) : kLeaderLookupDelay);
        }
      });
}

void RunnerAgent::HandleOrders(const http::Request& request,
                               const async_http::Respond& respond) {
  auto batch = jobs::Decode<jobs::OrderBatch>(request.body);
  if (!batch) {
    respond({400, {}, {}});
    return;
  }
  auto call = std::make_shared<PendingOrderBatch>();
  call->batch = std::move(*batch);
  call->respond = respond;
  call->deadline = context_.clock.Now() + settings_.batch_limit;
  call->answer.results.resize(call->batch.orders.size());
  call->answer.agent_start_unix_ms = start_unix_ms_;
  if (call->batch.term > term_) {
    term_ = call->batch.term;
  }
  SendNextOrders(call);
}

std::optional<jobs::OrderVerdict> RunnerAgent::LocalVerdict(
    const PendingOrderBatch& call,
    const jobs::Order& order) const {
  const bool is_start = std::holds_alternative<jobs::StartOrder>(order);
  if (call.batch.term < term_) {
    return jobs::OrderVerdict::kSuperseded;
  }
  if (!announced_ || has_ended_ || call.batch.incarnation != incarnation() ||
      (is_start && announced_->state != jobs::RunnerState::kReady)) {
    return jobs::OrderVerdict::kRefused;
  }
  const bool is_stop = std::holds_alternative<jobs::StopOrder>(order);
  const bool is_void = !is_stop && call.batch.valid_until_ms != 0 &&
                       NowMs() > call.batch.valid_until_ms;
  if (is_void || context_.clock.Now() > call.deadline) {
    return jobs::OrderVerdict::kExpired;
  }
  if (is_start && !HasLease()) {
    return jobs::OrderVerdict::kLeaseExpired;
  }
  return is_start ? ViewVerdict(call.batch.jobs_viewed_at_ms) : std::nullopt;
}

std::optional<jobs::OrderVerdict> RunnerAgent::ViewVerdict(
    int64_t viewed_at_ms) const {
  const int64_t now_ms = NowMs();
  if (viewed_at_ms == 0 || viewed_at_ms > now_ms) {
    return jobs::OrderVerdict::kBadView;
  }
  return now_ms - viewed_at_ms > settings_.view_limit.count()
             ? std::optional(jobs::OrderVerdict::kOldView)
             : std::nullopt;
}

void RunnerAgent::LogRefusedView(const PendingOrderBatch& call,
                                 jobs::OrderVerdict verdict) const {
  context_.logger.Log(
      Event::kOrderRefused,
      {{"term", static_cast<int64_t>(call.batch.term)},
       {"orders", static_cast<int64_t>(call.batch.orders.size())},
       {"viewed_at_ms", call.batch.jobs_viewed_at_ms},
       {"agent_ms", NowMs()},
       {"reason", verdict == jobs::OrderVerdict::kOldView
                      ? std::string("The leader's view of the jobs is too old.")
                      : std::string("The time of the leader's view of the jobs "
                                    "is not valid.")}});
}

void RunnerAgent::SendNextOrders(
    const std::shared_ptr<PendingOrderBatch>& call) {
  const std::vector<jobs::Order>& orders = call->batch.orders;
  while (call->next < orders.size() && call->in_flight < kMaxConcurrentCalls) {
    const size_t i = call->next++;
    ++call->in_flight;
    const auto finish = [this, call, i](jobs::OrderVerdict verdict) {
      call->answer.results[i] = {verdict, NowMs()};
      --call->in_flight;
    };
    if (const auto known = LocalVerdict(*call, orders[i])) {
      const bool is_of_view = *known == jobs::OrderVerdict::kOldView ||
                              *known == jobs::OrderVerdict::kBadView;
      if (is_of_view && !std::exchange(call->has_refused_view, true)) {
        LogRefusedView(*call, *known);
      }
      finish(*known);
      continue;
    }
    runner_.SendOrder(announced_->address, announced_->instance, orders[i],
                      call->batch.term,
                      runner_clock_ms_ ? LeaseEndOnRunnerClock() : 0,
                      context_.clock.Now() + settings_.order_timeout,
                      [this, call, finish,
                       generation = generation_](jobs::OrderVerdict verdict) {
                        if (generation == generation_ &&
                            verdict != jobs::OrderVerdict::kUnanswered &&
                            verdict != jobs::OrderVerdict::kRefused) {
                          answered_at_ms_ = NowMs();
                        }
                        finish(verdict);
                        SendNextOrders(call);
                      });
  }
  if (call->next == orders.size() && call->in_flight == 0) {
    call->respond({200, {}, jobs::Encode(call->answer)});
    if (announced_ && !has_ended_ && !HasLease()) {
      // The leader may have been waiting for this to grant a lease.
      ReportNow();
    }
  }
}

}  // namespace papayadrift::cluster
