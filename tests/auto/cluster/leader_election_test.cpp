#include "cluster/leader_election.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "async_http/server.h"
#include "cluster/cluster_metrics.h"
#include "cluster/topics.h"
#include "cluster_http/paths.h"
#include "jobs/codec.h"
#include "jobs/directory.h"
#include "process_fixture.h"
#include "support/free_port.h"

namespace papayadrift::cluster {
namespace {

constexpr char kNode[] = "node-1";
constexpr milliseconds kStep(20);
constexpr milliseconds kLongestRun(20'000);
// By how much later than others a candidate campaigns at most.
constexpr milliseconds kSpread(60);

class LeaderElectionTest : public ProcessFixture {
 protected:
  LeaderElectionTest() { clock_.Advance(seconds(100)); }

  // With timers that need little time; the clock is moved by the tests.
  static LeaderElectionSettings Settings() {
    LeaderElectionSettings settings;
    settings.leader_check_period = milliseconds(5);
    settings.leader_poll_period = milliseconds(5);
    return settings;
  }
  std::unique_ptr<LeaderElection> MakeElection(
      const LeaderElectionSettings& settings = Settings()) {
    auto election = std::make_unique<LeaderElection>(
        settings, context(), cluster_metrics_, replica_, frontends_,
        [this](Leader::OnEnd on_end) {
          ++campaign_count_;
          campaigned_at_ = clock_.Now();
          LeaderSettings leader;
          leader.node = kNode;
          leader.address = "127.0.0.1:1";
          return std::make_shared<Leader>(leader, context(), cluster_metrics_,
                                          directory_, replica_,
                                          std::move(on_end));
        },
        [this](Instant started_at) { store_answered_at_ = started_at; });
    election->Start();
    return election;
  }

  void Store(const jobs::LeaderRecord& leader) {
    log_.Write({kProgressTopic,
                {{kLeaderKey, jobs::Encode(leader)}},
                std::nullopt,
                std::nullopt},
               {}, [](const keyed_log::AppendResult&) {});
    log_.Settle();
  }
  // Makes this process a frontend that is no standby.
  void PutStrongerFrontend() {
    frontends_.Put({"strong", "127.0.0.1:1", 1, 64000}, clock_.Now());
  }
  // Moves the clock on with each event.
  void RunUntil(const std::function<bool()>& condition) {
    const Instant limit = clock_.Now() + kLongestRun;
    while (!condition()) {
      ASSERT_LT(clock_.Now(), limit);
      clock_.Advance(kStep);
      // The loop stops when nothing but a call of the store is left.
      loop_.restart();
      ASSERT_GT(loop_.run_one_for(seconds(10)), 0U);
      log_.Settle();
    }
  }
  void RunFor(milliseconds duration) {
    const Instant until = clock_.Now() + duration;
    RunUntil([&] { return clock_.Now() >= until; });
  }
  // Checks for the leader, and returns how long it takes until this process
  // campaigns.
  milliseconds TimeToCampaign(LeaderElection& election) {
    const Instant started_at = clock_.Now();
    election.CheckLeader();
    log_.Settle();
    RunUntil([&] { return campaign_count_ > 0; });
    return std::chrono::floor<milliseconds>(campaigned_at_ - started_at);
  }

  ClusterMetrics cluster_metrics_{metrics_};
  jobs::Directory directory_;
  JobReplica replica_{context(), directory_};
  FrontendList frontends_{{kNode, "127.0.0.1:1", 1, 500}, 1, seconds(3600)};
  int campaign_count_ = 0;
  Instant campaigned_at_;
  std::optional<Instant> store_answered_at_;
};

TEST_F(LeaderElectionTest, FirstFrontendCampaignsAtOnce) {
  const auto election = MakeElection();
  const Instant started_at = clock_.Now();
  EXPECT_EQ(TimeToCampaign(*election), milliseconds(0));
  log_.Settle();
  EXPECT_TRUE(election->is_leading());
  EXPECT_EQ(store_answered_at_, started_at);
  election->Stop();
}

TEST_F(LeaderElectionTest, WeakFrontendLetsOthersCampaignFirst) {
  LeaderElectionSettings settings = Settings();
  settings.campaign_delay = milliseconds(100);
  const auto election = MakeElection(settings);
  const milliseconds time = TimeToCampaign(*election);
  EXPECT_GE(time, settings.campaign_delay);
  EXPECT_LE(time, settings.campaign_delay + kStep);
  election->Stop();
}

TEST_F(LeaderElectionTest, NamedSuccessorCampaignsAtOnce) {
  Store({3, "node-9", "127.0.0.1:9", 0, true, kNode});
  LeaderElectionSettings settings = Settings();
  settings.campaign_delay = milliseconds(100);
  const auto election = MakeElection(settings);
  EXPECT_EQ(TimeToCampaign(*election), milliseconds(0));
  election->Stop();
}

// Guards against frontends that all campaign after each planned stop, and
// against a cluster without a leader if the successor is lost.
TEST_F(LeaderElectionTest, OthersWaitForTheNamedSuccessor) {
  Store({3, "node-9", "127.0.0.1:9", 0, true, "node-2"});
  LeaderElectionSettings settings = Settings();
  settings.campaign_delay = milliseconds(100);
  const auto election = MakeElection(settings);
  const milliseconds time = TimeToCampaign(*election);
  EXPECT_GE(time, settings.successor_timeout + settings.campaign_delay);
  EXPECT_LE(time, settings.successor_timeout + settings.campaign_delay + kStep);
  election->Stop();
}

// Guards against a restarted leader that waits for itself.
TEST_F(LeaderElectionTest, LastLeaderCampaignsAtOnceAfterItsRestart) {
  Store({3, kNode, "127.0.0.1:1"});
  const auto election = MakeElection();
  EXPECT_EQ(TimeToCampaign(*election), milliseconds(0));
  election->Stop();
}

// Guards against a restarted cluster that takes what it reads of its last
// leader for a sign that this one is alive.
TEST_F(LeaderElectionTest, RecordsFromBeforeTheStartAreNoSignOfALeader) {
  Store({3, "node-9", FreeAddress()});
  const auto election = MakeElection();
  const milliseconds time = TimeToCampaign(*election);
  EXPECT_GE(time, Settings().startup_leader_timeout);
  EXPECT_LT(time, Settings().leader_timeout);
  election->Stop();
}

// Guards against two leaders by turns, and against a cluster without one.
TEST_F(LeaderElectionTest, LeaderIsReplacedOnceItStoresNothing) {
  const std::string address = FreeAddress();
  Store({3, "node-9", address});
  const auto election = MakeElection();
  election->CheckLeader();
  log_.Settle();
  for (uint64_t i = 1; i <= 4; ++i) {
    RunFor(Settings().startup_leader_timeout - milliseconds(100));
    EXPECT_EQ(campaign_count_, 0);
    Store({3, "node-9", address, i});
  }
  const Instant stored_at = clock_.Now();
  RunUntil([&] { return campaign_count_ > 0; });
  EXPECT_GE(campaigned_at_ - stored_at, Settings().leader_timeout);
  // The read of the last record and the query take a few events.
  EXPECT_LE(campaigned_at_ - stored_at,
            Settings().leader_timeout + kSpread + 20 * kStep);
  election->Stop();
}

// Guards against a working leader that loses its term while the store is slow,
// and against a query that is taken for the last word.
TEST_F(LeaderElectionTest, LeaderThatAnswersKeepsItsTerm) {
  const std::string address = FreeAddress();
  int query_count = 0;
  Instant asked_at;
  bool is_leader = true;
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        EXPECT_EQ(request.path, cluster_http::kLeaderPath);
        ++query_count;
        asked_at = clock_.Now();
        respond({is_leader ? 200 : 409, {}, {}});
      });
  ASSERT_TRUE(leader.Open());
  Store({3, "node-9", address});
  const auto election = MakeElection();
  election->CheckLeader();
  log_.Settle();
  RunUntil([&] { return query_count == 3; });
  EXPECT_EQ(campaign_count_, 0);
  is_leader = false;
  const Instant answered_at = asked_at;
  RunUntil([&] { return campaign_count_ > 0; });
  EXPECT_EQ(query_count, 4);
  EXPECT_LT(asked_at - answered_at, Settings().leader_timeout / 2);
  election->Stop();
}

// Guards against a campaign for the term after one that has just been won: what
// was asked of the leader before it no longer counts.
TEST_F(LeaderElectionTest, NewTermDuringTheQueryIsLeftAlone) {
  const std::string address = FreeAddress();
  async_http::Respond unanswered;
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request&, const async_http::Respond& respond) {
        unanswered = respond;
      });
  ASSERT_TRUE(leader.Open());
  Store({3, "node-9", address});
  LeaderElectionSettings settings = Settings();
  settings.leader_query_timeout = seconds(10);
  const auto election = MakeElection(settings);
  election->CheckLeader();
  log_.Settle();
  RunUntil([&] { return unanswered != nullptr; });
  Store({4, "node-8", address});
  replica_.CatchUpOnProgress([](bool) {});
  log_.Settle();
  ASSERT_EQ(replica_.leader().term, 4U);
  unanswered({409, {}, {}});
  RunFor(Settings().leader_timeout / 2);
  EXPECT_EQ(campaign_count_, 0);
  election->Stop();
}

// Guards against every frontend of a large deployment reading everything that
// is stored.
TEST_F(LeaderElectionTest, NonStandbyAsksTheLeader) {
  const std::string address = FreeAddress();
  int query_count = 0;
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request&, const async_http::Respond& respond) {
        ++query_count;
        respond({200, {}, {}});
      });
  ASSERT_TRUE(leader.Open());
  PutStrongerFrontend();
  const auto election = MakeElection();
  election->OnLeaderPublished({3, "strong", address});
  election->OnLeaderPublished({2, "earlier", "127.0.0.1:9"});
  EXPECT_EQ(election->leader_address(), address);
  election->CheckLeader();
  for (int i = 1; i <= 4; ++i) {
    RunUntil([&] { return query_count >= i; });
    clock_.Advance(Settings().standby_takeover_timeout / 2);
  }
  EXPECT_FALSE(election->is_following());
  EXPECT_EQ(log_.read_count(kProgressTopic), 0U);
  EXPECT_EQ(log_.read_count(kJobsTopic), 0U);
  EXPECT_EQ(campaign_count_, 0);
  election->Stop();
}

// Guards against a cluster without a leader when all standbys are lost at once.
TEST_F(LeaderElectionTest, NonStandbyTakesOverFromASilentLeader) {
  const std::string address = FreeAddress();
  PutStrongerFrontend();
  Store({3, "strong", address});
  const auto election = MakeElection();
  election->OnLeaderPublished({3, "strong", address});
  const Instant started_at = clock_.Now();
  election->CheckLeader();
  RunUntil([&] { return election->is_following(); });
  EXPECT_GE(clock_.Now() - started_at, Settings().standby_takeover_timeout);
  // A query and the check after it take a few events.
  EXPECT_LE(clock_.Now() - started_at,
            Settings().standby_takeover_timeout + 10 * kStep);
  EXPECT_EQ(campaign_count_, 0);
  const Instant read_at = clock_.Now();
  RunUntil([&] { return campaign_count_ > 0; });
  EXPECT_GE(campaigned_at_ - read_at, Settings().startup_leader_timeout);
  EXPECT_LT(campaigned_at_ - read_at, Settings().leader_timeout);
  election->Stop();
}

// Guards against a small frontend that goes on reading and campaigning after
// the strong ones are back.
TEST_F(LeaderElectionTest, TakeoverEndsWithARecordOfALeader) {
  const std::string address = FreeAddress();
  PutStrongerFrontend();
  Store({3, "strong", address});
  const auto election = MakeElection();
  election->OnLeaderPublished({3, "strong", address});
  election->CheckLeader();
  RunUntil([&] { return election->is_following(); });
  RunFor(Settings().startup_leader_timeout / 2);
  Store({3, "strong", address, 1});
  RunUntil([&] { return !election->is_following(); });
  EXPECT_EQ(campaign_count_, 0);
  // The next takeover waits for a record anew.
  RunUntil([&] { return election->is_following(); });
  const Instant read_at = clock_.Now();
  RunUntil([&] { return campaign_count_ > 0; });
  EXPECT_GE(campaigned_at_ - read_at, Settings().startup_leader_timeout);
  election->Stop();
}

// As above, if the store has no record of the leader.
TEST_F(LeaderElectionTest, TakeoverEndsWithAnAnswerOfTheLeader) {
  const std::string address = FreeAddress();
  bool is_leader = false;
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request&, const async_http::Respond& respond) {
        respond({is_leader ? 200 : 409, {}, {}});
      });
  ASSERT_TRUE(leader.Open());
  PutStrongerFrontend();
  Store({3, "strong", address});
  const auto election = MakeElection();
  election->OnLeaderPublished({3, "strong", address});
  election->CheckLeader();
  RunUntil([&] { return election->is_following(); });
  is_leader = true;
  RunUntil([&] { return !election->is_following(); });
  EXPECT_EQ(campaign_count_, 0);
  election->Stop();
}

// Guards against a campaign beside a leader that was elected while this process
// waited for its turn.
TEST_F(LeaderElectionTest, SuccessorThatLeadsIsAskedFirst) {
  const std::string address = FreeAddress();
  int query_count = 0;
  async_http::Server leader(
      loop_, {address},
      [&](const http::Request&, const async_http::Respond& respond) {
        ++query_count;
        respond({200, {}, {}});
      });
  ASSERT_TRUE(leader.Open());
  Store({3, "node-9", "127.0.0.1:9", 0, true, "node-2"});
  const auto election = MakeElection();
  election->CheckLeader();
  log_.Settle();
  RunFor(Settings().successor_timeout / 2);
  Store({4, "node-2", address});
  RunUntil([&] { return query_count == 2; });
  EXPECT_EQ(campaign_count_, 0);
  election->Stop();
}

// Guards against a leader that resigns in favour of a process which can't lead
// at once.
TEST_F(LeaderElectionTest, OnlyAnUpToDateFollowerIsAStandby) {
  Store({3, "node-9", FreeAddress()});
  const auto election = MakeElection();
  EXPECT_FALSE(election->HandleStandbyQuery());
  // A caller's query makes the replica read.
  replica_.CatchUpOnJobs([](bool) {});
  replica_.CatchUpOnProgress([](bool) {});
  log_.Settle();
  EXPECT_FALSE(election->HandleStandbyQuery());
  election->CheckLeader();
  log_.Settle();
  EXPECT_TRUE(election->HandleStandbyQuery());
  clock_.Advance(Settings().leader_timeout + milliseconds(1));
  EXPECT_FALSE(election->HandleStandbyQuery());
  RunUntil([&] { return campaign_count_ > 0; });
  EXPECT_FALSE(election->HandleStandbyQuery());
  election->Stop();
}

TEST_F(LeaderElectionTest, StoppingProcessIsNoStandby) {
  Store({3, "node-9", FreeAddress()});
  const auto election = MakeElection();
  election->CheckLeader();
  log_.Settle();
  ASSERT_TRUE(election->HandleStandbyQuery());
  election->Stop();
  EXPECT_FALSE(election->HandleStandbyQuery());
  EXPECT_FALSE(election->HandleSuccession());
  clock_.Advance(Settings().leader_timeout);
  do {
    loop_.restart();
    log_.Settle();
  } while (loop_.run_one_for(milliseconds(50)) > 0);
  EXPECT_EQ(campaign_count_, 0);
}

// Guards against a successor that waits for its next check.
TEST_F(LeaderElectionTest, SuccessorReadsTheResignationAtOnce) {
  const std::string address = FreeAddress();
  Store({3, "node-9", address});
  LeaderElectionSettings settings = Settings();
  settings.leader_check_period = seconds(3600);
  const auto election = MakeElection(settings);
  election->CheckLeader();
  log_.Settle();
  Store({3, "node-9", address, 0, true, kNode});
  EXPECT_EQ(campaign_count_, 0);
  EXPECT_TRUE(election->HandleSuccession());
  log_.Settle();
  EXPECT_EQ(campaign_count_, 1);
  election->Stop();
}

// Guards against a leader on a small VM that goes on after a larger one is
// back.
TEST_F(LeaderElectionTest, LeaderHandsOverToALargerStandby) {
  const std::string address = FreeAddress();
  bool is_named = false;
  async_http::Server larger(
      loop_, {address},
      [&](const http::Request& request, const async_http::Respond& respond) {
        is_named |= request.path == cluster_http::kSuccessionPath;
        constexpr uint64_t kFastest = 1'000'000'000'000;
        respond({200, {}, std::to_string(kFastest)});
      });
  ASSERT_TRUE(larger.Open());
  const auto election = MakeElection();
  election->CheckLeader();
  log_.Settle();
  ASSERT_TRUE(election->is_leading());
  frontends_.Put({"larger", address, 1, 64000}, clock_.Now());
  RunUntil([&] { return is_named; });
  EXPECT_FALSE(election->is_leading());
  replica_.CatchUpOnProgress([](bool) {});
  log_.Settle();
  EXPECT_TRUE(replica_.leader().has_resigned);
  EXPECT_EQ(replica_.leader().successor, "larger");
  election->Stop();
}

TEST_F(LeaderElectionTest, TimeWithoutALeaderIsCounted) {
  Store({3, "node-9", FreeAddress()});
  const auto election = MakeElection();
  const auto counted = [&] {
    return milliseconds(
        metrics_.AddGauge("papayadrift_leaderless_milliseconds", "").value());
  };
  election->CheckLeader();
  log_.Settle();
  RunUntil([&] { return campaign_count_ > 0; });
  EXPECT_GE(counted(), Settings().leader_timeout);
  RunUntil([&] { return counted() == milliseconds(0); });
  EXPECT_TRUE(election->is_leading());
  election->Stop();
}

// Guards against a cluster that stays without a leader after an outage of the
// store, and against candidates that know nothing of the last term.
TEST_F(LeaderElectionTest, OutageOfTheStoreIsWaitedOut) {
  const auto election = MakeElection();
  log_.set_is_down(true);
  election->CheckLeader();
  log_.Settle();
  RunFor(10 * kStep);
  EXPECT_EQ(campaign_count_, 0);
  EXPECT_FALSE(store_answered_at_);
  log_.set_is_down(false);
  RunUntil([&] { return election->is_leading(); });
  election->Stop();
}

// Guards against a process that never campaigns again after a lost election.
TEST_F(LeaderElectionTest, LostElectionIsFollowedByTheNext) {
  const auto election = MakeElection();
  log_.set_loses_answers(true);
  election->CheckLeader();
  while (campaign_count_ == 0) {
    log_.AnswerNext();
  }
  ASSERT_NE(election->leader(), nullptr);
  // The store doesn't answer the candidacy.
  log_.Settle();
  loop_.restart();
  loop_.poll();
  EXPECT_EQ(election->leader(), nullptr);
  EXPECT_FALSE(election->is_leading());
  log_.set_loses_answers(false);
  RunUntil([&] { return election->is_leading(); });
  EXPECT_EQ(campaign_count_, 2);
  election->Stop();
}

}  // namespace
}  // namespace papayadrift::cluster
