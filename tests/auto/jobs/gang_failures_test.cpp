#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

#include "job_scheduler_fixture.h"

// What counts as a failed attempt of a gang: callers allow a number of runs of
// the whole gang, however many of its members fail in each.

namespace papayadrift::jobs {
namespace {

class GangFailuresTest : public JobSchedulerTest {
 protected:
  static Job GangOf(uint32_t tasks) {
    Job job = JobOf(tasks, 100);
    job.steps[0].is_gang = true;
    return job;
  }

  void StartGang(uint32_t tasks) {
    Report(kFirst, 0);
    scheduler_.AddJob(JobId("a"), GangOf(tasks));
    ASSERT_EQ(CountStarts(Orders(0)), tasks);
  }

  EndedRun End(uint32_t index, uint32_t run, RunEnd end) {
    return {++ends_, Task(index), run, end, ""};
  }

  JobOutcome Outcome() {
    Store();
    return stored_[JobId("a")].outcome;
  }

  uint64_t ends_ = 0;
};

// Guards against a gang that is given up after one failed run, in which as many
// members failed as the job may have failed attempts.
TEST_F(GangFailuresTest, MembersThatFailInOneRunAreOneAttempt) {
  constexpr uint32_t kTasks = 40;
  StartGang(kTasks);
  std::vector<EndedRun> ended;
  for (uint32_t i = 0; i < kTasks; ++i) {
    ended.push_back(End(i, 1, RunEnd::kFailed));
  }
  Report(kFirst, 100, {}, ended);
  EXPECT_EQ(Outcome(), JobOutcome::kOpen);
  // The runner is suspended after so many failures.
  Report(kFirst, 5900, {});
  ASSERT_EQ(CountStarts(Orders(5900)), kTasks);
  Report(kFirst, 6000, {}, {End(7, 2, RunEnd::kFailed)});
  EXPECT_EQ(Outcome(), JobOutcome::kFailed);
}

// Guards against a gang that is never given up, since another member fails in
// each run.
TEST_F(GangFailuresTest, RunsInWhichDifferentMembersFailCountEach) {
  StartGang(2);
  Report(kFirst, 100, {},
         {End(0, 1, RunEnd::kFailed), End(1, 1, RunEnd::kStopped)});
  EXPECT_EQ(Outcome(), JobOutcome::kOpen);
  ASSERT_EQ(CountStarts(Orders(200)), 2U);
  Report(kFirst, 300, {},
         {End(1, 2, RunEnd::kFailed), End(0, 2, RunEnd::kFailed)});
  EXPECT_EQ(Outcome(), JobOutcome::kFailed);
}

// Guards against a run that counts twice because one failure was stored by the
// last leader and another one is reported to the next, and against a gang that
// runs on in part.
TEST_F(GangFailuresTest, RunCountsOnceAcrossAChangeOfLeaders) {
  StartGang(3);
  Report(kFirst, 100, {{Task(1), 1, "", 1, 0}, {Task(2), 1, "", 1, 0}},
         {End(0, 1, RunEnd::kFailed)});
  Store();
  std::vector<JobSchedulerEvent> events;
  JobScheduler next(
      JobSchedulerSettings(), At(200),
      [&](const JobSchedulerEvent& event) { events.push_back(event); });
  RouteTable routes;
  routes.queues.resize(1);
  routes.queues[0].name = "q";
  routes.queues[0].service = "s";
  routes.queues[0].max_failures = 2;
  next.SetRoutes(routes);
  next.AddJob(JobId("a"), GangOf(3));
  next.Restore(JobId("a"), stored_.at(JobId("a")));
  const Runner& runner = *next.fleet().Find(kFirst);
  ASSERT_EQ(runner.runs.size(), 2U);
  EXPECT_TRUE(runner.runs.at(Task(1)).is_withdrawn);
  EXPECT_TRUE(runner.runs.at(Task(2)).is_withdrawn);
  RunnerReport report = ReportOf(kFirst);
  report.sent_at_ms = 300;
  report.listed_at_ms = 300;
  report.ended = {End(1, 1, RunEnd::kFailed), End(2, 1, RunEnd::kFailed)};
  next.OnReport(report, At(300));
  EXPECT_EQ(next.open_jobs(), 1U);
}

// Guards against a gang that never ends since the last leader had stored the
// end of some of its members only: a large change takes several appends.
TEST_F(GangFailuresTest, GangThatIsStoredAsDoneInPartIsDone) {
  JobScheduler next(JobSchedulerSettings(), At(200), nullptr);
  Job job = GangOf(3);
  job.steps.push_back(JobOf(1, 100).steps[0]);
  job.steps[1].depends_on = {0};
  next.AddJob(JobId("a"), job);
  RouteTable routes;
  routes.queues.resize(1);
  routes.queues[0].name = "q";
  routes.queues[0].service = "s";
  next.SetRoutes(routes);
  next.Restore(JobId("a"),
               {JobOutcome::kOpen,
                {{Task(0), {TaskPhase::kDone, 1, 0, {}, ""}},
                 {Task(1), {TaskPhase::kClaimed, 1, 0, kSecond, ""}},
                 {Task(2), {TaskPhase::kClaimed, 1, 0, kSecond, ""}}}});
  EXPECT_TRUE(next.fleet().Find(kSecond)->runs.at(Task(1)).is_withdrawn);
  next.OnReport(ReportOf(kFirst), At(300));
  next.OnLeaseGranted(kFirst, At(6300));
  next.OnJobsViewed(At(300));
  next.Advance(At(300), 300);
  const TaskKey second{JobId("a"), 0, 1, 0};
  ASSERT_EQ(next.fleet().Find(kFirst)->runs.size(), 1U);
  EXPECT_EQ(next.fleet().Find(kFirst)->runs.begin()->first, second);
}

// Guards against a run that fails twice in a row without being counted because
// the same member failed in an earlier run.
TEST_F(GangFailuresTest, SameMemberFailsInTwoRuns) {
  StartGang(2);
  Report(kFirst, 100, {},
         {End(0, 1, RunEnd::kFailed), End(1, 1, RunEnd::kStopped)});
  ASSERT_EQ(CountStarts(Orders(200)), 2U);
  Report(kFirst, 300, {},
         {End(0, 2, RunEnd::kFailed), End(1, 2, RunEnd::kStopped)});
  EXPECT_EQ(Outcome(), JobOutcome::kFailed);
}

}  // namespace
}  // namespace papayadrift::jobs
