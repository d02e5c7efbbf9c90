#include "fake_entry.h"

#include <utility>

namespace papayadrift::routing {

namespace {

bool IsConnectionFailure(const Event& event) {
  const auto* it = std::get_if<SendFailed>(&event);
  return it != nullptr && it->failure == http::ClientFailure::kNotConnected;
}

}  // namespace

FakeEntry::FakeEntry(RoutingSettings settings,
                     SimulatedClock& clock,
                     FakeRunners& runners,
                     FakeKeyStore& keys)
    : clock_(clock),
      runners_(runners),
      keys_(keys),
      name_(settings.identity_prefix),
      zone_(settings.zone),
      engine_(std::move(settings)),
      state_(std::make_shared<const RoutingState>()) {}

void FakeEntry::Publish(const std::vector<ServiceRoute>& services) {
  state_ = std::make_shared<const RoutingState>(
      NextRoutingState(*state_, RoutingTable(services)));
  Handle(TableChanged{state_});
}

void FakeEntry::Arrive(const std::string& customer,
                       const std::string& service,
                       microseconds time_allowed,
                       const std::string& key) {
  RequestInfo info;
  info.id = RequestId(++last_request_);
  info.customer = CustomerId(customer);
  info.service = ServiceId(service);
  info.deadline = clock_.now() + time_allowed;
  info.key = IdempotencyKey(key);
  info.known_key = keys_.Known(info.key);
  RequestOutcome& outcome = outcomes_[info.id];
  outcome.info = info;
  outcome.request_name = name_ + "/" + std::to_string(last_request_);
  outcome.name = key.empty() ? outcome.request_name : key;
  outcome.arrived_at = clock_.now();
  Handle(RequestArrived{info});
}

void FakeEntry::Handle(Event event) {
  for (const Action& action :
       engine_.Handle(std::move(event), clock_.event_time())) {
    std::visit([this](const auto& it) { Do(it); }, action);
  }
}

void FakeEntry::Do(const Send& action) {
  RequestOutcome& outcome = outcomes_.at(action.send.request);
  const auto sent_before = static_cast<int>(outcome.addresses.size());
  outcome.was_resent_unsafely |= outcome.connection_failures < sent_before;
  outcome.addresses.push_back(action.address);
  ++sends_;
  runners_.Take(action, {outcome.name, outcome.request_name, zone_},
                [this, &outcome](Event event) {
                  outcome.connection_failures +=
                      IsConnectionFailure(event) ? 1 : 0;
                  Handle(std::move(event));
                });
}

void FakeEntry::Do(const ClaimKey& action) {
  keys_.Claim(action, [this, id = action.info.id](KeyClaimResult result) {
    Handle(KeyClaimFinished{id, std::move(result)});
  });
}

void FakeEntry::Do(const Answer& action) {
  End(action.info).response = action.response;
}

void FakeEntry::Do(const Refuse& action) {
  End(action.info).refusal = action.refusal;
}

void FakeEntry::Do(const Drop& action) {
  End(action.info).dropped = action.ran;
}

void FakeEntry::Do(const StartTimer& action) {
  clock_.At(action.at, [this] { Handle(TimerFired{}); });
}

void FakeEntry::Do(const SlotsWanted& action) {
  slots_wanted_ = action.requests;
  ++slots_wanted_count_;
}

RequestOutcome& FakeEntry::End(const RequestInfo& info) {
  RequestOutcome& outcome = outcomes_.at(info.id);
  ++outcome.final_actions;
  outcome.executions_at_end = runners_.executions(outcome.name);
  outcome.ended_at = clock_.now();
  return outcome;
}

}  // namespace papayadrift::routing
