#include "entry/request_desk.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "entry/http_fields_p.h"
#include "entry/refusal_response.h"

namespace papayadrift::entry {

namespace {

constexpr char kDeadlineHeader[] = "deadline";
constexpr char kIdentityHeader[] = "request-id";
constexpr char kKeyHeader[] = "idempotency-key";
constexpr char kContentType[] = "content-type";

using PendingPointer = std::shared_ptr<outcomes::PendingOutcome>;

// What is kept of a request until it is answered.
class Context : public routing::RequestContext {
 public:
  Context(http::Request request,
          http::Respond respond,
          PendingPointer pending,
          Instant arrived_at)
      : request_(std::move(request)),
        respond_(std::move(respond)),
        pending_(std::move(pending)),
        arrived_at_(arrived_at) {}

  const http::Request& request() const { return request_; }
  const http::Respond& respond() const { return respond_; }
  const PendingPointer& pending() const { return pending_; }
  Instant arrived_at() const { return arrived_at_; }

 private:
  const http::Request request_;
  const http::Respond respond_;
  const PendingPointer pending_;
  const Instant arrived_at_;
};

// What the outcome is once it is known whether the caller had the response.
outcomes::Outcome OutcomeOnceWritten(const outcomes::Outcome& outcome,
                                     bool is_written) {
  return is_written
             ? outcome
             : outcomes::Outcome{outcomes::CallerVanished(), outcome.ran};
}

// Why a request can't be routed, by what the request and the table say.
std::optional<Refusal> RefusalOf(
    const http::Request& request,
    const routing::Router::ServiceSummary& summary) {
  if (!summary.is_known) {
    return NotRun(RefusalReason::kServiceUnknown, "There is no such service.");
  }
  if (request.body.size() > summary.maximum_body_bytes) {
    return NotRun(RefusalReason::kBodyTooLarge,
                  "The body is larger than the service allows.");
  }
  if (!summary.is_idempotent && HeaderOf(request.headers, kKeyHeader).empty()) {
    return NotRun(RefusalReason::kKeyMissing,
                  "This service needs an Idempotency-Key.");
  }
  const std::string deadline = HeaderOf(request.headers, kDeadlineHeader);
  if (!deadline.empty() && !NumberIn(deadline)) {
    return NotRun(RefusalReason::kBadRequest,
                  "The Deadline must be a Unix time in milliseconds.");
  }
  return std::nullopt;
}

// With a key it may repeat one that ran.
Refusal NotReadyFor(const http::Request& request) {
  const bool is_keyed = !HeaderOf(request.headers, kKeyHeader).empty();
  return {RefusalReason::kNotReady, is_keyed ? Ran::kUnknown : Ran::kNo,
          "This entry does not serve yet.", std::nullopt};
}

// Only these headers of a runner's answer are passed on.
http::Response ForCaller(const http::Response& response) {
  http::Response answer{response.status, {}, response.body};
  const std::string type = HeaderOf(response.headers, kContentType);
  if (!type.empty()) {
    answer.headers[kContentType] = type;
  }
  return answer;
}

}  // namespace

struct RequestDesk::Performer {
  RequestDesk& desk;

  void operator()(const routing::Send& send) const {
    desk.reporter_.OnSent(send, desk.clock_.Now());
    desk.Forward(send);
  }

  void operator()(const routing::ClaimKey& claim) const {
    const routing::RequestId id = claim.info.id;
    desk.keys_.claim(claim.info, [&desk = desk,
                                  id](const routing::KeyClaimResult& verdict) {
      desk.router_.Handle(routing::KeyClaimFinished{id, verdict}, desk.Now());
    });
  }

  void operator()(const routing::ResolveKey& resolve) const {
    desk.keys_.resolve(resolve);
  }

  void operator()(const routing::Answer& answer) const {
    const auto& context = static_cast<const Context&>(*answer.info.context);
    desk.reporter_.OnAnswered(answer, desk.clock_.Now() - context.arrived_at());
    desk.RespondTo(answer.info, ForCaller(answer.response),
                   {outcomes::Answered(), Ran::kYes});
  }

  void operator()(const routing::Refuse& refuse) const {
    desk.reporter_.OnRefused(refuse, desk.clock_.Now());
    desk.RespondTo(
        refuse.info, ResponseTo(refuse.refusal, desk.clock_.WallNow()),
        {outcomes::Refused{refuse.refusal.reason}, refuse.refusal.ran});
  }

  void operator()(const routing::Drop& drop) const {
    desk.RespondTo(drop.info, http::Response(),
                   {outcomes::CallerVanished(), drop.ran});
  }

  void operator()(const routing::StartTimer& timer) const {
    desk.timers_->PostAt(timer.at, [&desk = desk] {
      desk.router_.Handle(routing::TimerFired(), desk.Now());
    });
  }

  void operator()(const routing::SendEnded& ended) const {
    desk.reporter_.OnSendEnded(ended);
    desk.metrics_.CountSend(ended.outcome);
  }

  void operator()(const routing::SlotsWanted& wanted) const {
    desk.on_slots_wanted_(wanted.service, wanted.requests);
  }

  void operator()(const routing::Stopped&) const {
    if (desk.on_stopped_) {
      desk.on_stopped_();
    }
  }
};

RequestDesk::RequestDesk(const RequestDeskSettings& settings,
                         const Clock& clock,
                         http::Client& client,
                         std::shared_ptr<EventLoop> timers,
                         outcomes::OutcomeLedger& ledger,
                         RequestMetrics& metrics,
                         const RequestReporter& reporter,
                         KeyPort keys,
                         OnSlotsWanted on_slots_wanted)
    : settings_(settings),
      clock_(clock),
      client_(client),
      timers_(std::move(timers)),
      ledger_(ledger),
      metrics_(metrics),
      reporter_(reporter),
      keys_(std::move(keys)),
      on_slots_wanted_(std::move(on_slots_wanted)),
      router_(settings.routing,
              [this](routing::Action action) { Perform(std::move(action)); }) {}

void RequestDesk::OnRequest(const ServiceId& service,
                            const CustomerId& customer,
                            http::Request request,
                            http::Respond respond) {
  const Instant now = clock_.Now();
  const routing::Router::ServiceSummary summary = router_.Summary(service);
  auto pending = std::make_shared<outcomes::PendingOutcome>(
      ledger_.Begin(customer, service));
  if (!is_open_) {
    RefuseAtOnce(service, customer, respond, std::move(pending),
                 NotReadyFor(request));
    return;
  }
  if (const std::optional<Refusal> refusal = RefusalOf(request, summary)) {
    RefuseAtOnce(service, customer, respond, std::move(pending), *refusal);
    return;
  }
  routing::RequestInfo info;
  info.id = router_.NextRequest();
  info.customer = customer;
  info.service = service;
  info.deadline = now + TimeAllowed(request);
  if (!summary.is_idempotent) {
    info.key = IdempotencyKey(HeaderOf(request.headers, kKeyHeader));
  }
  info.body_digest = StableHash(request.body);
  info.body_bytes = request.body.size();
  info.context = std::make_shared<Context>(
      std::move(request), std::move(respond), std::move(pending), now);
  Route(std::move(info));
}

void RequestDesk::Publish(routing::RoutingTable table) {
  router_.Publish(std::move(table), Now());
}

int32_t RequestDesk::slots_in_use(const std::string& address) const {
  return router_.slots_in_use(address);
}

void RequestDesk::Allow(const ServiceId& service,
                        const std::string& address,
                        const routing::SlotLimit& allowance) {
  router_.SetSlotLimit(service, address, allowance, Now());
}

bool RequestDesk::TryAllow(const std::string& address,
                           const routing::SlotLimit& allowance) {
  return router_.TrySetSlotLimit(address, allowance);
}

void RequestDesk::SetUsableUntil(Instant until) {
  router_.SetUsableUntil(until, Now());
}

void RequestDesk::BeginStop(std::function<void()> on_stopped) {
  on_stopped_ = std::move(on_stopped);
  router_.Handle(routing::StopRequested(), Now());
}

routing::EventTime RequestDesk::Now() const {
  return {clock_.Now(), clock_.WallNow()};
}

milliseconds RequestDesk::TimeAllowed(const http::Request& request) const {
  const std::optional<int64_t> deadline =
      NumberIn(HeaderOf(request.headers, kDeadlineHeader));
  const milliseconds left =
      deadline ? WallInstant(milliseconds(*deadline)) - clock_.WallNow()
               : settings_.default_deadline;
  return std::min(left, settings_.maximum_deadline);
}

void RequestDesk::Route(routing::RequestInfo info) {
  if (info.key.is_empty()) {
    router_.Handle(routing::RequestArrived{std::move(info)}, Now());
    return;
  }
  // A repeat must hear of the first request, whatever else would refuse it.
  keys_.look_up(
      info, [this, info](std::optional<routing::KeyClaimResult> known) mutable {
        info.known_key = std::move(known);
        router_.Handle(routing::RequestArrived{std::move(info)}, Now());
      });
}

void RequestDesk::Perform(routing::Action action) {
  std::visit(Performer{*this}, std::move(action));
}

void RequestDesk::Forward(const routing::Send& send) {
  if (clock_.Now() >= send.deadline) {
    // Paused since the decision: what it rested on may no longer hold.
    router_.Handle(
        routing::SendFailed{send.send, http::ClientFailure::kNotConnected},
        Now());
    return;
  }
  const auto& context = static_cast<const Context&>(*send.context);
  http::Request request;
  request.method = "POST";
  request.path = context.request().path;
  request.body = context.request().body;
  request.headers[kIdentityHeader] = send.identity;
  const auto left =
      std::chrono::floor<milliseconds>(send.deadline - clock_.Now());
  request.headers[kDeadlineHeader] =
      std::to_string((clock_.WallNow() + left).time_since_epoch().count());
  for (const char* name : {kKeyHeader, kContentType}) {
    const std::string value = HeaderOf(context.request().headers, name);
    if (!value.empty()) {
      request.headers[name] = value;
    }
  }
  const bool is_repeatable =
      HeaderOf(context.request().headers, kKeyHeader).empty();
  client_.Send(
      send.address, std::move(request), send.give_up_at,
      [this, id = send.send](http::ClientResult result) {
        OnResult(id, std::move(result));
      },
      is_repeatable ? http::ConnectionUse::kKept : http::ConnectionUse::kFresh);
}

void RequestDesk::OnResult(const routing::SendId& send,
                           http::ClientResult result) {
  if (const auto* failure = std::get_if<http::ClientFailure>(&result)) {
    router_.Handle(routing::SendFailed{send, *failure}, Now());
    return;
  }
  auto& response = std::get<http::Response>(result);
  std::string echo = HeaderOf(response.headers, kIdentityHeader);
  router_.Handle(
      routing::AnswerArrived{send, std::move(echo), std::move(response)},
      Now());
}

void RequestDesk::RespondTo(const routing::RequestInfo& info,
                            http::Response response,
                            const outcomes::Outcome& outcome) {
  auto& context = static_cast<Context&>(*info.context);
  Deliver(info.id, context.respond(), context.pending(), std::move(response),
          outcome, context.arrived_at());
}

// Only the write tells whether there still was a caller.
void RequestDesk::Deliver(routing::RequestId request,
                          const http::Respond& respond,
                          std::shared_ptr<outcomes::PendingOutcome> pending,
                          http::Response response,
                          const outcomes::Outcome& outcome,
                          Instant arrived_at) {
  ++unwritten_count_;
  response.headers[kIdentityHeader] = reporter_.IdentityOf(request);
  respond(std::move(response),
          [this, request, pending = std::move(pending), outcome,
           took = clock_.Now() - arrived_at](bool is_written) {
            if (!is_written) {
              reporter_.OnUnwritten(request, took);
            }
            const outcomes::Outcome ended =
                OutcomeOnceWritten(outcome, is_written);
            pending->End(ended);
            metrics_.CountRequest(ended, took);
            --unwritten_count_;
          });
}

void RequestDesk::RefuseAtOnce(
    const ServiceId& service,
    const CustomerId& customer,
    const http::Respond& respond,
    std::shared_ptr<outcomes::PendingOutcome> pending,
    const Refusal& refusal) {
  const routing::RequestId request = router_.NextRequest();
  reporter_.OnRefusedAtOnce(request, customer, service, refusal);
  Deliver(request, respond, std::move(pending),
          ResponseTo(refusal, clock_.WallNow()),
          {outcomes::Refused{refusal.reason}, refusal.ran}, clock_.Now());
}

}  // namespace papayadrift::entry
