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

// Shares a request engine between threads. No thread waits for another on the
// path of a request.
class Router {
 public:
  // Carries out one action. Runs on whichever thread handles the event, one
  // at a time; must not block, may call Handle().
  using Perform = std::function<void(Action)>;

  Router(RoutingSettings settings, Perform perform);

  // Returns an identity for a request that arrives.
  RequestId NextRequest();

  // Gives an event to the engine, in the order of the calls.
  void Handle(Event event, EventTime now);

  // Puts a table in force. When this returns nothing new is sent above its
  // shares, nor to runners that it doesn't show as serving.
  void Publish(RoutingTable table, EventTime now);

  // Sets what may be used of one runner of `service` until the next table; no
  // effect for a runner that the table doesn't have.
  void SetSlotLimit(const ServiceId& service,
                    const std::string& address,
                    const SlotLimit& limit,
                    EventTime now);
  // The same if the use is within it; otherwise changes nothing and returns
  // false.
  bool TrySetSlotLimit(const std::string& address, const SlotLimit& limit);

  // Ends the right to take slots of any runner at `until`, or moves its end.
  void SetUsableUntil(Instant until, EventTime now);

  // Returns what the table says of a service; no runner is looked at. For
  // checks before a request is read whole.
  struct ServiceSummary {
    bool is_known = false;
    bool is_idempotent = true;
    size_t maximum_body_bytes = 0;

    friend bool operator==(const ServiceSummary&,
                           const ServiceSummary&) = default;
  };
  ServiceSummary Summary(const ServiceId& service) const;

  // Returns how many slots of a runner this entry uses or holds. A share is
  // given up once this is within the new one.
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
