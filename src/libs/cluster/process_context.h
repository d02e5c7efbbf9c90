#ifndef PAPAYADRIFT_CLUSTER_PROCESS_CONTEXT_H_
#define PAPAYADRIFT_CLUSTER_PROCESS_CONTEXT_H_

#include "base/clock.h"
#include "base/event_loop.h"
#include "cluster/peer_api.h"
#include "keyed_log/keyed_log.h"
#include "logging/event_log.h"
#include "metrics/registry.h"

namespace papayadrift::cluster {

// Dependencies that the parts of a process share; all of them outlive the
// parts.
struct ProcessContext {
  EventLoop& loop;
  const Clock& clock;
  keyed_log::KeyedLog& log;
  PeerApi& peers;
  logging::EventLog& logger;
  metrics::Registry& metrics;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_PROCESS_CONTEXT_H_
