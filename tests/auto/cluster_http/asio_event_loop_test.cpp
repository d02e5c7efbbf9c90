#include "cluster_http/asio_event_loop.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <vector>

namespace papayadrift::cluster_http {
namespace {

class AsioEventLoopTest : public testing::Test {
 protected:
  boost::asio::io_context loop_;
  AsioEventLoop event_loop_{loop_};
  std::vector<int> runs_;
};

TEST_F(AsioEventLoopTest, LaterStartReplacesTheEarlierOne) {
  const auto timer = event_loop_.MakeTimer();
  timer->Start(microseconds(0), [this] { runs_.push_back(1); });
  timer->Start(milliseconds(1), [this] { runs_.push_back(2); });
  loop_.run();
  EXPECT_EQ(runs_, std::vector<int>{2});
}

// Guards against an action that runs although its timer was started anew: the
// wait had ended, and its handler was queued.
TEST_F(AsioEventLoopTest, ExpiredTimerThatIsCancelledRunsNothing) {
  const auto replaced = event_loop_.MakeTimer();
  const auto cancelled = event_loop_.MakeTimer();
  auto destroyed = event_loop_.MakeTimer();
  event_loop_.RunAfter(microseconds(0), [&] {
    replaced->Start(microseconds(0), [this] { runs_.push_back(2); });
    cancelled->Cancel();
    destroyed.reset();
  });
  replaced->Start(microseconds(0), [this] { runs_.push_back(1); });
  cancelled->Start(microseconds(0), [this] { runs_.push_back(3); });
  destroyed->Start(microseconds(0), [this] { runs_.push_back(4); });
  loop_.run();
  EXPECT_EQ(runs_, std::vector<int>{2});
}

TEST_F(AsioEventLoopTest, NothingRunsWithinTheCall) {
  event_loop_.RunAfter(microseconds(0), [this] { runs_.push_back(1); });
  EXPECT_TRUE(runs_.empty());
  loop_.run();
  EXPECT_EQ(runs_, std::vector<int>{1});
}

}  // namespace
}  // namespace papayadrift::cluster_http
