#include "cluster/runner_agent.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <vector>

#include "async_http/server.h"
#include "cluster/report_queue.h"
#include "cluster/topics.h"
#include "cluster_http/paths.h"
#include "jobs/codec.h"
#include "process_fixture.h"
#include "support/free_port.h"

namespace papayadrift::cluster {
namespace {

// A runner that never answers.
class SilentRunner : public RunnerApi {
 public:
  void RenewLease(const std::string& /*address*/,
                  const std::string& /*instance*/,
                  const LeaseRenewalRequest& /*call*/,
                  Instant /*deadline*/,
                  std::function<void(LeaseRenewalResult)> /*done*/) override {
    is_called = true;
  }
  void SendOrder(const std::string& /*address*/,
                 const std::string& /*instance*/,
                 const jobs::Order& /*order*/,
                 uint64_t /*term*/,
                 int64_t /*lease_until_ms*/,
                 Instant /*deadline*/,
                 std::function<void(jobs::OrderVerdict)> /*done*/) override {}

  bool is_called = false;
};

// Records which addresses are called.
class CalledRunners : public SilentRunner {
 public:
  void RenewLease(const std::string& address,
                  const std::string& /*instance*/,
                  const LeaseRenewalRequest& /*call*/,
                  Instant /*deadline*/,
                  std::function<void(LeaseRenewalResult)> /*done*/) override {
    addresses.insert(address);
  }

  std::set<std::string> addresses;
};

constexpr int64_t kOrderMs = 200;

// A runner that leaves each order unanswered.
class UnansweringRunner : public SilentRunner {
 public:
  explicit UnansweringRunner(ManualClock& clock) : clock_(clock) {}

  void SendOrder(const std::string& /*address*/,
                 const std::string& /*instance*/,
                 const jobs::Order& /*order*/,
                 uint64_t /*term*/,
                 int64_t /*lease_until_ms*/,
                 Instant /*deadline*/,
                 std::function<void(jobs::OrderVerdict)> done) override {
    clock_.Advance(milliseconds(kOrderMs));
    done(jobs::OrderVerdict::kUnanswered);
  }

 private:
  ManualClock& clock_;
};

constexpr int64_t kSuspendedMs = 3000;

// A runner that breaks the first call and does not listen afterwards. Its VM
// was suspended in the meantime.
class CrashedRunner : public SilentRunner {
 public:
  explicit CrashedRunner(ManualClock& clock) : clock_(clock) {}

  void RenewLease(const std::string& /*address*/,
                  const std::string& /*instance*/,
                  const LeaseRenewalRequest& /*call*/,
                  Instant /*deadline*/,
                  std::function<void(LeaseRenewalResult)> done) override {
    if (is_first_call_) {
      is_first_call_ = false;
      clock_.Advance(milliseconds(kSuspendedMs));
      done(RunnerFailure::kUnanswered);
      return;
    }
    done(RunnerFailure::kNotListening);
  }

 private:
  ManualClock& clock_;
  bool is_first_call_ = true;
};

class RunnerAgentTest : public ProcessFixture {
 protected:
  RunnerAgentTest()
      : agent_({.node = "agent", .address = "127.0.0.1:1", .service = "s"},
               context(),
               runner_) {
    Announcement announcement;
    announcement.instance = "instance";
    announcement.service = "s";
    agent_.OnAnnouncement(announcement);
  }
  // Has a leader of term 1 answer the report of `agent`, which calls its runner
  // from then on.
  void LetCallRunner(RunnerAgent& agent, const SilentRunner& runner) {
    const std::string address = FreeAddress();
    async_http::Server leader(
        loop_, {address},
        [](const http::Request& /*request*/,
           const async_http::Respond& respond) {
          respond({200, {}, jobs::Encode(jobs::ReportAnswer{1, 0, 0})});
        });
    ASSERT_TRUE(leader.Open());
    agent.HandleLeader({1, "node-1", address});
    while (!runner.is_called) {
      ASSERT_GT(loop_.run_one(), 0U);
    }
  }

  SilentRunner runner_;
  RunnerAgent agent_;
  bool has_stopped_ = false;
};

TEST_F(RunnerAgentTest, StopsAtOnceWhileItsRunnerIsUp) {
  agent_.Stop(clock_.Now() + milliseconds(5000),
              [this] { has_stopped_ = true; });
  EXPECT_TRUE(has_stopped_);
}

// A VM is removed while the leader can't store that its runner has ended.
TEST_F(RunnerAgentTest, StaysUntilTheEndOfItsRunnerIsRecorded) {
  Announcement draining;
  draining.instance = "instance";
  draining.service = "s";
  draining.sequence = 1;
  draining.state = jobs::RunnerState::kDraining;
  agent_.OnAnnouncement(draining);
  agent_.OnRunnerLeaving("instance");
  agent_.Stop(clock_.Now() + milliseconds(20), [this] { has_stopped_ = true; });
  loop_.poll();
  EXPECT_FALSE(has_stopped_);
  while (!has_stopped_) {
    ASSERT_GT(loop_.run_one(), 0U);  // Until the deadline of Stop().
  }
}

// Guards against agents that find a new leader only by polling the store.
TEST_F(RunnerAgentTest, ReportsToALeaderThatNotifiesIt) {
  const std::string address = FreeAddress();
  bool is_reported = false;
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        is_reported =
            request.path == cluster_http::kReportPath &&
            request.headers.at(cluster_http::kReporterHeader) ==
                ReporterOf(*jobs::Decode<jobs::RunnerReport>(request.body));
        respond({409, {}, {}});
      });
  ASSERT_TRUE(leader.Open());
  agent_.HandleLeader({1, "node-1", address});
  while (!is_reported) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
}

// Records whether the runner was granted a lease.
class LeasedRunner : public SilentRunner {
 public:
  void RenewLease(const std::string& /*address*/,
                  const std::string& /*instance*/,
                  const LeaseRenewalRequest& call,
                  Instant /*deadline*/,
                  std::function<void(LeaseRenewalResult)> done) override {
    has_lease = has_lease || call.lease_until_ms.has_value();
    LeaseRenewalResponse response;
    response.clock_ms = 1;
    done(response);
  }

  bool has_lease = false;
};

// Guards against agents that give up each report to a slow leader: their
// leases lapse, and the leader spends its time on reports that nobody waits
// for.
TEST_F(RunnerAgentTest, WaitsLongerForALeaderThatAnswersLate) {
  LeasedRunner runner;
  RunnerAgent agent({.node = "agent",
                     .address = "127.0.0.1:1",
                     .service = "s",
                     .report_timeout = milliseconds(10),
                     .longest_report_timeout = milliseconds(10'000)},
                    context(), runner);
  const std::string address = FreeAddress();
  constexpr milliseconds kLeaderDelay(25);
  int reports = 0;
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& /*request*/,
          const async_http::Respond& respond) {
        ++reports;
        auto timer =
            std::make_shared<boost::asio::steady_timer>(loop_, kLeaderDelay);
        timer->async_wait([timer, respond](boost::system::error_code) {
          respond({200, {}, jobs::Encode(jobs::ReportAnswer{1, 0, 60'000})});
        });
      });
  ASSERT_TRUE(leader.Open());
  agent.HandleLeader({1, "node-1", address});
  clock_.Advance(milliseconds(1000));
  Announcement announcement;
  announcement.instance = "instance";
  announcement.service = "s";
  agent.OnAnnouncement(announcement);
  constexpr int kMaxReports = 12;
  constexpr milliseconds kStepLimit(50);
  while (!runner.has_lease && reports < kMaxReports) {
    loop_.run_one_for(kStepLimit);
    log_.Settle();
  }
  EXPECT_TRUE(runner.has_lease);
}

// Guards against agents that wait for the answer of a leader that is gone,
// although the next one has notified them.
TEST_F(RunnerAgentTest, DoesNotWaitForAFormerLeader) {
  RunnerAgent agent({.node = "agent",
                     .address = "127.0.0.1:1",
                     .service = "s",
                     .report_timeout = milliseconds(600'000),
                     .longest_report_timeout = milliseconds(600'000)},
                    context(), runner_);
  Announcement announcement;
  announcement.instance = "instance";
  announcement.service = "s";
  agent.OnAnnouncement(announcement);
  std::vector<async_http::Respond> unanswered;
  const std::string former_address = FreeAddress();
  async_http::Server former(loop_, {former_address},
                            [&](const http::Request& /*request*/,
                                const async_http::Respond& respond) {
                              unanswered.push_back(respond);
                            });
  ASSERT_TRUE(former.Open());
  const std::string address = FreeAddress();
  bool is_reported = false;
  async_http::Server leader(loop_, {address},
                            [&](const http::Request& /*request*/,
                                const async_http::Respond& respond) {
                              is_reported = true;
                              respond({409, {}, {}});
                            });
  ASSERT_TRUE(leader.Open());
  agent.HandleLeader({1, "node-1", former_address});
  while (unanswered.empty()) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  agent.HandleLeader({2, "node-2", address});
  bool is_over = false;
  constexpr milliseconds kLimit(5000);
  boost::asio::steady_timer limit(loop_, kLimit);
  limit.async_wait([&](boost::system::error_code) { is_over = true; });
  while (!is_reported && !is_over) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_TRUE(is_reported);
}

// The leader needs it to find the task that caused a crash: an agent on a VM
// that was suspended notices failing calls seconds later.
TEST_F(RunnerAgentTest, ReportsWhenItsRunnerMayHaveCrashed) {
  CrashedRunner runner(clock_);
  RunnerAgent agent({.node = "agent", .address = "127.0.0.1:1", .service = "s"},
                    context(), runner);
  std::optional<jobs::RunnerReport> unreachable;
  std::optional<jobs::RunnerReport> next;
  const std::string address = FreeAddress();
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        const auto report = jobs::Decode<jobs::RunnerReport>(request.body);
        if (report && report->is_unreachable) {
          unreachable = report;
        }
        if (report && report->incarnation.instance == "next") {
          next = report;
        }
        respond({200, {}, jobs::Encode(jobs::ReportAnswer{1, 0, 0})});
      });
  ASSERT_TRUE(leader.Open());
  agent.HandleLeader({1, "node-1", address});
  constexpr int64_t kAnnouncedMs = 5000;
  clock_.Advance(milliseconds(kAnnouncedMs));
  Announcement announcement;
  announcement.instance = "instance";
  announcement.service = "s";
  agent.OnAnnouncement(announcement);
  while (!unreachable) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  const jobs::CrashTime crash{kAnnouncedMs, kAnnouncedMs + kSuspendedMs};
  EXPECT_EQ(unreachable->state, jobs::RunnerState::kReady);
  EXPECT_EQ(unreachable->crash, crash);
  announcement.instance = "next";
  announcement.start_unix_ms = 1;
  agent.OnAnnouncement(announcement);
  while (!next) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_EQ(next->earlier_crash, crash);
}

// Guards against agents that never find a leader: the VMs that were replaced
// have left more records behind than a page of the topic holds.
TEST_F(RunnerAgentTest, FindsTheLeaderBehindManyRecords) {
  constexpr size_t kRecords = 47;
  constexpr size_t kPageSize = 2;
  const std::string address = FreeAddress();
  bool is_reported = false;
  async_http::Server leader(loop_, {address},
                            [&](const http::Request& /*request*/,
                                const async_http::Respond& respond) {
                              is_reported = true;
                              respond({409, {}, {}});
                            });
  ASSERT_TRUE(leader.Open());
  keyed_log::Append append{kLeaderTopic, {}, std::nullopt, std::nullopt};
  for (size_t i = 0; i < kRecords; ++i) {
    append.records.push_back(
        {std::string(kFrontendPrefix) + std::to_string(i), "record"});
  }
  append.records.push_back(
      {kLeaderKey, jobs::Encode(jobs::LeaderRecord{1, "node-1", address})});
  log_.Write(append, Instant(), [](const keyed_log::AppendResult&) {});
  log_.Settle();
  log_.set_page_size(kPageSize);
  agent_.Start();
  log_.Settle();
  // One lookup reads a limited number of pages, and the next one goes on.
  EXPECT_EQ(log_.read_count(kLeaderTopic), 16U);
  while (!is_reported) {
    ASSERT_GT(loop_.run_one(), 0U);
    log_.Settle();
  }
  // From then on a lookup reads the page with the leader's record.
  const size_t reads = log_.read_count(kLeaderTopic);
  EXPECT_EQ(reads, 24U);
  while (log_.read_count(kLeaderTopic) == reads) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  log_.Settle();
  EXPECT_EQ(log_.read_count(kLeaderTopic), reads + 1);
}

// A runner that lists one end and holds back others.
class RunnerWithManyEnds : public SilentRunner {
 public:
  void RenewLease(const std::string& /*address*/,
                  const std::string& /*instance*/,
                  const LeaseRenewalRequest& /*call*/,
                  Instant /*deadline*/,
                  std::function<void(LeaseRenewalResult)> done) override {
    LeaseRenewalResponse response;
    response.ended = {{1, {JobId("a"), 0, 0, 0}, 1, jobs::RunEnd::kDone, ""}};
    response.has_all_ends = false;
    done(response);
  }
};

// Guards against a leader that takes a part of the ends for all of them.
TEST_F(RunnerAgentTest, ReportsThatEndsAreMissing) {
  RunnerWithManyEnds runner;
  RunnerAgent agent({.node = "agent", .address = "127.0.0.1:1", .service = "s"},
                    context(), runner);
  std::optional<jobs::RunnerReport> last;
  const std::string address = FreeAddress();
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        last = jobs::Decode<jobs::RunnerReport>(request.body);
        respond({200, {}, jobs::Encode(jobs::ReportAnswer{1, 0, 0})});
      });
  ASSERT_TRUE(leader.Open());
  agent.HandleLeader({1, "node-1", address});
  clock_.Advance(milliseconds(1000));
  agent.OnAnnouncement({"own", 1000, 1, "127.0.0.1:3", "s"});
  while (!last || last->ended.empty()) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_FALSE(last->has_all_ends);
}

// A runner that crashes during a call once it has a lease and has been told
// that ends are recorded, and starts again under its name.
class RestartedRunner : public SilentRunner {
 public:
  void RenewLease(const std::string& /*address*/,
                  const std::string& /*instance*/,
                  const LeaseRenewalRequest& call,
                  Instant /*deadline*/,
                  std::function<void(LeaseRenewalResult)> done) override {
    LeaseRenewalResponse response;
    if (!has_restarted && call.lease_until_ms && call.recorded_ends > 0) {
      has_restarted = true;
      done(RunnerFailure::kUnanswered);
      return;
    }
    acknowledged_ends =
        std::max(acknowledged_ends, has_restarted ? call.recorded_ends : 0);
    response.start_unix_ms = has_restarted ? 2000 : 1000;
    if (!has_restarted) {
      response.ended = {{5, {JobId("a"), 0, 0, 0}, 1, jobs::RunEnd::kDone, ""}};
    }
    answers_since_restart += has_restarted ? 1 : 0;
    done(response);
  }
  void SendOrder(const std::string& /*address*/,
                 const std::string& /*instance*/,
                 const jobs::Order& /*order*/,
                 uint64_t /*term*/,
                 int64_t /*lease_until_ms*/,
                 Instant /*deadline*/,
                 std::function<void(jobs::OrderVerdict)> done) override {
    done(jobs::OrderVerdict::kDone);
  }

  bool has_restarted = false;
  int answers_since_restart = 0;
  uint64_t acknowledged_ends = 0;  // By calls to the later process.
};

// Guards against a start that a later process of the runner executes, with a
// lease on the clock of the earlier one, and against an end of it that is taken
// for recorded.
TEST_F(RunnerAgentTest, StartsNothingOnAProcessThatIsNotAnnounced) {
  RestartedRunner runner;
  RunnerAgent agent({.node = "agent", .address = "127.0.0.1:1", .service = "s"},
                    context(), runner);
  const std::string address = FreeAddress();
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& /*request*/,
          const async_http::Respond& respond) {
        respond({200, {}, jobs::Encode(jobs::ReportAnswer{1, 5, 60'000})});
      });
  ASSERT_TRUE(leader.Open());
  agent.HandleLeader({1, "node-1", address});
  clock_.Advance(milliseconds(1000));
  agent.OnAnnouncement({"own", 1000, 1, "127.0.0.1:3", "s"});
  const auto verdict_of_start = [&] {
    std::optional<jobs::OrderAnswer> answer;
    agent.HandleOrders(
        {1,
         {"agent", "own", 1000},
         {jobs::StartOrder{{JobId("a"), 0, 0, 0}, 1, {}, {}, {}}},
         0,
         1000},
        [&](const jobs::OrderAnswer& it) { answer = it; });
    return answer->results.at(0).verdict;
  };
  while (verdict_of_start() != jobs::OrderVerdict::kDone) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  while (runner.answers_since_restart < 3) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_EQ(verdict_of_start(), jobs::OrderVerdict::kLeaseExpired);
  EXPECT_EQ(runner.acknowledged_ends, 0U);
}

// Guards against starts and paces that were held up on their way and take
// effect when they have been given up. A stop is right at any time.
TEST_F(RunnerAgentTest, OrderThatComesTooLateIsNotPassedOn) {
  LetCallRunner(agent_, runner_);
  const jobs::TaskKey task{JobId("a"), 0, 0, 0};
  clock_.Advance(milliseconds(1000));
  jobs::OrderBatch batch{
      1,
      {"agent", "instance", 0},
      {jobs::StartOrder{task, 1, {}, {}, {}}, jobs::PaceOrder{task, 1, 50}},
      999};
  std::optional<jobs::OrderAnswer> answer;
  const auto respond = [&](const jobs::OrderAnswer& it) { answer = it; };
  agent_.HandleOrders(batch, respond);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->results[0].verdict, jobs::OrderVerdict::kExpired);
  EXPECT_EQ(answer->results[1].verdict, jobs::OrderVerdict::kExpired);
  answer.reset();
  batch.orders = {jobs::StopOrder{task, 1}};
  agent_.HandleOrders(batch, respond);
  EXPECT_FALSE(answer);  // The runner has been asked.
}

// A runner that executes each order, and has a clock.
class PromptRunner : public SilentRunner {
 public:
  void RenewLease(const std::string& /*address*/,
                  const std::string& /*instance*/,
                  const LeaseRenewalRequest& /*call*/,
                  Instant /*deadline*/,
                  std::function<void(LeaseRenewalResult)> done) override {
    if (!std::exchange(has_answered_, true)) {
      done(LeaseRenewalResponse());
    }
  }
  void SendOrder(const std::string& /*address*/,
                 const std::string& /*instance*/,
                 const jobs::Order& /*order*/,
                 uint64_t /*term*/,
                 int64_t /*lease_until_ms*/,
                 Instant /*deadline*/,
                 std::function<void(jobs::OrderVerdict)> done) override {
    done(jobs::OrderVerdict::kDone);
  }

 private:
  bool has_answered_ = false;
};

// Guards against a task that starts seconds after its job's cancellation was
// acknowledged: the leader did not know of it, whatever kept it from that.
TEST_F(RunnerAgentTest, NothingStartsOnAnOldOrUnknownViewOfTheJobs) {
  PromptRunner runner;
  RunnerAgent agent({.node = "agent", .address = "127.0.0.1:1", .service = "s"},
                    context(), runner);
  const std::string address = FreeAddress();
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& /*request*/,
          const async_http::Respond& respond) {
        respond({200, {}, jobs::Encode(jobs::ReportAnswer{1, 0, 60'000})});
      });
  ASSERT_TRUE(leader.Open());
  agent.HandleLeader({1, "node-1", address});
  clock_.Advance(milliseconds(10'000));
  agent.OnAnnouncement({"own", 1000, 1, "127.0.0.1:3", "s"});
  const auto verdict_on = [&](const jobs::Order& order, int64_t viewed_at_ms) {
    std::optional<jobs::OrderAnswer> answer;
    agent.HandleOrders({1, {"agent", "own", 1000}, {order}, 0, viewed_at_ms},
                       [&](const jobs::OrderAnswer& it) { answer = it; });
    return answer->results.at(0).verdict;
  };
  const jobs::TaskKey task{JobId("a"), 0, 0, 0};
  const jobs::StartOrder start{task, 1, {}, {}, {}};
  while (verdict_on(start, 10'000) != jobs::OrderVerdict::kDone) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  const int64_t limit_ms = RunnerAgentSettings().view_limit.count();
  EXPECT_EQ(verdict_on(start, 10'000 - limit_ms), jobs::OrderVerdict::kDone);
  EXPECT_EQ(verdict_on(start, 9'999 - limit_ms), jobs::OrderVerdict::kOldView);
  EXPECT_EQ(verdict_on(start, 0), jobs::OrderVerdict::kBadView);
  EXPECT_EQ(verdict_on(start, 10'001), jobs::OrderVerdict::kBadView);
  EXPECT_EQ(verdict_on(jobs::StopOrder{task, 1}, 0), jobs::OrderVerdict::kDone);
}

// Guards against stops whose confirmations are lost, again and again, because
// the batch that they are in is answered after the leader's limit.
TEST_F(RunnerAgentTest, BatchIsAnsweredInTimeAlthoughTheRunnerIsNot) {
  UnansweringRunner runner(clock_);
  RunnerAgent agent({.node = "agent", .address = "127.0.0.1:1", .service = "s"},
                    context(), runner);
  agent.OnAnnouncement({"own", 0, 1, "127.0.0.1:3", "s"});
  LetCallRunner(agent, runner);
  const jobs::StopOrder stop{{JobId("a"), 0, 0, 0}, 1};
  std::optional<jobs::OrderAnswer> answer;
  agent.HandleOrders(
      {1, {"agent", "own", 0}, std::vector<jobs::Order>(40, stop)},
      [&](const jobs::OrderAnswer& it) { answer = it; });
  ASSERT_TRUE(answer);
  EXPECT_LE(clock_.Now(), Instant(RunnerAgentSettings().batch_limit +
                                  milliseconds(kOrderMs)));
  EXPECT_EQ(answer->results.front().verdict, jobs::OrderVerdict::kUnanswered);
  EXPECT_EQ(answer->results.back().verdict, jobs::OrderVerdict::kExpired);
}

// A runner that has crashed, with another process at its address.
class ReplacedRunner : public SilentRunner {
 public:
  void RenewLease(const std::string& /*address*/,
                  const std::string& instance,
                  const LeaseRenewalRequest& /*call*/,
                  Instant /*deadline*/,
                  std::function<void(LeaseRenewalResult)> done) override {
    if (instance == "later") {
      is_found = true;
    }
    done(RunnerFailure::kOtherIncarnation);
  }

  bool is_found = false;
};

// Guards against a runner that gets no work for as long as its agent runs: it
// started again after the time of day of its VM had been set back.
TEST_F(RunnerAgentTest, FollowsAProcessThatStartsAfterTheClockWasSetBack) {
  ReplacedRunner runner;
  RunnerAgent agent({.node = "agent", .address = "127.0.0.1:1", .service = "s"},
                    context(), runner);
  std::optional<jobs::RunnerReport> last;
  const std::string address = FreeAddress();
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        last = jobs::Decode<jobs::RunnerReport>(request.body);
        respond({200, {}, jobs::Encode(jobs::ReportAnswer{1, 0, 0})});
      });
  ASSERT_TRUE(leader.Open());
  agent.HandleLeader({1, "node-1", address});
  clock_.Advance(milliseconds(5000));
  agent.OnAnnouncement({"earlier", 4000, 9, "127.0.0.1:3", "s"});
  while (!last) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  constexpr uint64_t kAnnouncements = 5;
  for (uint64_t i = 1; i <= kAnnouncements; ++i) {
    // The runner answers that it is another process meanwhile.
    boost::asio::steady_timer pause(loop_, milliseconds(200));
    bool is_over = false;
    pause.async_wait([&](boost::system::error_code) { is_over = true; });
    while (!is_over) {
      ASSERT_GT(loop_.run_one(), 0U);
    }
    agent.OnAnnouncement({"later", 3000, i, "127.0.0.1:3", "s"});
  }
  EXPECT_EQ(last->incarnation.instance, "later");
  EXPECT_TRUE(runner.is_found);
}

// Guards against an agent that loses its runner since another writer has
// announced one that will start in the year 2255, or the billionth
// announcement.
TEST_F(RunnerAgentTest, DoesNotFollowAnAnnouncementAheadOfItsTime) {
  CalledRunners runners;
  RunnerAgent agent({.node = "agent", .address = "127.0.0.1:1", .service = "s"},
                    context(), runners);
  std::optional<jobs::RunnerReport> last;
  const std::string address = FreeAddress();
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        last = jobs::Decode<jobs::RunnerReport>(request.body);
        respond({200, {}, jobs::Encode(jobs::ReportAnswer{1, 0, 0})});
      });
  ASSERT_TRUE(leader.Open());
  agent.HandleLeader({1, "node-1", address});
  constexpr int64_t kFutureMs = 9'000'000'000'000;
  Announcement odd{"odd", kFutureMs, 1, "127.0.0.1:2", "s"};
  Announcement own{"own", 1000, 1, "127.0.0.1:3", "s"};
  clock_.Advance(milliseconds(2000));
  agent.OnAnnouncement(odd);
  agent.OnAnnouncement(own);
  while (!last) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_EQ(last->incarnation.instance, "own");
  own.sequence = 1'000'000'000;
  agent.OnAnnouncement(own);
  own.sequence = 2;
  own.state = jobs::RunnerState::kDraining;
  agent.OnAnnouncement(own);
  while (last->state != jobs::RunnerState::kDraining) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
}

}  // namespace
}  // namespace papayadrift::cluster
