#include "cluster/runner_agent.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cluster/topics.h"
#include "jobs/codec.h"

namespace papayadrift::cluster {
namespace {

using logging::Event;

// Delay before the leader is looked up again; reads of the store are rate
// limited and billed.
constexpr milliseconds kLeaderLookupDelay(250);
constexpr milliseconds kLeaderLookupTimeout(1500);
// Pages that one lookup reads at most; the next one goes on behind them.
constexpr size_t kMaxLookupPages = 16;
// Concurrent calls to the runner from one batch, so that an unanswered one does
// not block the others. The runner accepts 64 connections.
constexpr size_t kMaxConcurrentCalls = 8;

// Returns the status that a log line of a report has; 0: there was no answer.
int64_t StatusOf(const ReportResult& result) {
  constexpr int64_t kAnswered = 200;
  if (const auto* refused = std::get_if<ReportRefused>(&result)) {
    return refused->status;
  }
  return std::holds_alternative<CallFailure>(result) ? 0 : kAnswered;
}

}  // namespace

// A batch of orders that is being sent to the runner.
struct RunnerAgent::PendingOrderBatch {
  jobs::OrderBatch batch;
  jobs::OrderAnswer answer;
  RespondToOrders respond;
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
      runner_(runner),
      session_(settings, context.clock.WallNow().time_since_epoch().count()),
      report_limit_(settings.report_timeout),
      renewal_timer_(context.loop.MakeTimer()),
      report_timer_(context.loop.MakeTimer()) {}

void RunnerAgent::Start() {
  LookUpLeader();
}

int64_t RunnerAgent::NowMs() const {
  return std::chrono::floor<milliseconds>(context_.clock.Now())
      .time_since_epoch()
      .count();
}

void RunnerAgent::OnAnnouncement(const Announcement& announcement) {
  switch (session_.OnAnnouncement(announcement, context_.clock.Now(),
                                  context_.clock.WallNow())) {
    case AnnouncementVerdict::kNotNewer:
    case AnnouncementVerdict::kUnchanged:
      return;
    case AnnouncementVerdict::kImplausible:
      context_.logger.Log(
          Event::kMessageUnreadable,
          {{"from", "runner"},
           {"instance", announcement.instance},
           {"start_unix_ms", announcement.start_unix_ms},
           {"sequence", static_cast<int64_t>(announcement.sequence)}});
      return;
    case AnnouncementVerdict::kStarted:
      OnRunnerStarted();
      return;
    case AnnouncementVerdict::kChanged:
      ReportNow();
      return;
  }
}

void RunnerAgent::OnRunnerStarted() {
  context_.logger.Log(Event::kRunnerChanged,
                      {{"change", "announced"},
                       {"subject", ToText(session_.incarnation())},
                       {"runner", session_.announced().address}});
  ReportNow();
  ScheduleLeaseRenewal(milliseconds(0));
}

void RunnerAgent::OnRunnerLeaving(const std::string& instance) {
  if (session_.OnRunnerLeaving(instance, context_.clock.Now())) {
    OnRunnerEnded("The runner announced that it is leaving.");
  }
}

void RunnerAgent::OnRunnerEnded(std::string_view reason) {
  context_.logger.Log(Event::kRunnerChanged,
                      {{"change", "ended"},
                       {"subject", ToText(session_.incarnation())},
                       {"reason", std::string(reason)}});
  renewal_timer_->Cancel();
  ReportNow();
}

void RunnerAgent::Stop(Instant deadline, std::function<void()> done) {
  if (!session_.IsEndUnrecorded()) {
    done();
    return;
  }
  on_stopped_ = std::move(done);
  context_.loop.RunAfter(deadline - context_.clock.Now(), [this] {
    if (on_stopped_) {
      std::exchange(on_stopped_, nullptr)();
    }
  });
}

void RunnerAgent::ScheduleLeaseRenewal(milliseconds delay) {
  renewal_timer_->Start(delay, [this] { RenewLease(); });
}

void RunnerAgent::RenewLease() {
  if (!session_.CanRenewLease()) {
    return;
  }
  if (!session_.CanCallRunner()) {
    ScheduleLeaseRenewal(RunnerSession::kRetryDelay);
    return;
  }
  const Instant now = context_.clock.Now();
  const FencingToken last = session_.fencing_token();
  const RenewalCall call = session_.StartRenewal(now);
  LogFencing(last);
  runner_.RenewLease(session_.announced().address,
                     session_.announced().instance, call.request,
                     now + call.request.wait + settings_.runner_timeout,
                     [this, call](LeaseRenewalResult result) {
                       OnLeaseRenewed(call, std::move(result));
                     });
}

void RunnerAgent::LogFencing(const FencingToken& last) const {
  const FencingToken& token = session_.fencing_token();
  if (token == last) {
    return;
  }
  context_.logger.Log(
      Event::kRunnerChanged,
      {{"change", "fenced"},
       {"subject", ToText(session_.incarnation())},
       {"term", static_cast<int64_t>(token.term)},
       {"call_epoch", static_cast<int64_t>(token.call_epoch)},
       {"reason",
        "The process that answers next may be a later one. Calls that were "
        "sent before are void once it has got this one."}});
}

void RunnerAgent::OnLeaseRenewed(const RenewalCall& call,
                                 LeaseRenewalResult result) {
  const RenewalOutcome outcome =
      session_.OnLeaseRenewed(call, std::move(result), context_.clock.Now());
  if (outcome.has_runner_ended) {
    OnRunnerEnded(
        "The runner announced that it is leaving, and connections to its "
        "address are refused.");
    return;
  }
  if (outcome.is_reachable) {
    context_.logger.Log(
        Event::kRunnerChanged,
        {{"change", *outcome.is_reachable ? "reachable" : "unreachable"},
         {"subject", ToText(session_.incarnation())},
         {"reason", *outcome.is_reachable
                        ? "The runner answers again."
                        : "Connections to the runner's address are refused."}});
  }
  if (outcome.is_superseded) {
    LookUpLeader();
  }
  if (outcome.is_report_due) {
    ReportNow();
  }
  if (outcome.next_renewal) {
    ScheduleLeaseRenewal(*outcome.next_renewal);
  }
}

void RunnerAgent::ScheduleReport(milliseconds delay) {
  const Instant due = context_.clock.Now() + delay;
  if (report_due_ && *report_due_ <= due) {
    return;
  }
  report_due_ = due;
  report_timer_->Start(delay, [this] {
    report_due_.reset();
    Report();
  });
}

void RunnerAgent::ReportNow() {
  if (session_.is_reporting()) {
    is_report_needed_ = true;
    return;
  }
  Report();
}

void RunnerAgent::Report() {
  if (!session_.CanReport()) {
    return;
  }
  is_report_needed_ = false;
  const Instant sent_at = context_.clock.Now();
  const ReportCall call = session_.StartReport(sent_at);
  context_.peers.SendReport(
      session_.leader().address, call.report, sent_at + report_limit_,
      [this, ticket = call.ticket, sent_at](const ReportResult& result) {
        if (session_.IsAwaited(ticket)) {
          UpdateReportLimit(sent_at, result);
          OnReported(ticket, result);
        }
      });
}

void RunnerAgent::UpdateReportLimit(Instant sent_at,
                                    const ReportResult& result) {
  const auto* failure = std::get_if<CallFailure>(&result);
  milliseconds limit(0);
  if (failure == nullptr) {
    limit = 2 * std::chrono::ceil<milliseconds>(context_.clock.Now() - sent_at);
  } else if (*failure == CallFailure::kTimedOut) {
    limit = 2 * report_limit_;
  }
  report_limit_ = std::clamp(limit, settings_.report_timeout,
                             settings_.longest_report_timeout);
}

void RunnerAgent::OnReported(const ReportTicket& ticket,
                             const ReportResult& result) {
  const auto* received = std::get_if<jobs::ReportAnswer>(&result);
  const auto answer =
      received == nullptr ? std::nullopt : std::optional(*received);
  const ReportOutcome outcome = session_.OnReported(ticket, answer);
  if (!outcome.is_accepted) {
    if (!std::exchange(is_report_failing_, true)) {
      context_.logger.Log(
          Event::kReportUnanswered,
          {{"term", static_cast<int64_t>(session_.leader().term)},
           {"status", StatusOf(result)},
           {"has_lease", session_.HasLease(context_.clock.Now())}});
    }
    ScheduleLeaderLookup();
    return;
  }
  is_report_failing_ = false;
  if (outcome.ignored_ends) {
    context_.logger.Log(
        Event::kMessageUnreadable,
        {{"from", "leader"},
         {"term", static_cast<int64_t>(answer->term)},
         {"recorded_ends", static_cast<int64_t>(*outcome.ignored_ends)},
         {"reason",
          "No report since the agent's start lists that many ends."}});
  }
  if (outcome.is_end_recorded && on_stopped_) {
    std::exchange(on_stopped_, nullptr)();
  }
  if (outcome.is_renewal_due) {
    ScheduleLeaseRenewal(milliseconds(0));
  }
  if (is_report_needed_) {
    Report();
  } else {
    ScheduleReport(settings_.report_period);
  }
}

bool RunnerAgent::UpdateLeader(const jobs::LeaderRecord& leader,
                               const char* source) {
  if (!session_.OnLeader(leader)) {
    return false;
  }
  report_limit_ = settings_.report_timeout;
  context_.logger.Log(Event::kLeaderFound,
                      {{"term", static_cast<int64_t>(leader.term)},
                       {"address", leader.address},
                       {"source", source}});
  return true;
}

void RunnerAgent::HandleLeader(const jobs::LeaderRecord& leader) {
  if (UpdateLeader(leader, "leader")) {
    ReportNow();
  }
}

void RunnerAgent::ScheduleLeaderLookup() {
  context_.loop.RunAfter(kLeaderLookupDelay,
                         [this, term = session_.leader().term] {
                           if (session_.leader().term == term) {
                             LookUpLeader();
                           }
                         });
}

void RunnerAgent::LookUpLeader() {
  if (is_looking_up_leader_) {
    return;
  }
  is_looking_up_leader_ = true;
  ReadLeaderPage(kMaxLookupPages, context_.clock.Now() + kLeaderLookupTimeout);
}

void RunnerAgent::ReadLeaderPage(size_t pages, Instant deadline) {
  context_.log.ReadNewest(
      kLeaderTopic, lookup_after_key_, deadline,
      [this, pages, deadline](const keyed_log::ReadResult& result) {
        const auto* page = std::get_if<keyed_log::Records>(&result);
        if (page == nullptr) {
          EndLeaderLookup(false);
          return;
        }
        const auto stored = std::ranges::find(
            page->records, std::string_view(kLeaderKey),
            [](const keyed_log::StoredRecord& it) -> std::string_view {
              return it.record.key;
            });
        if (stored != page->records.end()) {
          // The next lookup reads this page only.
          const auto leader =
              jobs::Decode<jobs::LeaderRecord>(stored->record.value);
          EndLeaderLookup(leader && UpdateLeader(*leader, "store"));
          return;
        }
        const bool has_more = page->has_more && !page->records.empty();
        lookup_after_key_ =
            has_more ? page->records.back().record.key : std::string();
        if (has_more && pages > 1 && context_.clock.Now() < deadline) {
          ReadLeaderPage(pages - 1, deadline);
        } else {
          EndLeaderLookup(false);
        }
      });
}

void RunnerAgent::EndLeaderLookup(bool is_new) {
  is_looking_up_leader_ = false;
  if (session_.leader().address.empty()) {
    ScheduleLeaderLookup();
    return;
  }
  // A leader that was known already has just been tried.
  if (!session_.is_reporting()) {
    ScheduleReport(is_new ? milliseconds(0) : kLeaderLookupDelay);
  }
}

void RunnerAgent::HandleOrders(const jobs::OrderBatch& batch,
                               const RespondToOrders& respond) {
  auto call = std::make_shared<PendingOrderBatch>();
  call->batch = batch;
  call->respond = respond;
  call->deadline = context_.clock.Now() + settings_.batch_limit;
  call->answer.results.resize(call->batch.orders.size());
  call->answer.agent_start_unix_ms = session_.agent_start_unix_ms();
  session_.OnTerm(call->batch.term);
  SendNextOrders(call);
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
    const Instant now = context_.clock.Now();
    if (const auto known =
            session_.VerdictOn(call->batch, orders[i], call->deadline, now)) {
      const bool is_of_view = *known == jobs::OrderVerdict::kOldView ||
                              *known == jobs::OrderVerdict::kBadView;
      if (is_of_view && !std::exchange(call->has_refused_view, true)) {
        LogRefusedView(*call, *known);
      }
      finish(*known);
      continue;
    }
    const FencingToken last = session_.fencing_token();
    const FencingToken token = session_.NextFencingToken(now);
    LogFencing(last);
    runner_.SendOrder(
        session_.announced().address, session_.announced().instance, orders[i],
        token.value(), session_.LeaseEndOnRunnerClock(),
        now + settings_.order_timeout,
        [this, call, finish,
         generation = session_.generation()](jobs::OrderVerdict verdict) {
          session_.OnOrderAnswered(generation, verdict, context_.clock.Now());
          finish(verdict);
          SendNextOrders(call);
        });
  }
  if (call->next == orders.size() && call->in_flight == 0) {
    call->respond(call->answer);
    if (session_.IsRunnerUp() && !session_.HasLease(context_.clock.Now())) {
      // The leader may have been waiting for this to grant a lease.
      ReportNow();
    }
  }
}

}  // namespace papayadrift::cluster
