#ifndef PAPAYADRIFT_CLUSTER_PROCESS_CONTEXT_H_
#define PAPAYADRIFT_CLUSTER_PROCESS_CONTEXT_H_

#include <boost/asio/io_context.hpp>

#include "async_http/client.h"
#include "base/clock.h"
#include "keyed_log/keyed_log.h"
#include "logging/logger.h"
#include "metrics/registry.h"

namespace papayadrift::cluster {

// Dependencies that the parts of a process share; all of them outlive the
// parts.
struct ProcessContext {
  boost::asio::io_context& loop;
  const Clock& clock;
  keyed_log::KeyedLog& log;
  async_http::Client& client;
  logging::Logger& logger;
  metrics::Registry& metrics;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_PROCESS_CONTEXT_H_
