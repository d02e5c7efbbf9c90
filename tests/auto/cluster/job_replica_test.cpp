#include "cluster/job_replica.h"

#include <gtest/gtest.h>

#include <string>
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

}  // namespace
}  // namespace papayadrift::cluster
