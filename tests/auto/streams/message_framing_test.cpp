#include "streams/message_framing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayadrift::streams {
namespace {

RC_GTEST_PROP(MessageFramingTest,
              MessagesComeBackHoweverTheyAreCut,
              (const std::vector<std::string>& messages)) {
  std::string bytes;
  for (const std::string& message : messages) {
    bytes += Frame(message);
  }
  MessageSplitter splitter(1 << 20);
  std::vector<std::string> received;
  while (!bytes.empty()) {
    const auto n = *rc::gen::inRange<size_t>(1, bytes.size() + 1);
    const auto whole = splitter.Add(bytes.substr(0, n));
    RC_ASSERT(whole.has_value());
    received.insert(received.end(), whole->begin(), whole->end());
    bytes.erase(0, n);
  }
  RC_ASSERT(received == messages);
}

TEST(MessageFramingTest, LengthOverTheLimitEndsTheStream) {
  MessageSplitter splitter(3);
  EXPECT_TRUE(splitter.Add(Frame("abc")));
  EXPECT_FALSE(splitter.Add(Frame("abcd")));
}

}  // namespace
}  // namespace papayadrift::streams
