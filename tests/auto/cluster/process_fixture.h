#ifndef PAPAYADRIFT_TESTS_CLUSTER_PROCESS_FIXTURE_H_
#define PAPAYADRIFT_TESTS_CLUSTER_PROCESS_FIXTURE_H_

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "cluster/process_context.h"
#include "fake_keyed_log.h"

namespace papayadrift::cluster {

// What a process of a cluster has, with a clock and a store played by hand. Its
// log lines go nowhere.
class ProcessFixture : public testing::Test {
 protected:
  ProcessFixture();
  ~ProcessFixture() override;

  ProcessContext context() {
    return {loop_, clock_, log_, client_, logger_, metrics_};
  }

  const int descriptor_;
  ManualClock clock_;
  boost::asio::io_context loop_;
  logging::Logger logger_;
  metrics::Registry metrics_;
  keyed_log::FakeKeyedLog log_;
  async_http::Client client_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_TESTS_CLUSTER_PROCESS_FIXTURE_H_
