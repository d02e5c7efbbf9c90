#ifndef PAPAYADRIFT_TESTS_CLUSTER_PROCESS_FIXTURE_H_
#define PAPAYADRIFT_TESTS_CLUSTER_PROCESS_FIXTURE_H_

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "async_http/client.h"
#include "base/clock.h"
#include "cluster/process_context.h"
#include "cluster_http/asio_event_loop.h"
#include "cluster_http/http_peers.h"
#include "fake_keyed_log.h"
#include "logging/logger.h"

namespace papayadrift::cluster {

// The context of a process, with a manual clock and a fake store. Log lines are
// discarded.
class ProcessFixture : public testing::Test {
 protected:
  ProcessFixture();
  ~ProcessFixture() override;

  ProcessContext context() {
    return {event_loop_, clock_, log_, peers_, logger_, metrics_};
  }

  const int descriptor_;
  ManualClock clock_;
  boost::asio::io_context loop_;
  logging::Logger logger_;
  metrics::Registry metrics_;
  keyed_log::FakeKeyedLog log_;
  cluster_http::AsioEventLoop event_loop_;
  async_http::Client client_;
  cluster_http::HttpPeers peers_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_TESTS_CLUSTER_PROCESS_FIXTURE_H_
