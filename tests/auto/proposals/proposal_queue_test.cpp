#include "proposals/proposal_queue.h"

#include <gtest/gtest.h>

#include <string>

#include "records/codec.h"

namespace papayadrift::proposals {
namespace {

constexpr Instant At(int64_t after_milliseconds) {
  return Instant(seconds(1'000) + milliseconds(after_milliseconds));
}

class ProposalQueueTest : public testing::Test {
 protected:
  static records::Record AnyRecord() { return records::JobCancelled(); }

  // Returns the append if it is the only action.
  static std::optional<StartAppend> AppendIn(
      const std::vector<QueueAction>& actions) {
    if (actions.size() != 1) {
      return std::nullopt;
    }
    const auto* append = std::get_if<StartAppend>(&actions[0]);
    return append != nullptr ? std::optional(*append) : std::nullopt;
  }

  ProposalQueue queue_{EntryId("e1"), Incarnation(1), Offset(1), {}, 42};
};

TEST_F(ProposalQueueTest, GroupsByTimeAndKeepsOneAppendInFlight) {
  queue_.Submit(At(0), AnyRecord(), std::nullopt);
  queue_.Submit(At(5), AnyRecord(), std::nullopt);
  EXPECT_FALSE(AppendIn(queue_.OnTime(At(9))));
  const auto append = AppendIn(queue_.OnTime(At(10)));
  ASSERT_TRUE(append);
  EXPECT_EQ(records::Decode(append->bytes)->size(), 2U);
  queue_.Submit(At(11), AnyRecord(), std::nullopt);
  EXPECT_FALSE(AppendIn(queue_.OnTime(At(500))));
  EXPECT_TRUE(AppendIn(queue_.OnAppendResult(
      At(500), append->append, log::Appended{.offset = Offset(1)})));
}

TEST_F(ProposalQueueTest, RespectsAppendBudget) {
  const QueueLimits limits;
  uint32_t appends = 0;
  for (int64_t i = 0; i < 2'000; ++i) {
    queue_.Submit(At(i), AnyRecord(), std::nullopt);
    auto append = AppendIn(queue_.OnTime(At(i)));
    while (append) {
      ++appends;
      append = AppendIn(queue_.OnAppendResult(
          At(i), append->append, log::Appended{.offset = Offset(appends)}));
    }
  }
  EXPECT_LE(appends, seconds(2) / limits.append_interval + limits.append_burst);
  EXPECT_GE(appends, seconds(2) / limits.append_interval - 1);
}

TEST_F(ProposalQueueTest, ExpiresOnlyUnsentProposals) {
  queue_.Submit(At(0), AnyRecord(), At(50));
  const auto append = AppendIn(queue_.OnTime(At(10)));
  ASSERT_TRUE(append);
  const auto ticket = queue_.Submit(At(11), AnyRecord(), At(50));
  const auto actions = queue_.OnTime(At(60));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<ReportOutcome>(actions[0]),
            (ReportOutcome{.ticket = *ticket, .outcome = ProposalExpired()}));
  EXPECT_EQ(queue_.unresolved_count(), 1U);
}

TEST_F(ProposalQueueTest, BacksOffAndReportsOutageUntilAppendSucceeds) {
  queue_.Submit(At(0), AnyRecord(), std::nullopt);
  Instant now = At(10);
  const Instant first_failure = now;
  uint32_t tries = 0;
  for (; now < At(10'000); now += milliseconds(1)) {
    if (const auto append = AppendIn(queue_.OnTime(now))) {
      ++tries;
      queue_.OnAppendResult(now, append->append, log::AppendRefused());
    }
  }
  // Delays of 20 ms, doubled up to 2 s, each reduced by at most a half.
  EXPECT_GE(tries, 9U);
  EXPECT_LE(tries, 20U);
  EXPECT_EQ(queue_.unavailable_since(), first_failure);
  const auto append = AppendIn(queue_.OnTime(now + seconds(2)));
  ASSERT_TRUE(append);
  queue_.OnAppendResult(now, append->append,
                        log::Appended{.offset = Offset(1)});
  EXPECT_TRUE(queue_.is_log_available());
}

TEST_F(ProposalQueueTest, OutcomeIsUnknownOnlyAfterSkippedRecords) {
  const auto ticket = queue_.Submit(At(0), AnyRecord(), std::nullopt);
  ASSERT_TRUE(AppendIn(queue_.OnTime(At(10))));
  EXPECT_TRUE(queue_.OnGap(Offset(1)).empty());
  const auto actions = queue_.OnGap(Offset(2));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<ReportOutcome>(actions[0]),
            (ReportOutcome{.ticket = *ticket, .outcome = ProposalUnknown()}));
}

TEST_F(ProposalQueueTest, RefusesTooLargeRecord) {
  records::KeyResolved large;
  large.answer.assign(300'000, 'a');
  EXPECT_FALSE(queue_.Submit(At(0), large, std::nullopt));
  EXPECT_EQ(queue_.last_reason(), SubmitFault::kTooLarge);
}

}  // namespace
}  // namespace papayadrift::proposals
