#ifndef PAPAYADRIFT_ENTRY_REQUEST_DESK_H_
#define PAPAYADRIFT_ENTRY_REQUEST_DESK_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/refusal.h"
#include "entry/event_loop.h"
#include "entry/key_desk.h"
#include "entry/request_metrics.h"
#include "entry/request_reporter.h"
#include "http/client.h"
#include "http/server.h"
#include "outcomes/outcome_ledger.h"
#include "routing/router.h"

namespace papayadrift::entry {

struct RequestDeskSettings {
  routing::RoutingSettings routing;
  milliseconds default_deadline{0};
  milliseconds maximum_deadline{0};

  friend bool operator==(const RequestDeskSettings&,
                         const RequestDeskSettings&) = default;
};

// How requests reach the log; runs on any thread, answers on any thread.
struct KeyPort {
  // Tells what replay knows of the key, if anything.
  std::function<void(
      const routing::RequestInfo&,
      std::function<void(std::optional<routing::KeyClaimResult>)>)>
      look_up;
  std::function<void(const routing::RequestInfo&, KeyDesk::OnVerdict)> claim;
  std::function<void(const routing::ResolveKey&)> resolve;
};

// Hears that requests of a service wait for slots; on any thread.
using OnSlotsWanted =
    std::function<void(const ServiceId& service, size_t requests)>;

// Takes callers' requests through the router to runners and back. May be
// called from any thread; takes no lock of its own on a request's path.
class RequestDesk {
 public:
  RequestDesk(const RequestDeskSettings& settings,
              const Clock& clock,
              http::Client& client,
              std::shared_ptr<EventLoop> timers,
              outcomes::OutcomeLedger& ledger,
              RequestMetrics& metrics,
              const RequestReporter& reporter,
              KeyPort keys,
              OnSlotsWanted on_slots_wanted);

  // Answers one request of a caller for a service.
  void OnRequest(const ServiceId& service,
                 const CustomerId& customer,
                 http::Request request,
                 http::Respond respond);

  void Publish(routing::RoutingTable table);
  int32_t slots_in_use(const std::string& address) const;
  // What may be used of runners; see routing::Router.
  void Allow(const ServiceId& service,
             const std::string& address,
             const routing::SlotLimit& allowance);
  bool TryAllow(const std::string& address,
                const routing::SlotLimit& allowance);
  void SetUsableUntil(Instant until);

  // Takes requests from now on; until then they are refused as not ready.
  void Open() { is_open_ = true; }
  // Refuses new requests; `on_stopped` runs once none is in flight.
  void BeginStop(std::function<void()> on_stopped);
  // Responses that are not written to their callers' connections yet; their
  // outcomes are open.
  size_t unwritten_count() const { return unwritten_count_; }

 private:
  struct Performer;

  routing::EventTime Now() const;
  // How long the request may take, by its deadline and the settings.
  milliseconds TimeAllowed(const http::Request& request) const;
  // Passes a request to the router; one with a key only once it is known what
  // replay knows of the key.
  void Route(routing::RequestInfo info);
  void Perform(routing::Action action);
  void Forward(const routing::Send& send);
  void OnResult(const routing::SendId& send, http::ClientResult result);
  void RespondTo(const routing::RequestInfo& info,
                 http::Response response,
                 const outcomes::Outcome& outcome);
  // The response bears the request's identity.
  void Deliver(routing::RequestId request,
               const http::Respond& respond,
               std::shared_ptr<outcomes::PendingOutcome> pending,
               http::Response response,
               const outcomes::Outcome& outcome,
               Instant arrived_at);
  void RefuseAtOnce(const ServiceId& service,
                    const CustomerId& customer,
                    const http::Respond& respond,
                    std::shared_ptr<outcomes::PendingOutcome> pending,
                    const Refusal& refusal);

  const RequestDeskSettings settings_;
  const Clock& clock_;
  http::Client& client_;
  const std::shared_ptr<EventLoop> timers_;
  outcomes::OutcomeLedger& ledger_;
  RequestMetrics& metrics_;
  const RequestReporter& reporter_;
  const KeyPort keys_;
  const OnSlotsWanted on_slots_wanted_;
  std::function<void()> on_stopped_;
  std::atomic<bool> is_open_{false};
  std::atomic<size_t> unwritten_count_{0};
  routing::Router router_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_REQUEST_DESK_H_
