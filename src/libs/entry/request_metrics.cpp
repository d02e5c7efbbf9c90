#include "entry/request_metrics.h"

#include <string>

namespace papayadrift::entry {

RequestMetrics::RequestMetrics(metrics::Registry& registry)
    : answered_(registry.AddHistogram(
          "papayadrift_answer_seconds",
          "Time from a request's arrival to its answer.")),
      refused_(registry.AddHistogram(
          "papayadrift_refusal_seconds",
          "Time from a request's arrival to its refusal.")) {
  for (size_t i = 0; i < outcomes::OutcomeCount(); ++i) {
    const outcomes::Outcome outcome = outcomes::OutcomeAt(i);
    requests_.push_back(&registry.AddCounter(
        "papayadrift_requests_total", "Requests, by how they ended.",
        {{"outcome", outcomes::ToText(outcome.ending)},
         {"ran", std::string(papayadrift::ToText(outcome.ran))}}));
  }
  constexpr auto kLast =
      static_cast<size_t>(routing::SendOutcome::kServerFailed);
  for (size_t i = 0; i <= kLast; ++i) {
    const auto outcome = static_cast<routing::SendOutcome>(i);
    sends_.push_back(&registry.AddCounter(
        "papayadrift_sends_total", "Sends to runners, by how they ended.",
        {{"outcome", std::string(routing::ToText(outcome))}}));
  }
}

void RequestMetrics::CountRequest(const outcomes::Outcome& outcome,
                                  microseconds took) {
  requests_[outcomes::IndexOf(outcome)]->Add();
  if (std::holds_alternative<outcomes::Answered>(outcome.ending)) {
    answered_.Record(took);
  } else {
    refused_.Record(took);
  }
}

void RequestMetrics::CountSend(routing::SendOutcome outcome) {
  sends_[static_cast<size_t>(outcome)]->Add();
}

}  // namespace papayadrift::entry
