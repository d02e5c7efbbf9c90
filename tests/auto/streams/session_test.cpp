#include "streams/session.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayadrift::streams {
namespace {

constexpr size_t kChunk = 16 * 1024;

// Moves bytes both ways until neither side has any. Returns whether both
// sessions stand.
bool Exchange(Session& left, Session& right) {
  for (;;) {
    const std::string to_right = left.TakeOutput(kChunk);
    const std::string to_left = right.TakeOutput(kChunk);
    if (to_right.empty() && to_left.empty()) {
      return true;
    }
    if (!right.Receive(to_right) || !left.Receive(to_left)) {
      return false;
    }
  }
}

TEST(SessionTest, BytesGoBothWaysAlsoBeyondTheWindow) {
  Session dialer(SessionSide::kDialer);
  Session listener(SessionSide::kListener);
  ASSERT_TRUE(Exchange(dialer, listener));
  EXPECT_TRUE(dialer.is_open());
  EXPECT_TRUE(listener.is_open());
  const std::string large(5 << 20, 'x');
  dialer.Send(large);
  listener.Send("small");
  ASSERT_TRUE(Exchange(dialer, listener));
  EXPECT_EQ(listener.TakeBody(), large);
  EXPECT_EQ(dialer.TakeBody(), "small");
  EXPECT_EQ(dialer.queued_bytes(), 0u);
}

TEST(SessionTest, PeerThatDoesNotSpeakTheProtocolIsRefused) {
  Session listener(SessionSide::kListener);
  EXPECT_FALSE(listener.Receive("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
}

RC_GTEST_PROP(SessionTest, ChangedBytesAreHarmless, ()) {
  Session dialer(SessionSide::kDialer);
  Session listener(SessionSide::kListener);
  dialer.Send("some message");
  std::string bytes = dialer.TakeOutput(kChunk);
  const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
  listener.Receive(bytes);
  listener.TakeOutput(kChunk);
}

}  // namespace
}  // namespace papayadrift::streams
