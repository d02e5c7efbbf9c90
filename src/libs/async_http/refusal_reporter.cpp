#include "async_http/refusal_reporter.h"

#include <utility>

namespace papayadrift::async_http {

RefusalReporter::RefusalReporter(std::string listener,
                                 const Clock& clock,
                                 logging::EventLog* logger,
                                 metrics::Registry& registry)
    : listener_(std::move(listener)), clock_(clock), logger_(logger) {
  for (const Refusal it : AllRefusals()) {
    reasons_[it].counter = &registry.AddCounter(
        "papayadrift_connections_refused_total",
        "Requests refused and connections closed before their peer did, by "
        "listener and reason.",
        {{"listener", listener_}, {"reason", std::string(ToText(it))}});
  }
}

void RefusalReporter::Report(Refusal refusal) {
  Reason& reason = reasons_.at(refusal);
  reason.counter->Add();
  ++reason.unlogged;
  const Instant now = clock_.Now();
  if (logger_ == nullptr || now < reason.next_line_at) {
    return;
  }
  reason.next_line_at = now + kRefusalLogPeriod;
  logger_->Log(logging::Event::kConnectionRefused,
               {{"listener", listener_},
                {"reason", std::string(ToText(refusal))},
                {"count", std::exchange(reason.unlogged, 0)}});
}

}  // namespace papayadrift::async_http
