#include "cluster/job_frontend.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "async_http/server.h"
#include "cluster/topics.h"
#include "cluster_http/paths.h"
#include "jobs/codec.h"
#include "process_fixture.h"
#include "support/free_port.h"

namespace papayadrift::cluster {
namespace {

const JobId kId("0123456789abcdef");

class JobFrontendTest : public ProcessFixture {
 protected:
  JobFrontendTest() : frontend_(Settings(), context()) {
    job_.queue = "q";
    job_.steps.resize(1);
  }

  static JobFrontendSettings Settings() {
    JobFrontendSettings settings;
    settings.leader.node = "node-1";
    settings.leader.address = "127.0.0.1:1";
    return settings;
  }

  // With timers that need little time; the clock is moved by the tests.
  static JobFrontendSettings PromptSettings() {
    JobFrontendSettings settings = Settings();
    settings.election.leader_check_period = milliseconds(5);
    settings.election.leader_poll_period = milliseconds(5);
    settings.frontend_poll_period = milliseconds(5);
    return settings;
  }

  // Moves the clock on with each event.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      clock_.Advance(milliseconds(20));
      ASSERT_GT(loop_.run_one(), 0U);
      log_.Settle();
    }
  }

  void Submit() {
    result_.reset();
    frontend_.Submit(kId, job_, clock_.Now() + kSubmitTimeout,
                     [this](SubmitResult result) { result_ = result; });
  }

  static constexpr milliseconds kSubmitTimeout{3000};
  JobFrontend frontend_;
  jobs::Job job_;
  std::optional<SubmitResult> result_;
};

TEST_F(JobFrontendTest, AcceptsWhatIsStored) {
  Submit();
  EXPECT_FALSE(result_);
  log_.Settle();
  EXPECT_EQ(result_, SubmitResult::kAccepted);
}

TEST_F(JobFrontendTest, RefusesAtOnceDuringAnOutage) {
  log_.set_is_down(true);
  Submit();
  EXPECT_EQ(result_, SubmitResult::kNotStored);
}

// Guards against a job that is tried until its deadline, although the store
// takes no record of its size.
TEST_F(JobFrontendTest, RefusesAJobWhoseRecordIsTooLarge) {
  log_.set_limits({4096, 65536});
  job_.payload = std::string(5000, 'x');
  Submit();
  EXPECT_EQ(result_, SubmitResult::kTooLarge);
}

// The same for a record that the store rejects for another reason.
TEST_F(JobFrontendTest, RefusesAJobThatTheStoreRejects) {
  log_.set_rejected_key("j/" + kId.text());
  Submit();
  log_.Settle();
  EXPECT_EQ(result_, SubmitResult::kTooLarge);
}

// During an outage that begins with lost answers the job may be stored. Callers
// that retry must not be told that it never runs.
TEST_F(JobFrontendTest, RefusalAfterAnUnansweredAttemptIsUnknown) {
  log_.set_loses_answers(true);
  Submit();
  clock_.Advance(kSubmitTimeout);
  log_.AnswerNext();
  EXPECT_EQ(result_, SubmitResult::kUnknown);
  log_.set_is_down(true);
  Submit();
  EXPECT_EQ(result_, SubmitResult::kUnknown);
  log_.set_is_down(false);
  log_.set_loses_answers(false);
  Submit();
  log_.Settle();
  EXPECT_EQ(result_, SubmitResult::kAccepted);
}

// Guards against a topic that grows with each VM that is replaced: one that is
// killed leaves the announcement of its frontend behind.
TEST_F(JobFrontendTest, LeaderDeletesAnnouncementsThatWereLeftBehind) {
  const std::string key = std::string(kFrontendPrefix) + "killed";
  const auto announce = [this](const std::string& node) {
    log_.Write({kLeaderTopic,
                {{std::string(kFrontendPrefix) + node,
                  Encode(FrontendRecord{node, "127.0.0.1:2", 1, 1})}},
                std::nullopt,
                std::nullopt},
               {}, [](const keyed_log::AppendResult&) {});
  };
  announce("killed");
  JobFrontendSettings settings = PromptSettings();
  settings.announcement_period = milliseconds(5);
  settings.frontend_timeout = milliseconds(1000);
  JobFrontend frontend(settings, context());
  frontend.Start();
  log_.Settle();
  bool is_deleted = false;
  constexpr int64_t kLimitMs = 60'000;
  RunUntil([&] {
    announce("other");
    log_.ReadNewest(kLeaderTopic, {}, {}, [&](const keyed_log::ReadResult& it) {
      const auto& records = std::get<keyed_log::Records>(it).records;
      is_deleted = std::ranges::none_of(
          records, [&](const keyed_log::StoredRecord& stored) {
            return stored.record.key == key && !stored.record.value.empty();
          });
    });
    log_.Settle();
    return is_deleted || clock_.Now() > Instant(milliseconds(kLimitMs));
  });
  EXPECT_TRUE(is_deleted);
  frontend.Stop();
}

// Guards against a leader on the smallest VM of a cluster: with a fourteenth of
// a core, everything it did was late.
TEST_F(JobFrontendTest, SmallVmDelaysItsCampaign) {
  JobFrontendSettings settings = Settings();
  settings.election.campaign_delay = milliseconds(100);
  JobFrontend small(settings, context());
  small.Start();
  log_.Settle();
  const size_t before = log_.append_count();
  clock_.Advance(milliseconds(99));
  loop_.run_one_for(milliseconds(300));
  log_.Settle();
  EXPECT_EQ(log_.append_count(), before);
  clock_.Advance(milliseconds(1));
  while (log_.append_count() == before) {
    // The frontend's own timer triggers the next check.
    ASSERT_GT(loop_.run_one(), 0U);
    log_.Settle();
  }
  small.Stop();
}

// After a planned stop, the named successor campaigns at once and the others
// wait.
TEST_F(JobFrontendTest, NamedSuccessorCampaignsFirst) {
  const jobs::LeaderRecord last{3, "node-9", "127.0.0.1:9", 0, true, "node-2"};
  log_.Write({kProgressTopic,
              {{kLeaderKey, jobs::Encode(last)}},
              std::nullopt,
              std::nullopt},
             {}, [](const keyed_log::AppendResult&) {});
  JobFrontendSettings settings = Settings();
  settings.election.campaign_delay = milliseconds(100);
  JobFrontend other(settings, context());
  other.Start();
  log_.Settle();
  const size_t before = log_.append_count();
  settings.leader.node = "node-2";
  JobFrontend named(settings, context());
  named.Start();
  log_.Settle();
  // The announcement, the candidacy and the published address.
  EXPECT_GE(log_.append_count(), before + 3);
  EXPECT_TRUE(named.HandleLeaderQuery());
  EXPECT_FALSE(other.HandleLeaderQuery());
  named.Stop();
  other.Stop();
}

// When the store is slow, the leader's heartbeats are seen late. Guards against
// another frontend taking the term from a working leader.
TEST_F(JobFrontendTest, LeaderThatAnswersIsNotReplaced) {
  const std::string address = FreeAddress();
  bool is_leader = true;
  int query_count = 0;
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request&, const async_http::Respond& respond) {
        ++query_count;
        respond({is_leader ? 200 : 409, {}, {}});
      });
  ASSERT_TRUE(leader.Open());
  const jobs::LeaderRecord last{3, "node-9", address};
  log_.Write({kProgressTopic,
              {{kLeaderKey, jobs::Encode(last)}},
              std::nullopt,
              std::nullopt},
             {}, [](const keyed_log::AppendResult&) {});
  frontend_.Start();
  log_.Settle();
  const size_t before = log_.append_count();
  const auto wait_until = [&](const std::function<bool()>& condition) {
    while (!condition()) {
      clock_.Advance(milliseconds(100));
      ASSERT_GT(loop_.run_one(), 0U);
      log_.Settle();
    }
  };
  wait_until([&] { return query_count == 3; });
  EXPECT_EQ(log_.append_count(), before);
  is_leader = false;
  wait_until([&] { return log_.append_count() > before; });
  frontend_.Stop();
}

// The notice tells nothing; what the store says of the leader counts.
TEST_F(JobFrontendTest, LateNoticeOfASuccessionStartsNoCampaign) {
  const jobs::LeaderRecord last{3, "node-9", "127.0.0.1:9"};
  log_.Write({kProgressTopic,
              {{kLeaderKey, jobs::Encode(last)}},
              std::nullopt,
              std::nullopt},
             {}, [](const keyed_log::AppendResult&) {});
  frontend_.Start();
  log_.Settle();
  const size_t before = log_.append_count();
  for (int i = 0; i < 2; ++i) {
    frontend_.HandleSuccession();
    log_.Settle();
  }
  EXPECT_EQ(log_.append_count(), before);
  frontend_.Stop();
}

// Guards against a job that is stored when the frontend that relayed it no
// longer waits, or twice.
TEST_F(JobFrontendTest, RelayedSubmissionIsStoredOnceAndInTime) {
  RelayCall call{RelayKind::kSubmit, "q", kId, jobs::Encode(job_), 0};
  std::optional<RelayAnswer> answer;
  const auto relay = [&] {
    frontend_.HandleRelay(
        call, [&](const std::optional<RelayAnswer>& it) { answer = it; });
    log_.Settle();
  };
  relay();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->value, static_cast<uint32_t>(SubmitResult::kNotStored));
  EXPECT_EQ(log_.append_count(), 0U);
  call.remaining_ms = kSubmitTimeout.count();
  for (int i = 0; i < 2; ++i) {
    answer.reset();
    relay();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->value, static_cast<uint32_t>(SubmitResult::kAccepted));
    EXPECT_EQ(log_.append_count(), 1U);
  }
}

// Guards against a restarted cluster that takes what it reads of its last
// leader for a sign that this one is alive.
TEST_F(JobFrontendTest, RecordsFromBeforeTheStartAreNoSignOfALeader) {
  const jobs::LeaderRecord last{3, "node-9", FreeAddress()};
  log_.Write({kProgressTopic,
              {{kLeaderKey, jobs::Encode(last)}},
              std::nullopt,
              std::nullopt},
             {}, [](const keyed_log::AppendResult&) {});
  JobFrontend frontend(PromptSettings(), context());
  frontend.Start();
  log_.Settle();
  const size_t before = log_.append_count();
  const Instant started_at = clock_.Now();
  RunUntil([&] { return log_.append_count() > before; });
  EXPECT_LT(clock_.Now() - started_at, Settings().election.leader_timeout);
  frontend.Stop();
}

// Guards against a cluster that has no leader for eight seconds, longer than
// leases last, when all standbys are lost at once.
TEST_F(JobFrontendTest, NonStandbyThatHasReadTheStateCampaigns) {
  const std::string address = FreeAddress();
  const auto store = [this](const std::string& topic, const std::string& key,
                            const std::string& value) {
    log_.Write({topic, {{key, value}}, std::nullopt, std::nullopt}, {},
               [](const keyed_log::AppendResult&) {});
  };
  for (size_t i = 0; i < JobFrontendSettings().standbys; ++i) {
    const std::string node = "strong-" + std::to_string(i);
    store(kLeaderTopic, std::string(kFrontendPrefix) + node,
          Encode(FrontendRecord{node, address, 1, 64000}));
  }
  const jobs::LeaderRecord last{1, "strong-0", address};
  store(kLeaderTopic, kLeaderKey, jobs::Encode(last));
  store(kProgressTopic, kLeaderKey, jobs::Encode(last));
  JobFrontend frontend(PromptSettings(), context());
  frontend.Start();
  log_.Settle();
  clock_.Advance(Settings().election.standby_takeover_timeout);
  RunUntil([&] { return log_.read_count(kProgressTopic) > 0; });
  const Instant read_at = clock_.Now();
  const size_t before = log_.append_count();
  RunUntil([&] { return log_.append_count() > before; });
  EXPECT_LT(clock_.Now() - read_at, Settings().election.leader_timeout);
  frontend.Stop();
}

// A leader that is short of processor time stores something every few hundred
// milliseconds, and is too slow to answer a query.
TEST_F(JobFrontendTest, NonStandbyWaitsForRecordsOfASlowLeader) {
  const std::string address = FreeAddress();
  const auto store = [this](const std::string& topic, const std::string& key,
                            const std::string& value) {
    log_.Write({topic, {{key, value}}, std::nullopt, std::nullopt}, {},
               [](const keyed_log::AppendResult&) {});
  };
  for (size_t i = 0; i < JobFrontendSettings().standbys; ++i) {
    const std::string node = "strong-" + std::to_string(i);
    store(kLeaderTopic, std::string(kFrontendPrefix) + node,
          Encode(FrontendRecord{node, address, 1, 64000}));
  }
  const jobs::LeaderRecord last{1, "strong-0", address};
  store(kLeaderTopic, kLeaderKey, jobs::Encode(last));
  store(kProgressTopic, kLeaderKey, jobs::Encode(last));
  JobFrontend frontend(PromptSettings(), context());
  frontend.Start();
  log_.Settle();
  clock_.Advance(Settings().election.standby_takeover_timeout);
  RunUntil([&] { return log_.read_count(kProgressTopic) > 0; });
  for (int i = 0; i < 3; ++i) {
    const size_t before = log_.append_count();
    const Instant stored_at = clock_.Now();
    RunUntil([&] { return clock_.Now() - stored_at >= milliseconds(500); });
    EXPECT_EQ(log_.append_count(), before);
    store(kProgressTopic, kLeaderKey, jobs::Encode(last));
  }
  frontend.Stop();
}

// Guards against a small frontend that takes the term from a leader which is
// short of processor time: its answers take several turns of its event loop.
TEST_F(JobFrontendTest, NonStandbyLeavesASlowLeaderItsTerm) {
  const std::string address = FreeAddress();
  std::vector<std::shared_ptr<boost::asio::steady_timer>> turns;
  int answer_count = 0;
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request&, const async_http::Respond& respond) {
        turns.push_back(std::make_shared<boost::asio::steady_timer>(
            loop_, milliseconds(100)));
        turns.back()->async_wait([&, respond](boost::system::error_code) {
          ++answer_count;
          respond({200, {}, {}});
        });
      });
  ASSERT_TRUE(leader.Open());
  const auto store = [this](const std::string& key, const std::string& value) {
    log_.Write({kLeaderTopic, {{key, value}}, std::nullopt, std::nullopt}, {},
               [](const keyed_log::AppendResult&) {});
  };
  for (size_t i = 0; i < JobFrontendSettings().standbys; ++i) {
    const std::string node = "strong-" + std::to_string(i);
    store(std::string(kFrontendPrefix) + node,
          Encode(FrontendRecord{node, address, 1, 64000}));
  }
  store(kLeaderKey, jobs::Encode(jobs::LeaderRecord{1, "strong-0", address}));
  JobFrontendSettings settings = PromptSettings();
  settings.election.leader_query_timeout = milliseconds(20);
  JobFrontend frontend(settings, context());
  frontend.Start();
  log_.Settle();
  for (int i = 1; i <= 4; ++i) {
    RunUntil([&] { return answer_count >= i; });
    clock_.Advance(settings.election.standby_takeover_timeout / 2);
  }
  EXPECT_EQ(log_.read_count(kProgressTopic), 0U);
  frontend.Stop();
}

// Guards against a frontend with a fourteenth of a core that goes on leading
// after those with half a core are back.
TEST_F(JobFrontendTest, LeaderOnASmallVmHandsOverToALargerOne) {
  const std::string address = FreeAddress();
  bool is_standby = false;
  int query_count = 0;
  bool is_named = false;
  async_http::Server larger(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        query_count += request.path == cluster_http::kStandbyPath ? 1 : 0;
        is_named |= request.path == cluster_http::kSuccessionPath;
        constexpr uint64_t kFastest = 1'000'000'000'000;
        respond({is_standby ? 200 : 409, {}, std::to_string(kFastest)});
      });
  ASSERT_TRUE(larger.Open());
  log_.Write({kLeaderTopic,
              {{std::string(kFrontendPrefix) + "larger",
                Encode(FrontendRecord{"larger", address, 1, 64000})}},
              std::nullopt,
              std::nullopt},
             {}, [](const keyed_log::AppendResult&) {});
  JobFrontend frontend(PromptSettings(), context());
  frontend.Start();
  log_.Settle();
  RunUntil([&] { return query_count == 2; });
  EXPECT_TRUE(frontend.HandleLeaderQuery());
  is_standby = true;
  RunUntil([&] { return is_named; });
  EXPECT_FALSE(frontend.HandleLeaderQuery());
  frontend.Stop();
}

// Guards against every frontend of a large deployment reading everything that
// is stored.
TEST_F(JobFrontendTest, NonStandbyRelaysToTheLeader) {
  const std::string address = FreeAddress();
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        const auto state = static_cast<uint32_t>(jobs::JobState::kRunning);
        respond({200,
                 {},
                 request.path == cluster_http::kRelayPath
                     ? Encode(RelayAnswer{true, state, true})
                     : std::string()});
      });
  ASSERT_TRUE(leader.Open());
  const auto store = [this](const std::string& key, const std::string& value) {
    log_.Write({kLeaderTopic, {{key, value}}, std::nullopt, std::nullopt}, {},
               [](const keyed_log::AppendResult&) {});
  };
  for (size_t i = 0; i < JobFrontendSettings().standbys; ++i) {
    const std::string node = "strong-" + std::to_string(i);
    store(std::string(kFrontendPrefix) + node,
          Encode(FrontendRecord{node, address, 1, 64000}));
  }
  store(kLeaderKey, jobs::Encode(jobs::LeaderRecord{1, "strong-0", address}));
  frontend_.Start();
  log_.Settle();
  std::optional<StateResult> state;
  frontend_.State("q", kId, [&](const StateResult& it) { state = it; });
  while (!state) {
    ASSERT_GT(loop_.run_one(), 0U);
    log_.Settle();
  }
  EXPECT_EQ(*state, StateResult(jobs::JobState::kRunning));
  EXPECT_EQ(log_.read_count(kProgressTopic), 0U);
  EXPECT_EQ(log_.read_count(kJobsTopic), 0U);
  frontend_.Stop();
}

// Guards against a job that is shown as waiting for ever where it was accepted:
// a frontend that is no standby reads nothing of it.
TEST_F(JobFrontendTest, NonStandbyAsksForTheStateOfAJobItAccepted) {
  const std::string address = FreeAddress();
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        const auto state = static_cast<uint32_t>(jobs::JobState::kRunning);
        respond({200,
                 {},
                 request.path == cluster_http::kRelayPath
                     ? Encode(RelayAnswer{true, state, true})
                     : std::string()});
      });
  ASSERT_TRUE(leader.Open());
  const auto store = [this](const std::string& key, const std::string& value) {
    log_.Write({kLeaderTopic, {{key, value}}, std::nullopt, std::nullopt}, {},
               [](const keyed_log::AppendResult&) {});
  };
  for (size_t i = 0; i < JobFrontendSettings().standbys; ++i) {
    const std::string node = "strong-" + std::to_string(i);
    store(std::string(kFrontendPrefix) + node,
          Encode(FrontendRecord{node, address, 1, 64000}));
  }
  store(kLeaderKey, jobs::Encode(jobs::LeaderRecord{1, "strong-0", address}));
  frontend_.Start();
  log_.Settle();
  Submit();
  log_.Settle();
  ASSERT_EQ(result_, SubmitResult::kAccepted);
  clock_.Advance(milliseconds(60'000));
  std::optional<StateResult> state;
  frontend_.State("q", kId, [&](const StateResult& it) { state = it; });
  while (!state) {
    ASSERT_GT(loop_.run_one(), 0U);
    log_.Settle();
  }
  EXPECT_EQ(*state, StateResult(jobs::JobState::kRunning));
  frontend_.Stop();
}

// Guards against runners that get nothing until the end of a leader's term: the
// store takes its heartbeats and answers none of its reads, and no standby
// computes twice as fast.
TEST_F(JobFrontendTest, LeaderThatCannotReadTheJobsHandsOverToAnEqual) {
  const std::string address = FreeAddress();
  bool is_named = false;
  async_http::Server standby(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        is_named |= request.path == cluster_http::kSuccessionPath;
        respond({200, {}, std::to_string(SpeedProbe(clock_).Measure())});
      });
  ASSERT_TRUE(standby.Open());
  log_.Write({kLeaderTopic,
              {{std::string(kFrontendPrefix) + "equal",
                Encode(FrontendRecord{"equal", address, 1, 1000})}},
              std::nullopt,
              std::nullopt},
             {}, [](const keyed_log::AppendResult&) {});
  JobFrontend frontend(PromptSettings(), context());
  frontend.Start();
  log_.Settle();
  RunUntil([&] { return frontend.HandleLeaderQuery(); });
  // Its read waits for a new record, and the store does not end the wait.
  const Instant until = clock_.Now() + milliseconds(60'000);
  RunUntil([&] { return is_named || clock_.Now() >= until; });
  EXPECT_TRUE(is_named);
  frontend.Stop();
}

// Guards against a job that runs on although its caller was told that it did
// not exist: another frontend had stored it after the copy was read.
TEST_F(JobFrontendTest, UnknownJobIsLookedUpInTheStore) {
  const auto store = [this](const std::string& topic,
                            const keyed_log::Record& record) {
    log_.Write({topic, {record}, std::nullopt, std::nullopt}, {},
               [](const keyed_log::AppendResult&) {});
  };
  const jobs::LeaderRecord leader{3, "node-9", "127.0.0.1:9"};
  store(kProgressTopic, {kLeaderKey, jobs::Encode(leader)});
  frontend_.Start();
  log_.Settle();
  store(kJobsTopic, {KeyOf(kJobPrefix, kId), jobs::Encode(job_)});
  log_.Settle();
  std::optional<CancelResult> cancelled;
  const auto cancel = [&](const JobId& id) {
    cancelled.reset();
    frontend_.Cancel("q", id, clock_.Now() + kSubmitTimeout,
                     [&](CancelResult it) { cancelled = it; });
    log_.Settle();
  };
  cancel(kId);
  EXPECT_EQ(cancelled, CancelResult::kCancelled);
  cancel(JobId("none"));
  EXPECT_EQ(cancelled, CancelResult::kNoSuchJob);
  log_.set_is_down(true);
  cancel(JobId("none"));
  while (!cancelled) {
    // Nothing listens at the leader's address.
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_EQ(cancelled, CancelResult::kFailed);
  frontend_.Stop();
}

// Guards against a leader that shows too few waiting jobs: it counted those
// that it had read seconds ago.
TEST_F(JobFrontendTest, LeaderCountsNoJobsOfAnOldView) {
  JobFrontend frontend(PromptSettings(), context());
  frontend.Start();
  log_.Settle();
  RunUntil([&] { return frontend.HandleLeaderQuery(); });
  log_.Write({kJobsTopic,
              {{KeyOf(kJobPrefix, kId), jobs::Encode(job_)}},
              std::nullopt,
              std::nullopt},
             {}, [](const keyed_log::AppendResult&) {});
  log_.AnswerNext();  // The leader's read of it is not answered yet.
  clock_.Advance(Settings().count_freshness + milliseconds(1));
  ASSERT_TRUE(frontend.HandleLeaderQuery());
  std::optional<size_t> count;
  frontend.CountQueued("q", [&](std::optional<size_t> it) { count = it; });
  EXPECT_FALSE(count);
  log_.Settle();
  EXPECT_EQ(count, 1U);
  frontend.Stop();
}

// Guards against a task that runs on until a busy leader has read that its job
// is cancelled.
TEST_F(JobFrontendTest, LeaderIsToldOfAStoredCancellation) {
  const std::string address = FreeAddress();
  std::optional<std::string> cancelled;
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        if (request.path == cluster_http::kCancellationPath) {
          cancelled = request.body;
        }
        respond({200, {}, {}});
      });
  ASSERT_TRUE(leader.Open());
  log_.Write(
      {kProgressTopic,
       {{kLeaderKey, jobs::Encode(jobs::LeaderRecord{3, "node-9", address})}},
       std::nullopt,
       std::nullopt},
      {}, [](const keyed_log::AppendResult&) {});
  frontend_.Start();
  Submit();
  log_.Settle();
  std::optional<CancelResult> result;
  frontend_.Cancel("q", kId, clock_.Now() + kSubmitTimeout,
                   [&](CancelResult it) { result = it; });
  EXPECT_FALSE(result);
  log_.Settle();
  EXPECT_EQ(result, CancelResult::kCancelled);
  while (!cancelled) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_EQ(*cancelled, kId.text());
  frontend_.Stop();
}

// As above, for a caller that asks for the state of the job.
TEST_F(JobFrontendTest, StateOfAnUnknownJobIsLookedUpInTheStore) {
  const jobs::LeaderRecord leader{3, "node-9", "127.0.0.1:9"};
  log_.Write({kProgressTopic,
              {{kLeaderKey, jobs::Encode(leader)}},
              std::nullopt,
              std::nullopt},
             {}, [](const keyed_log::AppendResult&) {});
  frontend_.Start();
  log_.Settle();
  log_.Write({kJobsTopic,
              {{KeyOf(kJobPrefix, kId), jobs::Encode(job_)}},
              std::nullopt,
              std::nullopt},
             {}, [](const keyed_log::AppendResult&) {});
  std::optional<StateResult> state;
  frontend_.State("q", kId, [&](const StateResult& it) { state = it; });
  log_.Settle();
  ASSERT_TRUE(state);
  EXPECT_EQ(*state, StateResult(jobs::JobState::kQueued));
  frontend_.Stop();
}

}  // namespace
}  // namespace papayadrift::cluster
