#include "cluster/leader.h"

#include <gtest/gtest.h>

#include <iterator>
#include <map>
#include <optional>
#include <string>

#include "async_http/server.h"
#include "cluster/cluster_metrics.h"
#include "cluster/topics.h"
#include "cluster_http/paths.h"
#include "cluster_http/reports.h"
#include "jobs/codec.h"
#include "process_fixture.h"
#include "support/free_port.h"

namespace papayadrift::cluster {
namespace {

// The agent of a runner that had a task and has ended.
class AgentOfEndedRunner {
 public:
  jobs::TaskProgress ClaimedTask() const {
    jobs::TaskProgress task{jobs::TaskPhase::kClaimed, 1, 0, incarnation_, {}};
    task.has_started = true;
    return task;
  }
  http::Request EndedRunnerRequest() const {
    jobs::RunnerReport report;
    report.incarnation = incarnation_;
    report.state = jobs::RunnerState::kGone;
    http::Request request;
    request.body = jobs::Encode(report);
    return request;
  }

 private:
  const jobs::RunnerIncarnation incarnation_{"agent", "instance", 1};
};

class LeaderTest : public ProcessFixture {
 protected:
  std::shared_ptr<Leader> MakeLeader(const std::string& node) {
    LeaderSettings settings;
    settings.node = node;
    settings.address = "127.0.0.1:1";
    return std::make_shared<Leader>(settings, context(), cluster_metrics_,
                                    directory_, replica_,
                                    [this] { ++end_count_; });
  }
  // Hands a request with a report to the leader.
  static void Report(Leader& leader,
                     const http::Request& request,
                     const async_http::Respond& respond) {
    leader.HandleReport(cluster_http::ReportOf(request),
                        cluster_http::ReplyWith(respond));
  }
  // Reads all stored progress, as a frontend does before it campaigns.
  void CatchUp() {
    replica_.CatchUpOnProgress([](bool) {});
    log_.Settle();
  }

  // Stores a record on behalf of an earlier leader or frontend.
  void Store(const std::string& topic, const keyed_log::Record& record) {
    log_.Write({topic, {record}, std::nullopt, std::nullopt}, Instant(),
               [](const keyed_log::AppendResult&) {});
  }

  ClusterMetrics cluster_metrics_{metrics_};
  jobs::Directory directory_;
  JobReplica replica_{context(), directory_};
  int end_count_ = 0;
};

// Guards against two candidates for one term with the same sequence number: the
// store took the second append for a repeat of the first, and both led.
TEST_F(LeaderTest, OnlyOneOfTwoCandidatesIsElected) {
  const auto first = MakeLeader("node-1");
  const auto second = MakeLeader("node-2");
  first->Campaign();
  second->Campaign();
  log_.Settle();
  EXPECT_EQ(end_count_, 1);
  EXPECT_NE(first->is_leading(), second->is_leading());
  first->Stop({});
  second->Stop({});
}

TEST_F(LeaderTest, CandidateOfAStaleViewIsNotElected) {
  const auto first = MakeLeader("node-1");
  first->Campaign();
  log_.Settle();
  const auto second = MakeLeader("node-2");
  second->Campaign();
  log_.Settle();
  EXPECT_TRUE(first->is_leading());
  EXPECT_FALSE(second->is_leading());
  first->Stop({});
}

// Guards against a task that runs twice: a start that an agent has sent reaches
// the runner's next process after the agent has started again, too.
TEST_F(LeaderTest, AgentThatStartsAgainCallsInALaterEpoch) {
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.Settle();
  jobs::RunnerReport report;
  report.incarnation = {"agent", "instance", 1};
  report.agent_start_unix_ms = 1;
  report.call_epoch = 5;
  const auto epoch_of_answer = [&] {
    http::Request request;
    request.body = jobs::Encode(report);
    std::optional<jobs::ReportAnswer> answer;
    Report(*leader, request, [&](const http::Response& it) {
      answer = jobs::Decode<jobs::ReportAnswer>(it.body);
    });
    return answer ? answer->call_epoch : 0;
  };
  EXPECT_EQ(epoch_of_answer(), 5U);
  report.agent_start_unix_ms = 2;
  report.call_epoch = 0;
  EXPECT_GT(epoch_of_answer(), 5U);
  leader->Stop({});
}

// Guards against a leader without connection to the store that keeps its agents
// until their leases have expired, although another one was elected.
TEST_F(LeaderTest, UnconfirmedLeaderRejectsReports) {
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.Settle();
  jobs::RunnerReport report;
  report.incarnation = {"agent", "instance", 1};
  http::Request request;
  request.body = jobs::Encode(report);
  int status = 0;
  const auto respond = [&](const http::Response& it) { status = it.status; };
  Report(*leader, request, respond);
  EXPECT_EQ(status, 200);
  clock_.Advance(LeaderSettings().confirmation_timeout + milliseconds(1));
  Report(*leader, request, respond);
  EXPECT_EQ(status, 409);
  EXPECT_TRUE(leader->is_leading());
  EXPECT_FALSE(leader->is_confirmed());
  leader->Stop({});
}

// Guards against a task that runs twice: its runner listed its end to a leader
// that had been deposed before the task was claimed, and took it for no run
// that matters.
TEST_F(LeaderTest, ReplacedLeaderAcknowledgesNoEndThatItDoesNotKnow) {
  const auto deposed = MakeLeader("node-1");
  deposed->Campaign();
  log_.Settle();
  CatchUp();
  const auto leader = MakeLeader("node-2");
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(deposed->is_confirmed());
  ASSERT_TRUE(leader->is_confirmed());
  jobs::RunnerReport report;
  report.incarnation = {"agent", "instance", 1};
  report.sent_at_ms = report.listed_at_ms = 1;
  report.ended = {{1, {JobId("a"), 0, 0, 0}, 1, jobs::RunEnd::kDone, ""}};
  http::Request request;
  request.body = jobs::Encode(report);
  std::optional<http::Response> response;
  Report(*deposed, request, [&](const http::Response& it) { response = it; });
  clock_.Advance(LeaderSettings().report_timeout);
  while (!response) {
    // The leader's own timer triggers the next step.
    ASSERT_GT(loop_.run_one(), 0U);
  }
  const auto answer = jobs::Decode<jobs::ReportAnswer>(response->body);
  EXPECT_EQ(answer ? answer->recorded_ends : 0, 0U);
  deposed->Stop({});
  leader->Stop({});
}

// Guards against a job that is shown as completed and runs again: the leader
// told callers of the outcome when it began to store it, and was deposed.
TEST_F(LeaderTest, OutcomeIsShownOnlyOnceItIsStored) {
  const jobs::TaskKey task{JobId("a"), 0, 0, 0};
  const AgentOfEndedRunner agent;
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, task.job), jobs::Encode(job)});
  Store(kProgressTopic, {KeyOf(task), jobs::Encode(agent.ClaimedTask())});
  const auto leader = MakeLeader("node-1");
  CatchUp();
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  jobs::RunnerReport report;
  report.incarnation = agent.ClaimedTask().incarnation;
  report.sent_at_ms = report.listed_at_ms = 1;
  report.ended = {{1, task, 1, jobs::RunEnd::kDone, ""}};
  http::Request request;
  request.body = jobs::Encode(report);
  clock_.Advance(LeaderSettings().min_append_interval);
  const size_t appends = log_.append_count();
  Report(*leader, request, [](const http::Response&) {});
  while (log_.append_count() == appends) {
    // The leader's own timer triggers the next step.
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_EQ(directory_.StateOf("q", task.job), jobs::JobState::kRunning);
  log_.Settle();
  EXPECT_EQ(directory_.StateOf("q", task.job), jobs::JobState::kCompleted);
  leader->Stop({});
}

// Guards against a leader that stands still since the end of a large job is
// more than the store takes at once, and against a job that runs again: its
// next leader may know only of the first of several appends.
TEST_F(LeaderTest, EndOfALargeJobIsStoredInSeveralAppends) {
  constexpr uint32_t kTasks = 4000;
  log_.set_limits({4096, 16384});
  const JobId id("a");
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  job.steps[0].count = kTasks;
  Store(kJobsTopic, {KeyOf(kJobPrefix, id), jobs::Encode(job)});
  for (uint32_t i = 0; i < kTasks; ++i) {
    Store(kProgressTopic,
          {KeyOf(jobs::TaskKey{id, 0, 0, i}),
           jobs::Encode(jobs::TaskProgress{jobs::TaskPhase::kWaiting, 1})});
  }
  log_.Settle();
  const auto leader = MakeLeader("node-1");
  CatchUp();
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  const uint64_t end = log_.end_of(kProgressTopic);
  const size_t appends = log_.append_count();
  clock_.Advance(LeaderSettings().min_append_interval);
  ASSERT_TRUE(leader->OnCancelled(id));
  while (log_.append_count() == appends) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  log_.Settle();
  EXPECT_GE(log_.end_of(kProgressTopic), end + 1 + kTasks);
  EXPECT_GE(log_.append_count(), appends + 4);
  EXPECT_FALSE(leader->scheduler()->has_changes());
  std::vector<std::string> keys;
  log_.Read(
      kProgressTopic, end, milliseconds(0), Instant(),
      [&](const keyed_log::ReadResult& result) {
        for (const auto& it : std::get<keyed_log::Records>(result).records) {
          keys.push_back(it.record.key);
        }
      });
  log_.Settle();
  ASSERT_FALSE(keys.empty());
  EXPECT_EQ(keys.front(), KeyOf(kOutcomePrefix, id));
  leader->Stop({});
}

// Guards against a task that stands still for longer than users allow: the next
// leader waited for a lease from its election on, though the last one can have
// granted none after its last record.
TEST_F(LeaderTest, LeaseOfTheLastLeaderIsCountedFromItsLastRecord) {
  const jobs::TaskKey task{JobId("a"), 0, 0, 0};
  jobs::Job job;
  job.steps.resize(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, task.job), jobs::Encode(job)});
  Store(kProgressTopic,
        {KeyOf(task), jobs::Encode(AgentOfEndedRunner().ClaimedTask())});
  const auto leader = MakeLeader("node-1");
  CatchUp();
  const jobs::JobSchedulerSettings settings;
  clock_.Advance(settings.lease * (100 + settings.clock_error_percent) / 100 +
                 settings.lease_expiry_margin - settings.takeover_report_time);
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  clock_.Advance(settings.takeover_report_time + milliseconds(1));
  constexpr int kSteps = 5;
  for (int i = 0; i < kSteps; ++i) {
    // The leader's own timer triggers the next step.
    ASSERT_GT(loop_.run_one(), 0U);
    log_.Settle();
  }
  CatchUp();
  EXPECT_EQ(replica_.content().progress.at(task.job).tasks.at(task).phase,
            jobs::TaskPhase::kWaiting);
  leader->Stop({});
}

// Guards against an agent that exits after telling a leader without connection
// to the store that its runner has ended: the next leaders had to wait until
// the lease expired.
TEST_F(LeaderTest, RunnerEndIsAcknowledgedOnceStored) {
  const AgentOfEndedRunner agent;
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  Store(kProgressTopic,
        {KeyOf({JobId("a"), 0, 0, 0}), jobs::Encode(agent.ClaimedTask())});
  const auto leader = MakeLeader("node-1");
  CatchUp();
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  int status = 0;
  log_.set_is_down(true);
  Report(*leader, agent.EndedRunnerRequest(),
         [&](const http::Response& it) { status = it.status; });
  loop_.poll();
  EXPECT_EQ(status, 0);
  clock_.Advance(LeaderSettings().report_timeout);
  while (status == 0) {
    // The leader's own timer triggers the next step.
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_EQ(status, 409);
  leader->Stop({});
}

// Guards against a job that is shown as completed and started again: the append
// never arrived, and the next leader did not know of the end.
TEST_F(LeaderTest, JobIsShownAsCompletedOnceThatIsStored) {
  const AgentOfEndedRunner agent;
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  const jobs::TaskKey task{JobId("a"), 0, 0, 0};
  Store(kJobsTopic, {KeyOf(kJobPrefix, task.job), jobs::Encode(job)});
  Store(kProgressTopic, {KeyOf(task), jobs::Encode(agent.ClaimedTask())});
  const auto leader = MakeLeader("node-1");
  CatchUp();
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  clock_.Advance(LeaderSettings().min_append_interval);
  jobs::RunnerReport report;
  report.incarnation = agent.ClaimedTask().incarnation;
  report.sent_at_ms = report.listed_at_ms = 1;
  report.ended = {{1, task, 1, jobs::RunEnd::kDone, {}}};
  http::Request request;
  request.body = jobs::Encode(report);
  const size_t appends = log_.append_count();
  Report(*leader, request, [](const http::Response&) {});
  while (log_.append_count() == appends) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_EQ(directory_.StateOf("q", task.job), jobs::JobState::kRunning);
  log_.Settle();
  EXPECT_EQ(directory_.StateOf("q", task.job), jobs::JobState::kCompleted);
  leader->Stop({});
}

// Guards against a runner that gets a lease while a start that was given up is
// still on its way to it.
TEST_F(LeaderTest, NoLeaseBeforeRunsThatWereGivenUpAreStopped) {
  const AgentOfEndedRunner agent;
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  Store(kProgressTopic,
        {KeyOf({JobId("a"), 0, 0, 0}), jobs::Encode(agent.ClaimedTask())});
  const auto leader = MakeLeader("node-1");
  CatchUp();
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  Report(*leader, agent.EndedRunnerRequest(), [](const http::Response&) {});
  const auto lease_of = [&](const std::string& node) {
    jobs::RunnerReport report;
    report.incarnation = agent.ClaimedTask().incarnation;
    report.incarnation.node = node;
    report.sent_at_ms = report.listed_at_ms = 1;
    http::Request request;
    request.body = jobs::Encode(report);
    std::optional<jobs::ReportAnswer> answer;
    Report(*leader, request, [&](const http::Response& it) {
      answer = jobs::Decode<jobs::ReportAnswer>(it.body);
    });
    return answer ? answer->lease_until_ms : -1;
  };
  EXPECT_EQ(lease_of("agent"), 0);
  EXPECT_GT(lease_of("other"), 0);
  leader->Stop({});
}

// Guards against a leader that decides anew for each of hundreds of reports a
// second, although what it decides waits for the next append.
TEST_F(LeaderTest, ReportsDuringAnAppendWaitForItsEnd) {
  constexpr uint64_t kReports = 20;
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(jobs::Job())});
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  const auto rounds = [&] {
    return metrics_
        .AddHistogram("papayadrift_leader_step_seconds",
                      "Time that the leader takes for one round of decisions.")
        .count();
  };
  jobs::RunnerReport report;
  report.state = jobs::RunnerState::kGone;
  const auto report_end_of = [&](uint64_t node) {
    report.incarnation = {std::to_string(node), "instance", 1};
    http::Request request;
    request.body = jobs::Encode(report);
    Report(*leader, request, [](const http::Response&) {});
    loop_.poll();
  };
  clock_.Advance(LeaderSettings().heartbeat_period);
  // Begins an append.
  const uint64_t first = rounds();
  ASSERT_TRUE(leader->OnCancelled(JobId("a")));
  while (rounds() == first) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  const uint64_t before = rounds();
  for (uint64_t i = 0; i < kReports; ++i) {
    report_end_of(i);
  }
  // The leader's own timer may bring a few.
  EXPECT_LE(rounds() - before, kReports / 4);
  log_.Settle();
  EXPECT_GT(rounds() - before, 0U);
  leader->Stop({});
}

// Guards against cancellations that are read late, since more reports arrive in
// each turn of the event loop than a small VM can process.
TEST_F(LeaderTest, ReportsTakeTurnsWithOtherWork) {
  const size_t limit = LeaderSettings().max_reports_per_round;
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  std::map<std::string, int> statuses;
  const auto report_from = [&](const std::string& node) {
    jobs::RunnerReport report;
    report.incarnation = {node, "instance", 1};
    http::Request request;
    request.headers[cluster_http::kReporterHeader] = ReporterOf(report);
    request.body = jobs::Encode(report);
    Report(*leader, request, [&statuses, node](const http::Response& it) {
      statuses[node] = it.status;
    });
  };
  const std::string last = std::to_string(limit * 3);
  for (size_t i = 0; i <= limit * 3; ++i) {
    report_from(std::to_string(i));
  }
  EXPECT_EQ(statuses.size(), limit);
  ASSERT_GT(loop_.run_one(), 0U);  // A round of decisions.
  EXPECT_EQ(statuses.size(), limit * 2);
  EXPECT_FALSE(statuses.contains(last));
  report_from(last);
  EXPECT_EQ(statuses[last], 409);  // The earlier of the two, which is not read.
  leader->Stop({});
  EXPECT_EQ(statuses.size(), limit * 3 + 1);  // Nobody waits for an answer.
}

TEST_F(LeaderTest, StoppedLeaderStoresItsResignation) {
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.Settle();
  leader->Stop({});
  log_.Settle();
  std::optional<jobs::LeaderRecord> last;
  log_.ReadNewest(
      kProgressTopic, {}, Instant(), [&](const keyed_log::ReadResult& result) {
        last = jobs::Decode<jobs::LeaderRecord>(
            std::get<keyed_log::Records>(result).records.at(0).record.value);
      });
  log_.Settle();
  ASSERT_TRUE(last);
  EXPECT_TRUE(last->has_resigned);
}

// Guards against a new leader that starts without the learned weights, and so
// does not know which tasks slow down which others.
TEST_F(LeaderTest, LearnedWeightsPassToTheNextLeader) {
  const jobs::LearnedModel learned{{{"serving", "filler", 8.0, 2.0}}, {}};
  Store(kProgressTopic, {kLearnedKey, jobs::Encode(learned)});
  const auto leader = MakeLeader("node-1");
  CatchUp();
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->scheduler());
  ASSERT_EQ(leader->scheduler()->learned().weights.size(), 1U);
  EXPECT_NEAR(leader->scheduler()->learned().weights[0].mean, 8.0, 1e-9);
  clock_.Advance(LeaderSettings().learned_period);
  leader->SetRoutes({});
  loop_.poll();
  log_.Settle();
  std::optional<jobs::LearnedModel> stored;
  log_.ReadNewest(
      kProgressTopic, {}, Instant(), [&](const keyed_log::ReadResult& result) {
        for (const auto& it : std::get<keyed_log::Records>(result).records) {
          if (it.record.key == kLearnedKey && it.offset > 0) {
            stored = jobs::Decode<jobs::LearnedModel>(it.record.value);
          }
        }
      });
  log_.Settle();
  ASSERT_TRUE(stored);
  EXPECT_EQ(*stored, leader->scheduler()->learned());
  leader->Stop({});
}

// Covers a rolling restart of all frontends while the store is slow. Guards
// against each new leader reading everything that is stored, and being stopped
// before it had stopped the tasks of a cancelled job.
TEST_F(LeaderTest, LeaderBeginsWithinOneAppend) {
  constexpr int kJobs = 40;
  jobs::Job job;
  job.steps.resize(1);
  for (int i = 0; i < kJobs; ++i) {
    Store(kJobsTopic,
          {KeyOf(kJobPrefix, JobId(std::to_string(i))), jobs::Encode(job)});
  }
  log_.set_page_size(10);
  replica_.CatchUpOnJobs([](bool) {});
  CatchUp();
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.AnswerNext();  // The candidacy.
  log_.AnswerNext();  // Jobs stored since the last read.
  EXPECT_TRUE(leader->is_leading());
  ASSERT_TRUE(leader->scheduler());
  EXPECT_EQ(leader->scheduler()->open_jobs(), static_cast<size_t>(kJobs));
  leader->Stop({});
}

TEST_F(LeaderTest, CancelledJobsAreClosedByTheNextLeader) {
  jobs::Job job;
  job.steps.resize(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  CatchUp();
  // After the replica's last read.
  Store(kJobsTopic, {KeyOf(kCancelPrefix, JobId("a")), "x"});
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  EXPECT_EQ(leader->scheduler()->open_jobs(), 0U);
  leader->Stop({});
}

// Guards against a leader that stops a job only when it has read from the store
// what a frontend has told it.
TEST_F(LeaderTest, JobIsStoppedBeforeItsCancellationIsRead) {
  jobs::Job job;
  job.steps.resize(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  const auto leader = MakeLeader("node-1");
  EXPECT_FALSE(leader->OnCancelled(JobId("a")));
  leader->Campaign();
  log_.Settle();
  ASSERT_EQ(leader->scheduler()->open_jobs(), 1U);
  EXPECT_FALSE(leader->OnCancelled(JobId("none")));
  EXPECT_TRUE(leader->OnCancelled(JobId("a")));
  EXPECT_EQ(leader->scheduler()->open_jobs(), 0U);
  leader->Stop({});
}

// Guards against a cancelled job that runs: after the store had dropped its
// history, the leader read cancellations before jobs.
TEST_F(LeaderTest, CancellationThatIsReadBeforeItsJobHolds) {
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  jobs::Job job;
  job.steps.resize(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  Store(kJobsTopic, {KeyOf(kCancelPrefix, JobId("a")), "x"});
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("b")), jobs::Encode(job)});
  log_.Expire(kJobsTopic, 3);
  log_.Settle();
  EXPECT_EQ(leader->scheduler()->open_jobs(), 1U);
  leader->Stop({});
}

// Guards against a cancelled task that starts seconds after its caller was
// told: a leader that was late in reading the cancellations went on placing
// tasks.
TEST_F(LeaderTest, PlacesNothingOnAnOldViewOfTheJobs) {
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  job.steps[0].count = 1;
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  jobs::RouteTable routes;
  routes.version = 1;
  routes.queues.resize(1);
  routes.queues[0].name = "q";
  routes.queues[0].service = "s";
  const auto leader = MakeLeader("node-1");
  leader->SetRoutes(routes);
  const auto step = [&] {
    ASSERT_GT(loop_.run_one(), 0U);  // The leader's own timer.
    log_.Settle();
  };
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  // Meanwhile the store confirms the leader, but answers no read of the jobs.
  constexpr milliseconds kCancellationLimit(3000);
  const Instant viewed_at = clock_.Now();
  while (clock_.Now() - viewed_at < kCancellationLimit) {
    clock_.Advance(LeaderSettings().heartbeat_period);
    step();
  }
  jobs::RunnerReport report;
  report.incarnation = {"agent", "instance", 1};
  report.service = "s";
  report.sent_at_ms = report.listed_at_ms = 1;
  http::Request request;
  request.body = jobs::Encode(report);
  Report(*leader, request, [](const http::Response&) {});
  step();
  const auto run_count = [&] {
    const jobs::Runner* runner =
        leader->scheduler()->fleet().Find(report.incarnation);
    return runner == nullptr ? 0 : runner->runs.size();
  };
  EXPECT_EQ(run_count(), 0U);
  for (const char* id : {"b", "c"}) {
    // Answers the read, and the one after it.
    Store(kJobsTopic, {KeyOf(kCancelPrefix, JobId(id)), "x"});
    log_.Settle();
  }
  step();
  EXPECT_EQ(run_count(), 1U);
  leader->Stop({});
}

// Guards against orders that name the time at which they are sent as that of
// the view that they rest on.
TEST_F(LeaderTest, OrdersTellWhenTheJobsWereRead) {
  std::optional<jobs::OrderBatch> batch;
  const std::string address = FreeAddress();
  async_http::Server agent(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        batch = jobs::Decode<jobs::OrderBatch>(request.body);
        respond({409, {}, {}});
      });
  ASSERT_TRUE(agent.Open());
  clock_.Advance(milliseconds(10'000));
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  job.steps[0].count = 1;
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  jobs::RouteTable routes;
  routes.version = 1;
  routes.queues.resize(1);
  routes.queues[0].name = "q";
  routes.queues[0].service = "s";
  const auto leader = MakeLeader("node-1");
  leader->SetRoutes(routes);
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  const int64_t viewed_at_ms = 10'000;
  constexpr milliseconds kAge(700);
  clock_.Advance(kAge);
  constexpr int64_t kLeadMs = 5000;
  for (int i = 0; i < 100 && !batch; ++i) {
    jobs::RunnerReport report;
    report.incarnation = {"agent", "instance", 1};
    report.agent_address = address;
    report.service = "s";
    report.sent_at_ms = report.listed_at_ms =
        viewed_at_ms + kAge.count() + kLeadMs;
    http::Request request;
    request.body = jobs::Encode(report);
    Report(*leader, request, [](const http::Response&) {});
    ASSERT_GT(loop_.run_one(), 0U);
    log_.Settle();
  }
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->jobs_viewed_at_ms, viewed_at_ms + kLeadMs);
  leader->Stop({});
}

// Guards against a new leader whose starts rest on an older view than their
// orders say: it had read the jobs when it began to campaign, and the answer to
// its candidacy was lost twice.
TEST_F(LeaderTest, ViewOfANewLeaderIsAsOldAsItsRead) {
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  job.steps[0].count = 1;
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  jobs::RouteTable routes;
  routes.version = 1;
  routes.queues.resize(1);
  routes.queues[0].name = "q";
  routes.queues[0].service = "s";
  log_.Settle();
  const Instant viewed_at = clock_.Now();
  const auto leader = MakeLeader("node-1");
  leader->SetRoutes(routes);
  log_.set_loses_answers(true);
  leader->Campaign();
  for (int i = 0; i < 4; ++i) {
    log_.AnswerNext();  // In turn those of the candidacy and of the jobs.
  }
  log_.set_loses_answers(false);
  ASSERT_EQ(replica_.jobs_caught_up_at(), viewed_at);
  ASSERT_EQ(replica_.content().jobs.size(), 1U);
  ASSERT_FALSE(leader->is_leading());
  clock_.Advance(milliseconds(3000));
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  ASSERT_EQ(replica_.jobs_caught_up_at(), viewed_at);
  jobs::RunnerReport report;
  report.incarnation = {"agent", "instance", 1};
  report.service = "s";
  for (int i = 1; i <= 3; ++i) {
    report.sent_at_ms = report.listed_at_ms = i;
    http::Request request;
    request.body = jobs::Encode(report);
    Report(*leader, request, [](const http::Response&) {});
    ASSERT_GT(loop_.run_one(), 0U);  // The leader's own timer.
    log_.Settle();
  }
  ASSERT_EQ(replica_.jobs_caught_up_at(), viewed_at);
  const jobs::Runner* runner =
      leader->scheduler()->fleet().Find(report.incarnation);
  ASSERT_NE(runner, nullptr);
  EXPECT_TRUE(runner->runs.empty());
  leader->Stop({});
}

// Guards against an agent that is sent away with the end of its runner again
// and again, since its report had waited for its turn as long as answers may
// take.
TEST_F(LeaderTest, EndThatHasWaitedForItsTurnIsAcknowledgedOnceStored) {
  const AgentOfEndedRunner agent;
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  Store(kProgressTopic,
        {KeyOf({JobId("a"), 0, 0, 0}), jobs::Encode(agent.ClaimedTask())});
  const auto leader = MakeLeader("node-1");
  CatchUp();
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  for (size_t i = 0; i < LeaderSettings().max_reports_per_round; ++i) {
    jobs::RunnerReport report;
    report.incarnation = {std::to_string(i), "instance", 1};
    http::Request request;
    request.body = jobs::Encode(report);
    Report(*leader, request, [](const http::Response&) {});
  }
  int status = 0;
  Report(*leader, agent.EndedRunnerRequest(),
         [&](const http::Response& it) { status = it.status; });
  clock_.Advance(LeaderSettings().report_timeout);
  ASSERT_GT(loop_.run_one(), 0U);  // The round.
  EXPECT_EQ(status, 0);
  log_.Settle();
  EXPECT_EQ(status, 200);
  leader->Stop({});
}

// Guards against an accepted job that is lost: a leader that was suspended when
// it was to store the job's outcome wakes up after the retention time. By then
// another one leads.
TEST_F(LeaderTest, DeposedLeaderDeletesNoJobWhoseOutcomeIsNotStored) {
  const AgentOfEndedRunner agent;
  const jobs::TaskKey task{JobId("a"), 0, 0, 0};
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  job.steps[0].count = 1;
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  Store(kProgressTopic, {KeyOf(task), jobs::Encode(agent.ClaimedTask())});
  const auto leader = MakeLeader("node-1");
  CatchUp();
  leader->Campaign();
  log_.Settle();
  ASSERT_EQ(leader->scheduler()->open_jobs(), 1U);
  jobs::LeaderRecord later{2, "node-2", "127.0.0.1:2"};
  log_.Write({kProgressTopic,
              {{kLeaderKey, jobs::Encode(later)}},
              std::nullopt,
              keyed_log::Writer{kLeaderWriter, later.term, 1}},
             Instant(), [](const keyed_log::AppendResult&) {});
  jobs::RunnerReport report;
  report.incarnation = agent.ClaimedTask().incarnation;
  report.sent_at_ms = report.listed_at_ms = 1;
  report.ended = {{1, task, 1, jobs::RunEnd::kDone, {}}};
  http::Request request;
  request.body = jobs::Encode(report);
  Report(*leader, request, [](const http::Response&) {});
  ASSERT_EQ(leader->scheduler()->open_jobs(), 0U);
  ASSERT_GT(loop_.run_one(), 0U);  // Sends the append of the outcome.
  clock_.Advance(LeaderSettings().scheduler.retention + seconds(60));
  ASSERT_GT(loop_.run_one(), 0U);
  log_.Settle();
  EXPECT_EQ(end_count_, 1);
  jobs::Directory directory;
  JobReplica replica(context(), directory);
  replica.CatchUpOnJobs([](bool) {});
  log_.Settle();
  EXPECT_TRUE(replica.content().jobs.contains(JobId("a")));
}

// Guards against ends, and crashes, that are lost since the report of the next
// process of a runner took the place of the one that told of them.
TEST_F(LeaderTest, ReportOfARestartedRunnerOvertakesNoEnds) {
  const AgentOfEndedRunner agent;
  const jobs::TaskKey task{JobId("a"), 0, 0, 0};
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  job.steps[0].count = 1;
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  Store(kProgressTopic, {KeyOf(task), jobs::Encode(agent.ClaimedTask())});
  const auto leader = MakeLeader("node-1");
  CatchUp();
  leader->Campaign();
  log_.Settle();
  ASSERT_EQ(leader->scheduler()->open_jobs(), 1U);
  const auto send = [&](const jobs::RunnerReport& report) {
    http::Request request;
    request.headers[cluster_http::kReporterHeader] = ReporterOf(report);
    request.body = jobs::Encode(report);
    Report(*leader, request, [](const http::Response&) {});
  };
  jobs::RunnerReport report;
  report.sent_at_ms = report.listed_at_ms = 1;
  for (size_t i = 0; i < LeaderSettings().max_reports_per_round; ++i) {
    report.incarnation = {std::to_string(i), "instance", 1};
    send(report);
  }
  report.incarnation = agent.ClaimedTask().incarnation;
  report.ended = {{1, task, 1, jobs::RunEnd::kDone, {}}};
  send(report);
  report.incarnation = {"agent", "next", 2};
  report.sent_at_ms = report.listed_at_ms = 2;
  report.ended.clear();
  send(report);
  ASSERT_GT(loop_.run_one(), 0U);  // The round.
  log_.Settle();
  EXPECT_EQ(leader->scheduler()->open_jobs(), 0U);
  leader->Stop({});
}

// Guards against a leader that begins without the claims of the last one: a
// caller's query made the replica reload while the candidacy was in flight.
TEST_F(LeaderTest, LeaderBeginsFromAWholeState) {
  const AgentOfEndedRunner agent;
  jobs::Job job;
  job.steps.resize(1);
  for (const char* id : {"a", "b"}) {
    Store(kJobsTopic, {KeyOf(kJobPrefix, JobId(id)), jobs::Encode(job)});
    Store(kProgressTopic,
          {KeyOf({JobId(id), 0, 0, 0}), jobs::Encode(agent.ClaimedTask())});
  }
  log_.set_page_size(1);
  CatchUp();
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  replica_.CatchUpOnProgress([](bool) {});
  log_.AnswerNext();  // The candidacy.
  log_.Expire(kProgressTopic, 3);
  for (int i = 0; i < 20 && !leader->is_leading(); ++i) {
    log_.AnswerNext();
  }
  ASSERT_TRUE(leader->is_leading());
  const jobs::Runner* runner =
      leader->scheduler()->fleet().Find(agent.ClaimedTask().incarnation);
  ASSERT_NE(runner, nullptr);
  EXPECT_EQ(std::distance(runner->runs.begin(), runner->runs.end()), 2);
  leader->Stop({});
}

// Guards against a leader that resigns while an append is in flight: the store
// received both out of order and refused the resignation.
TEST_F(LeaderTest, LeaderResignsAfterItsLastAppend) {
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.AnswerNext();  // The candidacy; the address and the jobs are in flight.
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  clock_.Advance(LeaderSettings().heartbeat_period);
  leader->SetRoutes({});
  loop_.poll();
  const size_t before = log_.append_count();
  const FrontendRecord successor{"node-2", "127.0.0.1:1", 1, 1000};
  leader->Stop(successor);
  EXPECT_FALSE(leader->is_leading());
  EXPECT_EQ(log_.append_count(), before);
  EXPECT_EQ(end_count_, 0);
  log_.Settle();
  EXPECT_EQ(end_count_, 1);
  CatchUp();
  EXPECT_TRUE(replica_.leader().has_resigned);
  EXPECT_EQ(replica_.leader().successor, "node-2");
}

TEST_F(LeaderTest, AgentAddressesPassToTheNextLeader) {
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.Settle();
  jobs::RunnerReport report;
  report.incarnation = {"agent", "instance", 1};
  report.agent_address = "127.0.0.1:2";
  http::Request request;
  request.body = jobs::Encode(report);
  Report(*leader, request, [](const http::Response&) {});
  leader->Stop({});
  log_.Settle();
  CatchUp();
  const jobs::AgentList expected{{{"agent", "127.0.0.1:2"}}};
  EXPECT_EQ(replica_.content().agents, expected);
}

TEST_F(LeaderTest, LeaderPublishesItsAddress) {
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.Settle();
  std::optional<jobs::LeaderRecord> found;
  log_.ReadNewest(
      kLeaderTopic, {}, Instant(), [&](const keyed_log::ReadResult& result) {
        found = jobs::Decode<jobs::LeaderRecord>(
            std::get<keyed_log::Records>(result).records.at(0).record.value);
      });
  log_.Settle();
  ASSERT_TRUE(found);
  EXPECT_EQ(found->address, "127.0.0.1:1");
  leader->Stop({});
}

// Guards against a completion that is acknowledged and forgotten: its run was
// started by a later leader, so the earlier one, not yet told so by the store,
// knew nothing of it, and took that for stored.
TEST_F(LeaderTest, DeposedLeaderAcknowledgesNoEndThatItDoesNotKnow) {
  const jobs::TaskKey task{JobId("a"), 0, 0, 0};
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  CatchUp();
  const auto leader = MakeLeader("node-1");
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  const AgentOfEndedRunner agent;
  log_.Write({kProgressTopic,
              {{KeyOf(task), jobs::Encode(agent.ClaimedTask())}},
              std::nullopt,
              keyed_log::Writer{kLeaderWriter, leader->term() + 1, 1}},
             Instant(), [](const keyed_log::AppendResult&) {});
  log_.Settle();
  jobs::RunnerReport report;
  report.incarnation = agent.ClaimedTask().incarnation;
  report.sent_at_ms = report.listed_at_ms = 1;
  report.ended = {{1, task, 1, jobs::RunEnd::kDone, {}}};
  http::Request request;
  request.body = jobs::Encode(report);
  uint64_t recorded_ends = 0;
  Report(*leader, request, [&](const http::Response& it) {
    if (const auto answer = jobs::Decode<jobs::ReportAnswer>(it.body)) {
      recorded_ends = answer->recorded_ends;
    }
  });
  clock_.Advance(LeaderSettings().report_timeout);
  ASSERT_GT(loop_.run_one(), 0U);
  log_.Settle();
  EXPECT_EQ(recorded_ends, 0U);
  leader->Stop({});
}

// Guards against leases that nobody counts: the leader was paused between a
// report and its answer, and had given the runner up before it answered.
TEST_F(LeaderTest, RunnerThatWasGivenUpGetsNoLeaseForAnEarlierReport) {
  constexpr milliseconds kPause(2100);
  const AgentOfEndedRunner agent;
  const jobs::TaskKey task{JobId("a"), 0, 0, 0};
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, JobId("a")), jobs::Encode(job)});
  Store(kProgressTopic, {KeyOf(task), jobs::Encode(agent.ClaimedTask())});
  const auto leader = MakeLeader("node-1");
  CatchUp();
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  clock_.Advance(LeaderSettings().scheduler.lease);
  ASSERT_GT(loop_.run_one(), 0U);  // Begins an append, which confirms the term.
  log_.Settle();
  ASSERT_TRUE(leader->is_confirmed());
  jobs::RunnerReport report;
  report.incarnation = agent.ClaimedTask().incarnation;
  report.sent_at_ms = report.listed_at_ms = 1;
  report.ended = {{1, task, 1, jobs::RunEnd::kDone, {}}};
  http::Request request;
  request.body = jobs::Encode(report);
  int64_t lease_until_ms = 0;
  Report(*leader, request, [&](const http::Response& it) {
    if (const auto answer = jobs::Decode<jobs::ReportAnswer>(it.body)) {
      lease_until_ms = answer->lease_until_ms;
    }
  });
  clock_.Advance(kPause);
  while (leader->scheduler()->fleet().Find(report.incarnation) != nullptr) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  loop_.poll();
  EXPECT_EQ(lease_until_ms, 0);
  leader->Stop({});
}

// Guards against a job that is shown as completed and runs again: a leader that
// the store had replaced told its frontend of the outcome before it was stored,
// and the append was rejected.
TEST_F(LeaderTest, JobOfARejectedAppendIsNotShownAsCompleted) {
  const AgentOfEndedRunner agent;
  const JobId id("a");
  const jobs::TaskKey task{id, 0, 0, 0};
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  Store(kJobsTopic, {KeyOf(kJobPrefix, id), jobs::Encode(job)});
  Store(kProgressTopic, {KeyOf(task), jobs::Encode(agent.ClaimedTask())});
  const auto leader = MakeLeader("node-1");
  CatchUp();
  leader->Campaign();
  log_.Settle();
  ASSERT_TRUE(leader->is_leading());
  log_.Write({kProgressTopic,
              {{kLeaderKey, jobs::Encode(jobs::LeaderRecord{
                                leader->term() + 1, "node-2", "127.0.0.1:2"})}},
              std::nullopt,
              keyed_log::Writer{kLeaderWriter, leader->term() + 1, 1}},
             Instant(), [](const keyed_log::AppendResult&) {});
  log_.Settle();
  jobs::RunnerReport report;
  report.incarnation = agent.ClaimedTask().incarnation;
  report.sent_at_ms = report.listed_at_ms = 1;
  report.ended = {{1, task, 1, jobs::RunEnd::kDone, {}}};
  http::Request request;
  request.body = jobs::Encode(report);
  Report(*leader, request, [](const http::Response&) {});
  clock_.Advance(LeaderSettings().min_append_interval);
  const size_t appends = log_.append_count();
  while (log_.append_count() == appends) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_EQ(directory_.StateOf("q", id), jobs::JobState::kRunning);
  log_.Settle();
  ASSERT_EQ(end_count_, 1);
  EXPECT_EQ(directory_.StateOf("q", id), jobs::JobState::kRunning);
}

}  // namespace
}  // namespace papayadrift::cluster
