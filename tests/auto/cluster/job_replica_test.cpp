#include "cluster/job_replica.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/topics.h"
#include "jobs/codec.h"
#include "process_fixture.h"

namespace papayadrift::cluster {
namespace {

const JobId kId("0123456789abcdef");

class JobReplicaTest : public ProcessFixture {
 protected:
  void Store(const std::string& topic, const keyed_log::Record& record) {
    log_.Write({topic, {record}, std::nullopt, std::nullopt}, Instant(),
               [](const keyed_log::AppendResult&) {});
    log_.Settle();
  }
  void CatchUp() {
    replica_.CatchUpOnProgress([](bool) {});
    replica_.CatchUpOnJobs([](bool) {});
    log_.Settle();
  }

  jobs::Directory directory_;
  JobReplica replica_{context(), directory_};
};

TEST_F(JobReplicaTest, FollowsTasksOneByOne) {
  const jobs::TaskKey first{kId, 0, 0, 0};
  const jobs::TaskKey second{kId, 0, 0, 1};
  const jobs::TaskProgress claimed{
      jobs::TaskPhase::kClaimed, 1, 0, {"n", "i", 1}, {}};
  const jobs::TaskProgress done{jobs::TaskPhase::kDone, 1, 0, {}, {}};
  Store(kProgressTopic, {KeyOf(first), jobs::Encode(claimed)});
  Store(kProgressTopic, {KeyOf(second), jobs::Encode(claimed)});
  CatchUp();
  Store(kProgressTopic, {KeyOf(first), jobs::Encode(done)});
  Store(kProgressTopic, {KeyOf(second), {}});
  CatchUp();
  const jobs::StoredProgress expected{jobs::JobOutcome::kOpen, {{first, done}}};
  EXPECT_EQ(replica_.content().progress.at(kId), expected);
}

// Guards against a standby whose count leaves out jobs that wait: their claims
// are stored, and their starts are refused. Earlier versions don't store
// whether a run was started.
TEST_F(JobReplicaTest, JobHasBegunOnceAStartIsKnown) {
  jobs::Job job;
  job.queue = "q";
  Store(kJobsTopic, {KeyOf(kJobPrefix, kId), jobs::Encode(job)});
  const std::string key = KeyOf(jobs::TaskKey{kId, 0, 0, 0});
  jobs::TaskProgress task{jobs::TaskPhase::kClaimed, 1, 0, {"n", "i", 1}, {}};
  Store(kProgressTopic, {key, jobs::Encode(task)});
  CatchUp();
  EXPECT_EQ(directory_.StateOf("q", kId), jobs::JobState::kQueued);
  EXPECT_EQ(directory_.CountQueued("q"), 1U);
  task.phase = jobs::TaskPhase::kWaiting;
  Store(kProgressTopic, {key, jobs::Encode(task)});
  CatchUp();
  EXPECT_EQ(directory_.CountQueued("q"), 1U);
  task.has_started = true;
  Store(kProgressTopic, {key, jobs::Encode(task)});
  CatchUp();
  EXPECT_EQ(directory_.StateOf("q", kId), jobs::JobState::kRunning);
  EXPECT_EQ(directory_.CountQueued("q"), 0U);
  const jobs::TaskProgress done{jobs::TaskPhase::kDone, 1, 0, {}, {}};
  const JobId other("b");
  Store(kJobsTopic, {KeyOf(kJobPrefix, other), jobs::Encode(job)});
  Store(kProgressTopic,
        {KeyOf(jobs::TaskKey{other, 0, 0, 0}), jobs::Encode(done)});
  CatchUp();
  EXPECT_EQ(directory_.StateOf("q", other), jobs::JobState::kRunning);
}

// The records of the tasks that were started have been deleted.
TEST_F(JobReplicaTest, JobWhoseFirstOccurrencesWereDroppedHasBegun) {
  jobs::Job job;
  job.queue = "q";
  Store(kJobsTopic, {KeyOf(kJobPrefix, kId), jobs::Encode(job)});
  Store(kProgressTopic,
        {KeyOf(kOutcomePrefix, kId),
         jobs::Encode(jobs::StoredOutcome{jobs::JobOutcome::kOpen, 9})});
  CatchUp();
  EXPECT_EQ(directory_.StateOf("q", kId), jobs::JobState::kRunning);
  EXPECT_EQ(directory_.CountQueued("q"), 0U);
  EXPECT_EQ(replica_.content().progress.at(kId).first_occurrence, 9U);
}

// Records of other software or of an earlier format are skipped.
TEST_F(JobReplicaTest, SkipsUnreadableRecords) {
  Store(kProgressTopic, {"p/" + kId.text(), "whole progress of a job"});
  Store(kProgressTopic, {KeyOf(jobs::TaskKey{kId, 0, 0, 0}), "torn"});
  Store(kProgressTopic, {KeyOf(kOutcomePrefix, kId), "torn"});
  CatchUp();
  EXPECT_TRUE(replica_.content().progress.empty());
}

// The record that deletes a job expires before the replica has read it.
TEST_F(JobReplicaTest, ReloadsWithoutWhatWasDropped) {
  jobs::Job job;
  job.queue = "q";
  Store(kJobsTopic, {KeyOf(kJobPrefix, kId), jobs::Encode(job)});
  CatchUp();
  ASSERT_EQ(replica_.content().jobs.size(), 1U);
  Store(kJobsTopic, {KeyOf(kJobPrefix, kId), {}});
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("b")), jobs::Encode(job)});
  log_.Expire(kJobsTopic, 2);
  CatchUp();
  ASSERT_EQ(replica_.content().jobs.size(), 1U);
  EXPECT_TRUE(replica_.content().jobs.contains(JobId("b")));
}

// Guards against a cancelled job that runs: a reload reads cancellations before
// jobs, and the listener was told of a cancellation of an unknown job.
TEST_F(JobReplicaTest, ListenerLearnsOfACancellationAfterItsJob) {
  std::vector<std::string> told;
  replica_.SetListener(
      {[&](const JobId& id, const jobs::Job&) {
         told.push_back("job " + id.text());
       },
       [&](const JobId& id) { told.push_back("cancellation " + id.text()); }});
  CatchUp();
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(jobs::Job())});
  Store(kJobsTopic, {KeyOf(kCancelPrefix, JobId("a")), "x"});
  log_.Expire(kJobsTopic, 2);
  CatchUp();
  EXPECT_EQ(told, (std::vector<std::string>{"job a", "cancellation a"}));
}

// Guards against a reader of a half-read state: a reload began with an empty
// one.
TEST_F(JobReplicaTest, KeepsItsStateUntilAReloadIsComplete) {
  const jobs::TaskProgress claimed{
      jobs::TaskPhase::kClaimed, 1, 0, {"n", "i", 1}, {}};
  const jobs::TaskProgress done{jobs::TaskPhase::kDone, 1, 0, {}, {}};
  const jobs::TaskKey first{kId, 0, 0, 0};
  const jobs::TaskKey second{kId, 0, 0, 1};
  log_.set_page_size(1);
  Store(kProgressTopic, {KeyOf(first), jobs::Encode(claimed)});
  Store(kProgressTopic, {KeyOf(second), jobs::Encode(claimed)});
  CatchUp();
  const auto before = replica_.content().progress;
  const uint64_t end_before = replica_.progress_end();
  Store(kProgressTopic, {KeyOf(first), jobs::Encode(done)});
  log_.Expire(kProgressTopic, 3);
  bool is_caught_up = false;
  replica_.CatchUpOnProgress([&](bool it) { is_caught_up = it; });
  // The refused read, two pages, and what was stored after the first page.
  for (int i = 0; i < 4; ++i) {
    EXPECT_FALSE(is_caught_up);
    EXPECT_EQ(replica_.content().progress, before);
    EXPECT_EQ(replica_.progress_end(), end_before);
    log_.AnswerNext();
  }
  EXPECT_TRUE(is_caught_up);
  EXPECT_EQ(replica_.content().progress.at(kId).tasks,
            (std::map<jobs::TaskKey, jobs::TaskProgress>{{first, done},
                                                         {second, claimed}}));
  EXPECT_EQ(replica_.progress_end(), 3U);
}

// An outage in the middle of a reload.
TEST_F(JobReplicaTest, KeepsItsStateIfAReloadFails) {
  log_.set_page_size(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(jobs::Job())});
  CatchUp();
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("b")), jobs::Encode(jobs::Job())});
  log_.Expire(kJobsTopic, 2);
  replica_.CatchUpOnJobs([](bool) {});
  log_.AnswerNext();  // The refused read.
  log_.set_is_down(true);
  log_.Settle();
  EXPECT_EQ(replica_.content().jobs.size(), 1U);
  log_.set_is_down(false);
  CatchUp();
  EXPECT_EQ(replica_.content().jobs.size(), 2U);
}

// A replica of jobs that are submitted, cancelled and deleted while the store
// drops its history or has not answered yet.
class JobReplicaHistoryTest : public JobReplicaTest {
 protected:
  using State = std::pair<std::map<JobId, jobs::Job>, std::set<JobId>>;

  JobReplicaHistoryTest() {
    job_.queue = "q";
    // As a leader's scheduler takes them.
    replica_.SetListener({[this](const JobId& id, const jobs::Job&) {
                            if (added_.insert(id).second) {
                              open_.insert(id);
                            }
                          },
                          [this](const JobId& id) { open_.erase(id); }});
  }

  // Appends the next change of the job's life.
  void Append(const JobId& id) {
    keyed_log::Append append{kJobsTopic, {}, std::nullopt, std::nullopt};
    State state = states_.back();
    if (!submitted_.contains(id)) {
      append.records = {{KeyOf(kJobPrefix, id), jobs::Encode(job_)}};
      submitted_.insert(id);
      state.first.emplace(id, job_);
    } else if (!state.first.contains(id)) {
      return;
    } else if (!state.second.contains(id)) {
      append.records = {{KeyOf(kCancelPrefix, id), "x"}};
      state.second.insert(id);
    } else {
      append.records = {{KeyOf(kJobPrefix, id), {}},
                        {KeyOf(kCancelPrefix, id), {}}};
      state.first.erase(id);
      state.second.erase(id);
    }
    end_ += append.records.size();
    log_.Write(append, Instant(), [](const keyed_log::AppendResult&) {});
    states_.push_back(std::move(state));
  }
  State Current() const {
    return {replica_.content().jobs, replica_.content().cancelled};
  }
  // The state after some of the changes, and the listener's is the same.
  bool IsWhole() const {
    const State current = Current();
    return std::ranges::find(states_, current) != states_.end() &&
           std::ranges::all_of(current.first, [&](const auto& it) {
             return open_.contains(it.first) !=
                    current.second.contains(it.first);
           });
  }

  jobs::Job job_;
  uint64_t end_ = 0;
  std::vector<State> states_{State()};
  std::set<JobId> submitted_;
  std::set<JobId> added_;
  std::set<JobId> open_;
};

// Whatever the store drops and wherever a read is cut, the replica has the
// state after some change, and in the end the last.
RC_GTEST_FIXTURE_PROP(JobReplicaHistoryTest,
                      HasAWholeStateAtAnyTime,
                      (const std::vector<uint8_t>& choices)) {
  log_.set_page_size(*rc::gen::inRange<size_t>(1, 4));
  for (const uint8_t it : choices) {
    switch (it % 6) {
      case 0:
      case 1:
        Append(JobId(std::string(1, static_cast<char>('a' + it / 6 % 4))));
        break;
      case 2:
        log_.Settle();
        log_.Expire(kJobsTopic, end_);
        break;
      case 3:
        replica_.CatchUpOnJobs([](bool) {});
        break;
      case 4:
        replica_.WaitForJobs(milliseconds(1000), [](bool) {});
        break;
      default:
        for (int i = 0; i < it / 6 % 4; ++i) {
          log_.AnswerNext();
          RC_ASSERT(IsWhole());
        }
    }
    RC_ASSERT(IsWhole());
  }
  CatchUp();
  RC_ASSERT(IsWhole());
  RC_ASSERT(Current() == states_.back());
}

}  // namespace
}  // namespace papayadrift::cluster
