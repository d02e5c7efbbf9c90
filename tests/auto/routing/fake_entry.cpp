#include "fake_entry.h"

#include <utility>

namespace papayadrift::routing {

namespace {

bool IsUnconnected(const Event& event) {
  const auto* it = std::get_if<SendFailed>(&event);
  return it != nullptr && it->failure == http::ClientFailure::kNotConnected;
}

}  // namespace

FakeEntry::FakeEntry(RoutingSettings settings,
                     Timeline& timeline,
                     FakeRunners& runners,
                     FakeKeyStore& keys)
    : timeline_(timeline),
      runners_(runners),
      keys_(keys),
      name_(settings.identity_prefix),
      zone_(settings.zone),
      engine_(std::move(settings)),
      state_(std::make_shared<const RoutingState>()) {}

void FakeEntry::Publish(const std::vector<ServiceRoute>& services) {
  state_ = std::make_shared<const RoutingState>(
      FollowingState(*state_, RoutingTable(services)));
  Handle(TableChanged{state_});
}

void FakeEntry::Arrive(const std::string& customer,
                       const std::string& service,
                       microseconds time_allowed,
                       const std::string& key) {
  RequestFacts facts;
  facts.id = RequestId(++last_request_);
  facts.customer = CustomerId(customer);
  facts.service = ServiceId(service);
  facts.deadline = timeline_.now() + time_allowed;
  facts.key = IdempotencyKey(key);
  facts.known_key = keys_.Known(facts.key);
  FakeEnding& ending = endings_[facts.id];
  ending.facts = facts;
  ending.sending = name_ + "/" + std::to_string(last_request_);
  ending.name = key.empty() ? ending.sending : key;
  ending.arrived_at = timeline_.now();
  Handle(RequestArrived{facts});
}

void FakeEntry::Handle(Event event) {
  for (const Action& action :
       engine_.Handle(std::move(event), timeline_.moment())) {
    std::visit([this](const auto& it) { Do(it); }, action);
  }
}

void FakeEntry::Do(const Send& action) {
  FakeEnding& ending = endings_.at(action.send.request);
  const auto sent_before = static_cast<int>(ending.addresses.size());
  ending.was_resent_unsafely |= ending.unconnected < sent_before;
  ending.addresses.push_back(action.address);
  ++sends_;
  runners_.Take(action, {ending.name, ending.sending, zone_},
                [this, &ending](Event event) {
                  ending.unconnected += IsUnconnected(event) ? 1 : 0;
                  Handle(std::move(event));
                });
}

void FakeEntry::Do(const ClaimKey& action) {
  keys_.Claim(action, [this, id = action.facts.id](KeyVerdict verdict) {
    Handle(KeyAnswered{id, std::move(verdict)});
  });
}

void FakeEntry::Do(const Answer& action) {
  End(action.facts).response = action.response;
}

void FakeEntry::Do(const Refuse& action) {
  End(action.facts).refusal = action.refusal;
}

void FakeEntry::Do(const Drop& action) {
  End(action.facts).dropped = action.ran;
}

void FakeEntry::Do(const StartTimer& action) {
  timeline_.At(action.at, [this] { Handle(TimerFired{}); });
}

void FakeEntry::Do(const SlotsWanted& action) {
  slots_wanted_ = action.requests;
  ++times_wanted_;
}

FakeEnding& FakeEntry::End(const RequestFacts& facts) {
  FakeEnding& ending = endings_.at(facts.id);
  ++ending.finals;
  ending.executions_at_end = runners_.executions(ending.name);
  ending.ended_at = timeline_.now();
  return ending;
}

}  // namespace papayadrift::routing
