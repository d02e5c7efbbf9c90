#ifndef PAPAYADRIFT_ENTRY_ENTRY_NODE_H_
#define PAPAYADRIFT_ENTRY_ENTRY_NODE_H_

#include <memory>
#include <optional>

#include "base/clock.h"
#include "http/client.h"
#include "log/log_port.h"
#include "logging/logger.h"
#include "peer_protocol/handshake.h"
#include "settings/entry_settings.h"

namespace papayadrift::entry {

enum class NodeEnd {
  kStopped,     // As asked for.
  kSuperseded,  // Another life of this entry took over, or it was lapsed.
};

enum class NodeFailure { kAddressInUse, kBadAddress, kBadCertificate };

// What an entry needs of its surroundings.
struct NodeEnvironment {
  log::LogPort& log;
  http::Client& client;
  const Clock& clock;
  logging::Logger& logger;
  // By which entries know each other; nothing for an entry that stands alone.
  std::optional<peer_protocol::SharedKey> peer_key;
};

// One entry: everything between its sockets and the log.
class EntryNode {
 public:
  EntryNode(const settings::EntrySettings& settings,
            Incarnation incarnation,
            const NodeEnvironment& environment);
  ~EntryNode();

  // Begins to serve. Returns false, with a last reason, if it can't.
  bool Start();
  // Blocks until Stop() is called from another thread or this life is over.
  NodeEnd Wait();
  // Asks for an end; safe in any thread.
  void Stop();
  // Finishes requests in flight, hands over and ends. At most until
  // `deadline`; returns whether all was finished by then.
  bool Close(Instant deadline);

  std::optional<NodeFailure> last_reason() const;

 private:
  class Private;
  std::unique_ptr<Private> private_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_ENTRY_NODE_H_
