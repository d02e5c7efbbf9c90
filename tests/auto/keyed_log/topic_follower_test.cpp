#include "keyed_log/topic_follower.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

#include "fake_keyed_log.h"

namespace papayadrift::keyed_log {
namespace {

class TopicFollowerTest : public testing::Test {
 protected:
  TopicFollowerTest() { Restart(); }

  void Restart() {
    follower_ = std::make_unique<TopicFollower>(
        FollowerSettings{"t"}, log_, clock_,
        [this](const Record& record) { seen_[record.key] = record.value; });
  }

  void Put(const std::string& key, const std::string& value) {
    log_.Write({"t", {{key, value}}, std::nullopt, std::nullopt}, Instant(),
               [](const AppendResult&) {});
    log_.Settle();
  }

  bool CatchUp() {
    bool is_caught_up = false;
    follower_->CatchUp([&](bool done) { is_caught_up = done; });
    log_.Settle();
    return is_caught_up;
  }

  FakeKeyedLog log_;
  ManualClock clock_;
  std::map<std::string, std::string> seen_;
  std::unique_ptr<TopicFollower> follower_;
};

TEST_F(TopicFollowerTest, ReadsTheNewestThenWhatFollows) {
  Put("a", "1");
  Put("a", "2");
  ASSERT_TRUE(CatchUp());
  EXPECT_EQ(seen_["a"], "2");
  Put("b", "3");
  ASSERT_TRUE(CatchUp());
  EXPECT_EQ(seen_["b"], "3");
  EXPECT_EQ(follower_->next(), 3U);
}

TEST_F(TopicFollowerTest, ReadsAllPages) {
  log_.set_page_size(2);
  for (const char* key : {"a", "b", "c", "d", "e"}) {
    Put(key, key);
  }
  ASSERT_TRUE(CatchUp());
  EXPECT_EQ(seen_.size(), 5U);
}

// Replays a store that drops its history behind a reader.
TEST_F(TopicFollowerTest, ClosesAGapFromTheNewest) {
  Put("a", "1");
  ASSERT_TRUE(CatchUp());
  Put("a", "2");
  Put("b", "3");
  log_.Expire("t", 3);
  ASSERT_TRUE(CatchUp());
  EXPECT_EQ(seen_["a"], "2");
  EXPECT_EQ(seen_["b"], "3");
}

TEST_F(TopicFollowerTest, SaysThatAnOutageLeftItBehind) {
  Put("a", "1");
  log_.set_is_down(true);
  EXPECT_FALSE(CatchUp());
  log_.set_is_down(false);
  EXPECT_TRUE(CatchUp());
}

TEST_F(TopicFollowerTest, CallsThatComeWhileItReadsShareTheNextRead) {
  Put("a", "1");
  int served = 0;
  for (int i = 0; i < 3; ++i) {
    follower_->CatchUp([&](bool) { ++served; });
  }
  log_.Settle();
  EXPECT_EQ(served, 3);
}

}  // namespace
}  // namespace papayadrift::keyed_log
