#include "keyed_log/group_writer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>

#include "fake_keyed_log.h"

namespace papayadrift::keyed_log {
namespace {

class GroupWriterTest : public testing::Test {
 protected:
  void Write(const std::string& key) {
    writer_.Write({key, "value"}, clock_.Now() + milliseconds(3000),
                  [this, key](const AppendResult& result) {
                    results_.emplace(key, result);
                  });
  }
  size_t CountOf(const AppendResult& result) const {
    return static_cast<size_t>(std::ranges::count_if(
        results_, [&](const auto& it) { return it.second == result; }));
  }

  ManualClock clock_;
  FakeKeyedLog log_;
  GroupWriter writer_{"topic", log_, clock_};
  std::multimap<std::string, AppendResult> results_;
};

// Replays a store that takes appends one by one, slower than records come.
TEST_F(GroupWriterTest, WritesTogetherWhatComesDuringAnAppend) {
  for (int i = 0; i < 20; ++i) {
    Write(std::to_string(i));
  }
  EXPECT_EQ(log_.append_count(), 1U);
  log_.Settle();
  EXPECT_EQ(log_.append_count(), 2U);
  EXPECT_EQ(CountOf(Stored{1}), 1U);
  EXPECT_EQ(CountOf(Stored{20}), 19U);
}

TEST_F(GroupWriterTest, DoesNotWaitForAnAppendThatIsOverdue) {
  Write("a");
  clock_.Advance(milliseconds(100));
  Write("b");
  EXPECT_EQ(log_.append_count(), 2U);
}

TEST_F(GroupWriterTest, TellsEachRecordThatItIsNotStored) {
  log_.set_is_down(true);
  for (int i = 0; i < 5; ++i) {
    Write(std::to_string(i));
  }
  log_.Settle();
  EXPECT_EQ(results_.size(), 5U);
  EXPECT_EQ(CountOf(NotStored{}), 5U);
}

TEST_F(GroupWriterTest, BoundsOneAppend) {
  for (int i = 0; i < 200; ++i) {
    Write(std::to_string(i));
  }
  log_.Settle();
  EXPECT_EQ(results_.size(), 200U);
  EXPECT_EQ(log_.append_count(), 5U);
}

// Guards against an append of records that fit one by one and not together.
TEST_F(GroupWriterTest, BoundsTheSizeOfOneAppend) {
  log_.set_limits({4096, 200});
  for (int i = 0; i < 100; ++i) {
    Write(std::to_string(i));
  }
  log_.Settle();
  EXPECT_EQ(results_.size(), 100U);
  EXPECT_EQ(CountOf(Rejected{}), 0U);
}

// Guards against records that fail since the store rejects another one.
TEST_F(GroupWriterTest, RejectedRecordFailsAlone) {
  log_.set_rejected_key("7");
  for (int i = 0; i < 20; ++i) {
    Write(std::to_string(i));
  }
  log_.Settle();
  EXPECT_EQ(results_.size(), 20U);
  EXPECT_EQ(CountOf(Rejected{}), 1U);
  EXPECT_EQ(results_.find("7")->second, AppendResult(Rejected{}));
  EXPECT_LE(log_.append_count(), 21U);
}

TEST_F(GroupWriterTest, MayWriteAgainFromItsCallback) {
  int tries = 0;
  std::function<void(AppendResult)> again = [&](const AppendResult&) {
    if (++tries < 3) {
      writer_.Write({"key", "value"}, clock_.Now() + milliseconds(100), again);
    }
  };
  log_.set_is_down(true);
  writer_.Write({"key", "value"}, clock_.Now() + milliseconds(100), again);
  log_.Settle();
  EXPECT_EQ(tries, 3);
}

}  // namespace
}  // namespace papayadrift::keyed_log
