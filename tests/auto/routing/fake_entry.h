#ifndef PAPAYADRIFT_TESTS_ROUTING_FAKE_ENTRY_H_
#define PAPAYADRIFT_TESTS_ROUTING_FAKE_ENTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fake_key_store.h"
#include "fake_runners.h"
#include "routing/request_engine.h"
#include "routing/routing_state.h"
#include "simulated_clock.h"

namespace papayadrift::routing {

// Outcome of a request as seen by its caller.
struct RequestOutcome {
  RequestInfo info;
  std::string name;  // Name of the executed work: the key if there is one.
  std::string request_name;
  // Executions of `name` when the caller got the outcome.
  int executions_at_end = 0;
  Instant arrived_at;
  Instant ended_at;
  int final_actions = 0;  // Must be 1 in the end.
  std::optional<http::Response> response;
  std::optional<Refusal> refusal;
  std::optional<Ran> dropped;
  std::vector<std::string> addresses;  // Addresses of all sends in order.
  int connection_failures = 0;         // Sends of which no byte was sent.
  // Sent again although an earlier send may have run.
  bool was_resent_unsafely = false;
};

// Runs a request engine with fake runners and keys, and records the outcomes.
class FakeEntry {
 public:
  FakeEntry(RoutingSettings settings,
            SimulatedClock& clock,
            FakeRunners& runners,
            FakeKeyStore& keys);

  void Publish(const std::vector<ServiceRoute>& services);
  void Arrive(const std::string& customer,
              const std::string& service,
              microseconds time_allowed,
              const std::string& key = {});
  void Handle(Event event);

  RequestEngine& engine() { return engine_; }
  const std::map<RequestId, RequestOutcome>& outcomes() const {
    return outcomes_;
  }
  const RoutingState& state() const { return *state_; }
  bool has_stopped() const { return has_stopped_; }
  // Number of requests that lacked slots in the last report of the engine, and
  // number of reports.
  size_t slots_wanted() const { return slots_wanted_; }
  int slots_wanted_count() const { return slots_wanted_count_; }
  int send_ends() const { return send_ends_; }
  int sends() const { return sends_; }

 private:
  void Do(const Send& action);
  void Do(const ClaimKey& action);
  void Do(const ResolveKey& action) { keys_.Resolve(action); }
  void Do(const Answer& action);
  void Do(const Refuse& action);
  void Do(const Drop& action);
  void Do(const StartTimer& action);
  void Do(const SendEnded& /*action*/) { ++send_ends_; }
  void Do(const SlotsWanted& action);
  void Do(const Stopped& /*action*/) { has_stopped_ = true; }
  RequestOutcome& End(const RequestInfo& info);

  SimulatedClock& clock_;
  FakeRunners& runners_;
  FakeKeyStore& keys_;
  const std::string name_;
  const ZoneId zone_;
  RequestEngine engine_;
  std::shared_ptr<const RoutingState> state_;
  std::map<RequestId, RequestOutcome> outcomes_;
  uint64_t last_request_ = 0;
  int sends_ = 0;
  int send_ends_ = 0;
  bool has_stopped_ = false;
  size_t slots_wanted_ = 0;
  int slots_wanted_count_ = 0;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_TESTS_ROUTING_FAKE_ENTRY_H_
