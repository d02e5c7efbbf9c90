#ifndef PAPAYADRIFT_TESTS_CLUSTER_PROCESS_FIXTURE_H_
#define PAPAYADRIFT_TESTS_CLUSTER_PROCESS_FIXTURE_H_

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "cluster/process_context.h"
#include "fake_keyed_log.h"

namespace papayadrift::cluster {

// The context of a process, with a manual clock and a fake store. Log lines are
// discarded.
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
