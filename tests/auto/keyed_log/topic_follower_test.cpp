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

// Guards against starts on a view that is told to be as new as the answer to a
// read, or to one that returned only a part.
TEST_F(TopicFollowerTest, IsAsNewAsTheBeginningOfAWholeRead) {
  Put("a", "1");
  ASSERT_TRUE(CatchUp());
  const auto read = [&] {
    clock_.Advance(milliseconds(1000));
    const Instant begun_at = clock_.Now();
    follower_->Wait(milliseconds(0), [](bool) {});
    clock_.Advance(milliseconds(700));
    log_.Settle();
    return begun_at;
  };
  const Instant whole_at = read();
  EXPECT_EQ(follower_->caught_up_at(), whole_at);
  Put("b", "2");
  Put("c", "3");
  log_.set_read_size(1);
  read();
  EXPECT_EQ(seen_.size(), 2U);
  EXPECT_EQ(follower_->caught_up_at(), whole_at);
  const Instant last_at = read();
  EXPECT_EQ(follower_->caught_up_at(), last_at);
  EXPECT_EQ(seen_.size(), 3U);
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

// Guards against a reader of a state that never was: a part of the keys as they
// were before a change, and the rest as they were after it.
TEST_F(TopicFollowerTest, HandsOnPagesWithWhatChangedWhileTheyWereRead) {
  log_.set_page_size(1);
  Put("a", "1");
  Put("b", "1");
  follower_->CatchUp([](bool) {});
  log_.AnswerNext();
  log_.Write({"t", {{"a", "2"}, {"c", "2"}}, std::nullopt, std::nullopt},
             Instant(), [](const AppendResult&) {});
  log_.AnswerNext();
  log_.AnswerNext();
  EXPECT_TRUE(seen_.empty());
  log_.Settle();
  const std::map<std::string, std::string> expected{
      {"a", "2"}, {"b", "1"}, {"c", "2"}};
  EXPECT_EQ(seen_, expected);
  EXPECT_EQ(follower_->next(), 4U);
}

// An outage after the last page costs no second read of the pages.
TEST_F(TopicFollowerTest, ContinuesBehindThePagesAfterAnOutage) {
  Put("a", "1");
  bool is_caught_up = true;
  follower_->CatchUp([&](bool done) { is_caught_up = done; });
  log_.AnswerNext();
  log_.set_is_down(true);
  log_.Settle();
  EXPECT_FALSE(is_caught_up);
  EXPECT_TRUE(seen_.empty());
  log_.set_is_down(false);
  const size_t before = log_.read_count("t");
  ASSERT_TRUE(CatchUp());
  EXPECT_EQ(log_.read_count("t"), before + 1);
  EXPECT_EQ(seen_["a"], "1");
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
