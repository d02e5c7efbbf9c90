#include "entry/request_reporter.h"

#include <utility>

namespace papayadrift::entry {

using logging::Event;
using logging::Field;

namespace {

int64_t InMilliseconds(microseconds duration) {
  return std::chrono::floor<milliseconds>(duration).count();
}

Field Reason(const Refusal& refusal) {
  return {"reason", std::string(ToText(refusal.reason))};
}

Field RanOf(const Refusal& refusal) {
  return {"ran", std::string(ToText(refusal.ran))};
}

}  // namespace

RequestReporter::RequestReporter(logging::Logger& logger,
                                 std::string identity_prefix)
    : logger_(logger), identity_prefix_(std::move(identity_prefix)) {}

std::string RequestReporter::IdentityOf(routing::RequestId request) const {
  return identity_prefix_ + "." + std::to_string(request.value());
}

void RequestReporter::OnSent(const routing::Send& send, Instant now) const {
  const routing::ServiceLoad& load = send.load;
  logger_.Log(Event::kRequestSent,
              {{"request", IdentityOf(send.send.request)},
               {"send", static_cast<int64_t>(send.send.ordinal)},
               {"worker", send.worker.text()},
               {"time_left_ms", InMilliseconds(send.deadline - now)},
               {"waiting", static_cast<int64_t>(load.waiting)},
               {"in_flight", static_cast<int64_t>(load.in_flight)},
               {"usable_slots", static_cast<int64_t>(load.usable_slots)},
               {"runners_age_ms", InMilliseconds(now - load.runners_since)}});
}

void RequestReporter::OnSendEnded(const routing::SendEnded& ended) const {
  if (ended.outcome == routing::SendOutcome::kAnswered) {
    return;
  }
  logger_.Log(Event::kRequestSendFailed,
              {{"request", IdentityOf(ended.send.request)},
               {"send", static_cast<int64_t>(ended.send.ordinal)},
               {"worker", ended.worker.text()},
               {"outcome", std::string(routing::ToText(ended.outcome))}});
}

void RequestReporter::OnAnswered(const routing::Answer& answer,
                                 microseconds took) const {
  logger_.Log(Event::kRequestAnswered,
              {{"request", IdentityOf(answer.info.id)},
               {"customer", answer.info.customer.text()},
               {"service", answer.info.service.text()},
               {"key", answer.info.key.text()},
               {"status", static_cast<int64_t>(answer.response.status)},
               {"took_ms", InMilliseconds(took)}});
}

void RequestReporter::OnRefused(const routing::Refuse& refuse,
                                Instant now) const {
  const routing::RequestInfo& facts = refuse.info;
  const routing::ServiceLoad load =
      refuse.load.value_or(routing::ServiceLoad());
  logger_.Log(
      Event::kRequestRefused,
      {{"request", IdentityOf(facts.id)},
       {"customer", facts.customer.text()},
       {"service", facts.service.text()},
       {"key", facts.key.text()},
       Reason(refuse.refusal),
       RanOf(refuse.refusal),
       {"time_left_ms", InMilliseconds(facts.deadline - now)},
       {"is_load_known", refuse.load.has_value()},
       {"waiting", static_cast<int64_t>(load.waiting)},
       {"in_flight", static_cast<int64_t>(load.in_flight)},
       {"limit", static_cast<int64_t>(load.limit)},
       {"usable_slots", static_cast<int64_t>(load.usable_slots)},
       {"expected_service_ms", InMilliseconds(load.expected_service_time)},
       {"predicted_wait_ms", InMilliseconds(load.predicted_wait)},
       {"runners_age_ms",
        refuse.load ? InMilliseconds(now - load.runners_since) : 0}});
}

void RequestReporter::OnRefusedAtOnce(routing::RequestId request,
                                      const CustomerId& customer,
                                      const ServiceId& service,
                                      const Refusal& refusal) const {
  logger_.Log(Event::kRequestRefused, {{"request", IdentityOf(request)},
                                       {"customer", customer.text()},
                                       {"service", service.text()},
                                       Reason(refusal),
                                       RanOf(refusal),
                                       {"is_load_known", false}});
}

void RequestReporter::OnUnwritten(routing::RequestId request,
                                  microseconds took) const {
  logger_.Log(Event::kRequestUnwritten, {{"request", IdentityOf(request)},
                                         {"took_ms", InMilliseconds(took)}});
}

}  // namespace papayadrift::entry
