// Jobs with more occurrences than are kept at once.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "job_scheduler_fixture.h"

namespace papayadrift::jobs {
namespace {

constexpr uint32_t kOccurrences = 70'000;
constexpr uint32_t kTasksAtOnce = 4000;
constexpr int64_t kRoundMs = 100;

JobSchedulerSettings LargeRounds() {
  JobSchedulerSettings settings;
  settings.max_claims_per_round = kTasksAtOnce;
  return settings;
}

// A job of one task that is due 70,000 times at once, and a runner that runs
// 4,000 tasks at once.
class RepeatedJobsTest : public JobSchedulerTest {
 protected:
  RepeatedJobsTest() : job_(JobOf(1, 1)) {
    job_.steps[0].need.memory_mebibytes = 1;
    job_.occurrences = kOccurrences;
    job_.first_due_ms = 1;
    ReplaceLeader();
  }

  // The next leader knows what the store has.
  void ReplaceLeader() {
    leader_.emplace(
        LargeRounds(), At(now_ms_),
        [this](const JobSchedulerEvent& event) { events_.push_back(event); },
        At(now_ms_));
    leader_->SetRoutes(Routes());
    leader_->AddJob(kId, job_);
    if (stored_.contains(kId)) {
      leader_->Restore(kId, stored_.at(kId));
    }
  }
  // Reports the ends of the last round, and starts what may start.
  void RunRound() {
    now_ms_ += kRoundMs;
    RunnerReport report = ReportOf(kFirst);
    report.sent_at_ms = report.listed_at_ms = now_ms_;
    report.ended = ends_;
    leader_->OnReport(report, At(now_ms_));
    leader_->OnLeaseGranted(kFirst, At(now_ms_) + LargeRounds().lease);
    Store(*leader_);
    std::erase_if(ends_, [&](const EndedRun& it) {
      return it.number <= leader_->RecordedEnds(kFirst);
    });
    for (const auto& [runner, order] : Orders(*leader_, now_ms_)) {
      const auto* start = std::get_if<StartOrder>(&order);
      ASSERT_NE(start, nullptr);
      ++starts_[start->task.occurrence];
      leader_->OnOrderResult(runner, order, {OrderVerdict::kDone, now_ms_},
                             At(now_ms_));
      ends_.push_back(
          {++last_end_, start->task, start->run, RunEnd::kDone, ""});
    }
  }
  bool IsCompleted() const {
    return stored_.contains(kId) &&
           stored_.at(kId).outcome == JobOutcome::kCompleted;
  }

  const JobId kId{"a"};
  Job job_;
  std::optional<JobScheduler> leader_;
  std::vector<uint32_t> starts_ = std::vector<uint32_t>(kOccurrences);
  std::vector<EndedRun> ends_;  // Not acknowledged.
  uint64_t last_end_ = 0;
  int64_t now_ms_ = 1000;
};

// Guards against a job that is refused, or shown as completed after a part of
// its occurrences, since not all of them are kept at once.
TEST_F(RepeatedJobsTest, AllOccurrencesRunOnce) {
  constexpr int kMaxRounds = 40;
  for (int i = 0; i < kMaxRounds && !IsCompleted(); ++i) {
    RunRound();
    const auto started = static_cast<uint32_t>(
        std::ranges::count_if(starts_, [](uint32_t n) { return n > 0; }));
    ASSERT_TRUE(started == kOccurrences || !IsCompleted());
    // Neither this leader nor the store keeps those that were done long ago.
    EXPECT_LE(stored_[kId].tasks.size(), 25'000U);
  }
  EXPECT_TRUE(IsCompleted());
  EXPECT_EQ(std::ranges::count(starts_, 1U), ptrdiff_t{kOccurrences});
}

// Guards against occurrences that a later leader runs again, since the store
// has no record of their tasks any more.
TEST_F(RepeatedJobsTest, NextLeaderRunsNoDroppedOccurrenceAgain) {
  constexpr int kMaxRounds = 60;
  constexpr int kRoundsOfALeader = 3;
  for (int i = 1; i <= kMaxRounds && !IsCompleted(); ++i) {
    RunRound();
    if (i % kRoundsOfALeader == 0) {
      // Runs that have ended are found in the lists.
      ReplaceLeader();
    }
  }
  EXPECT_TRUE(IsCompleted());
  EXPECT_EQ(std::ranges::count(starts_, 1U), ptrdiff_t{kOccurrences});
}

// The last leader ended after it had stored how far the job is, and before it
// had deleted the records of the tasks.
TEST_F(RepeatedJobsTest, NextLeaderDeletesRecordsOfDroppedOccurrences) {
  while (stored_[kId].first_occurrence == 0) {
    RunRound();
  }
  TaskProgress done;
  done.phase = TaskPhase::kDone;
  done.run = 1;
  const TaskKey left_over{kId, 2, 0, 0};
  stored_.at(kId).tasks[left_over] = done;
  ReplaceLeader();
  Store(*leader_);
  EXPECT_FALSE(stored_.at(kId).tasks.contains(left_over));
  EXPECT_GT(stored_.at(kId).first_occurrence, 0U);
}

// A runner lists ends until they are acknowledged; a later leader sees those of
// occurrences that are done.
TEST_F(RepeatedJobsTest, EndOfADroppedOccurrenceIsAcknowledged) {
  while (stored_[kId].first_occurrence == 0) {
    RunRound();
  }
  ends_ = {{1, {kId, 0, 0, 0}, 1, RunEnd::kDone, ""}};
  ReplaceLeader();
  events_.clear();
  RunRound();
  EXPECT_EQ(leader_->RecordedEnds(kFirst), 1U);
  EXPECT_EQ(std::ranges::count(events_, JobSchedulerEvent::Kind::kEndInvalid,
                               &JobSchedulerEvent::kind),
            0);
  EXPECT_EQ(starts_[0], 1U);
}

TEST_F(RepeatedJobsTest, CancelledJobLeavesNothingInTheStore) {
  while (stored_[kId].first_occurrence == 0) {
    RunRound();
  }
  leader_->Cancel(kId, At(now_ms_));
  RunRound();
  RunRound();
  EXPECT_EQ(stored_.at(kId).outcome, JobOutcome::kCancelled);
  EXPECT_TRUE(stored_.at(kId).tasks.empty());
}

}  // namespace
}  // namespace papayadrift::jobs
