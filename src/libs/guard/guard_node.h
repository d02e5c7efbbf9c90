#ifndef PAPAYADRIFT_GUARD_GUARD_NODE_H_
#define PAPAYADRIFT_GUARD_GUARD_NODE_H_

#include <memory>
#include <optional>

#include "async_http/refusal_reporter.h"
#include "base/clock.h"
#include "guard/identity_memory.h"
#include "guard/slot_gate.h"
#include "http/client.h"
#include "http/server.h"
#include "metrics/registry.h"
#include "settings/guard_settings.h"

namespace papayadrift::guard {

// Stands before one backend server: passes requests on within its slots, and
// none twice. Requests may come from any thread.
class GuardNode {
 public:
  GuardNode(const settings::GuardSettings& settings,
            http::Client& client,
            const Clock& clock);

  // Begins to serve. Returns false, with a last reason, if it can't.
  bool Start();
  // Refuses new requests and finishes those in flight; the process then ends.
  void Finish();

  std::optional<http::ServerFailure> last_reason() const;

 private:
  void Handle(http::Request request, http::Respond respond);
  void PassOn(http::Request request, http::Respond respond);
  // Whether neither the send nor the caller's key was seen before.
  bool IsNew(const http::Request& request);
  std::optional<Instant> DeadlineOf(const http::Request& request) const;
  http::Response Dump() const;

  const settings::GuardSettings settings_;
  http::Client& client_;
  const Clock& clock_;
  metrics::Registry registry_;
  metrics::Counter& passed_;
  metrics::Counter& duplicates_;
  metrics::Counter& busy_;
  IdentityMemory sends_;
  IdentityMemory keys_;
  SlotGate gate_;
  async_http::RefusalReporter refusals_;
  http::Server server_;
};

}  // namespace papayadrift::guard

#endif  // PAPAYADRIFT_GUARD_GUARD_NODE_H_
