#ifndef PAPAYADRIFT_ROUTING_ROUTER_H_
#define PAPAYADRIFT_ROUTING_ROUTER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "routing/actions.h"
#include "routing/events.h"
#include "routing/published.h"
#include "routing/request_engine.h"
#include "routing/routing_settings.h"
#include "routing/routing_state.h"
#include "routing/serial_event_queue.h"

namespace papayadrift::routing {

// Makes a request engine available to many threads. No thread blocks on another
// on the request path.
class Router {
 public:
  // Performs one action. Called on the thread that handles the event, one call
  // at a time. Must not block; may call Handle().
  using Perform = std::function<void(Action)>;

  Router(RoutingSettings settings, Perform perform);

  // Returns an id for a new request.
  RequestId NextRequest();

  // Passes an event to the engine, in the order of the calls.
  void Handle(Event event, EventTime now);

  // Applies a routing table. After this returns, nothing new is sent beyond its
  // slot shares, nor to runners that it doesn't list as serving.
  void Publish(RoutingTable table, EventTime now);

  // Sets the slot limit of one runner of `service` until the next table; has no
  // effect for a runner that is not in the table.
  void SetSlotLimit(const ServiceId& service,
                    const std::string& address,
                    const SlotLimit& limit,
                    EventTime now);
  // Like SetSlotLimit() if no more slots are in use than `limit` allows;
  // otherwise changes nothing and returns false.
  bool TrySetSlotLimit(const std::string& address, const SlotLimit& limit);

  // No slots of any runner are acquired from `until` on. Replaces the previous
  // limit.
  void SetUsableUntil(Instant until, EventTime now);

  // Returns properties of a service from the table, without runners. For checks
  // before a request has been read completely.
  struct ServiceSummary {
    bool is_known = false;
    bool is_idempotent = true;
    size_t maximum_body_bytes = 0;

    friend bool operator==(const ServiceSummary&,
                           const ServiceSummary&) = default;
  };
  ServiceSummary Summary(const ServiceId& service) const;

  // Returns how many slots of a runner this entry uses, including deferred
  // releases. A share is given up once this is within the new one.
  int32_t slots_in_use(const std::string& address) const;

 private:
  struct TimedEvent {
    Event event;
    EventTime now;
  };
  struct Handler {
    RequestEngine* engine;
    Perform perform;

    void operator()(TimedEvent item);
  };

  std::shared_ptr<SlotCounter> FindSlotCounter(
      const std::string& address) const;

  RequestEngine engine_;
  SerialEventQueue<TimedEvent, Handler> event_queue_;
  std::mutex publishers_;
  Published<std::shared_ptr<const RoutingState>> state_;
  std::atomic<uint64_t> last_request_{0};
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_ROUTER_H_
