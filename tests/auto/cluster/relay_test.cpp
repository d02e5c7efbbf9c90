#include "cluster/relay.h"

#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>

#include "async_http/server.h"
#include "process_fixture.h"
#include "support/free_port.h"

namespace papayadrift::cluster {
namespace {

constexpr milliseconds kTimeout(3000);

class RelayTest : public ProcessFixture {
 protected:
  // Answers that it can't handle the call, if it is not the leader.
  async_http::ServerSettings Settings(const std::string& address) {
    frontends_.Put({address, address, 1, 500}, clock_.Now());
    return {address};
  }

  FrontendList frontends_{{"own", "127.0.0.1:1", 1, 500}, 5, seconds(30)};
  Relay relay_{context(), frontends_, "127.0.0.1:1"};
};

// Guards against a question about a job that nobody answers, since its leader
// is slow and the others know nothing of it.
TEST_F(RelayTest, SlowAnswerToAQueryCounts) {
  const std::string leader_address = FreeAddress();
  const std::string other_address = FreeAddress();
  boost::asio::steady_timer timer(loop_);
  int other_queries = 0;
  async_http::Server leader(
      loop_, Settings(leader_address),
      [&](const http::Request&, const async_http::Respond& respond) {
        timer.expires_after(milliseconds(600));
        timer.async_wait([respond](boost::system::error_code) {
          respond({200, {}, Encode(RelayAnswer{true, 1, true})});
        });
      });
  async_http::Server other(
      loop_, Settings(other_address),
      [&](const http::Request&, const async_http::Respond& respond) {
        ++other_queries;
        respond({200, {}, Encode(RelayAnswer{})});
      });
  ASSERT_TRUE(leader.Open());
  ASSERT_TRUE(other.Open());
  std::optional<Relay::Outcome> outcome;
  relay_.Send({RelayKind::kState, "q", JobId("0123456789abcdef"), {}, 0},
              leader_address, clock_.Now() + kTimeout,
              [&](const Relay::Outcome& it) { outcome = it; });
  while (!outcome) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_TRUE(outcome->answer);
  EXPECT_EQ(other_queries, 1);
}

// A frontend that is asked beside one that is silent answers in its place.
TEST_F(RelayTest, OthersAnswerForASilentLeader) {
  const std::string leader_address = FreeAddress();
  const std::string other_address = FreeAddress();
  async_http::Respond unanswered;
  async_http::Server leader(
      loop_, Settings(leader_address),
      [&](const http::Request&, const async_http::Respond& respond) {
        unanswered = respond;
      });
  async_http::Server other(
      loop_, Settings(other_address),
      [](const http::Request&, const async_http::Respond& respond) {
        respond({200, {}, Encode(RelayAnswer{true, 1, true})});
      });
  ASSERT_TRUE(leader.Open());
  ASSERT_TRUE(other.Open());
  int done = 0;
  relay_.Send({RelayKind::kCount, "q", JobId(), {}, 0}, leader_address,
              clock_.Now() + kTimeout, [&](const Relay::Outcome& it) {
                EXPECT_TRUE(it.answer);
                ++done;
              });
  while (done == 0) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  unanswered({200, {}, Encode(RelayAnswer{true, 2, true})});
  loop_.run_for(milliseconds(50));
  EXPECT_EQ(done, 1);
}

}  // namespace
}  // namespace papayadrift::cluster
