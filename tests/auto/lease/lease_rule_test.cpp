// Tests the classes of the lease rule together, under random histories.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <variant>

#include "lease/freeze_promises.h"
#include "lease/lapse_timer.h"
#include "lease/lease_settings.h"
#include "lease/renewer.h"
#include "lease/rule.h"
#include "lease/worker_lease.h"

namespace papayadrift::lease {
namespace {

// Returns a number in [`low`, `end`), uniformly distributed at any test size.
template <typename T>
T RandomInRange(T low, T end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, end));
}

const WorkerKey kWorker{WorkerId("w"), Incarnation(1)};

MemberKey Key(uint64_t n) {
  return {EntryId("e" + std::to_string(n)), Incarnation(n)};
}

Member MemberOf(uint64_t n, uint64_t joined_at, std::string address) {
  return {Key(n), false, Offset(joined_at), std::move(address)};
}

struct JoinRecord {
  Member member;
};
struct LapseRecord {
  MemberKey author;
  LapseSubject subject;
};
using LogRecord = std::variant<JoinRecord, LapseRecord>;

// An entry with a clock of its own rate.
struct Node {
  MemberKey key;
  Renewer renewer;
  FreezePromises promises;
  LapseTimer timer;
  int64_t rate_ppm;
  ReplayedMembers replayed{};
  bool is_worker_lapsed = false;

  Node(uint64_t n, LeaseSettings s, int64_t rate)
      : key(Key(n)),
        renewer(key, s),
        promises(key, s),
        timer(s),
        rate_ppm(rate) {}

  Instant At(int64_t true_ms) const {
    return Instant(microseconds(true_ms * (1'000'000 + rate_ppm) / 1000));
  }

  void Apply(const LogRecord& record, Instant now) {
    replayed.applied = replayed.applied.Next();
    if (const auto* join = std::get_if<JoinRecord>(&record)) {
      replayed.members.push_back(join->member);
      replayed.last_change = replayed.applied;
      return;
    }
    const auto& lapse = std::get<LapseRecord>(record);
    if (lapse.author == key) {
      promises.OnLapseResolved(lapse.subject);
    }
    if (!IsLiveMember(replayed.members, lapse.author)) {
      return;
    }
    replayed.last_change = replayed.applied;
    is_worker_lapsed |= std::holds_alternative<WorkerKey>(lapse.subject);
    for (Member& member : replayed.members) {
      member.is_lapsed |= lapse.subject == LapseSubject(member.key);
    }
    timer.OnLapseSeen(lapse.subject, now);
  }

  void Read(const std::vector<LogRecord>& log, Instant now) {
    for (size_t i = replayed.applied.value(); i < log.size(); ++i) {
      Apply(log[i], now);
    }
    renewer.OnReplayed(replayed);
    promises.OnReplayed(replayed, now);
    renewer.OnTailRead(now);
  }
};

// Entries, one worker and the log, driven by random choices.
class Cluster {
 public:
  explicit Cluster(LeaseSettings settings) : settings_(settings) {
    log_ = {JoinRecord{MemberOf(1, 1, "a")}, JoinRecord{MemberOf(2, 2, "b")}};
    Start(1);
    Start(2);
    for (Node& node : nodes_) {
      node.Read(log_, node.At(0));
    }
    Acknowledge(nodes_[0], nodes_[1]);
    Acknowledge(nodes_[1], nodes_[0]);
  }

  void Step() {
    now_ += RandomInRange(0, 150);
    Node& node = nodes_[RandomInRange<size_t>(0, nodes_.size())];
    Node& peer = nodes_[RandomInRange<size_t>(0, nodes_.size())];
    const Instant now = node.At(now_);
    switch (RandomInRange(0, 6)) {
      case 0:
        return node.Read(log_, now);
      case 1:
        return node.renewer.OnAnswer(peer.promises.OnRequest(
            node.renewer.CreateRequest(now), peer.At(now_)));
      case 2:
        return Renew(node, now);
      case 3:
        return Lapse(node, now);
      case 4:
        return Acknowledge(node, peer);
      default:
        return Join();
    }
  }

  bool IsSafe() const {
    return std::ranges::all_of(nodes_, [&](const Node& node) {
      return node.timer.CompletedLapses(node.At(now_)).empty() ||
             !lease_.IsLive(WorkerNow());
    });
  }
  bool HasCompleted() const {
    return !nodes_[0].timer.CompletedLapses(nodes_[0].At(now_)).empty();
  }

 private:
  Instant WorkerNow() const { return Instant(microseconds(now_ * 950)); }

  void Start(uint64_t n) {
    nodes_.emplace_back(n, settings_, RandomInRange(-50'000, 50'001));
  }
  // Node 3 joins. Nodes that do not read the log do not know it.
  void Join() {
    if (nodes_.size() == 2) {
      log_.emplace_back(JoinRecord{MemberOf(3, log_.size() + 1, "c")});
      Start(3);
    }
  }
  void Acknowledge(Node& joiner, Node& member) {
    const auto notice = joiner.promises.OwnNotice();
    if (notice && joiner.key != member.key) {
      member.renewer.OnNotice(*notice);
      joiner.promises.OnAcknowledged(
          member.promises.OnNotice(*notice, member.At(now_)), joiner.At(now_));
    }
  }
  void Renew(Node& node, Instant now) {
    lease_.OnHeartbeatSent(++sequence_, WorkerNow());
    const RenewalTarget target{kWorker, node.is_worker_lapsed,
                               node.promises.IsLapsePending(kWorker)};
    if (node.renewer.MayRenew(target, now)) {
      lease_.OnAnswer({sequence_, Incarnation(1), settings_.renewal, Offset()},
                      WorkerNow());
    }
  }
  void Lapse(Node& node, Instant now) {
    if (!node.promises.FindLapseRefusal(now) && !node.is_worker_lapsed) {
      node.promises.OnLapseProposed(kWorker);
      log_.emplace_back(LapseRecord{node.key, kWorker});
    }
  }

  const LeaseSettings settings_;
  int64_t now_ = 0;  // True time, in milliseconds.
  std::vector<LogRecord> log_;
  std::deque<Node> nodes_;
  WorkerLease lease_{Incarnation(1)};
  uint64_t sequence_ = 0;
};

LeaseSettings ShortSettings() {
  LeaseSettings settings;
  settings.renewal = milliseconds(300);
  settings.tail_freshness = milliseconds(200);
  settings.promise = milliseconds(900);
  settings.outage_cap = milliseconds(3000);
  settings.pause_margin = milliseconds(1);
  settings.clock_rate_error_ppm = 50'000;
  return settings;
}

RC_GTEST_PROP(LeaseRuleTest, NoLeaseOutlivesItsLapse, ()) {
  Cluster cluster(ShortSettings());
  for (int i = 0; i < 80; ++i) {
    cluster.Step();
    RC_ASSERT(cluster.IsSafe());
  }
  RC_CLASSIFY(cluster.HasCompleted(), "a lapse was complete");
}

RC_GTEST_PROP(LeaseRuleTest, ExtendedDurationCoversSlowestClock, ()) {
  LeaseSettings settings;
  settings.clock_rate_error_ppm = RandomInRange(0, 500'001);
  const int64_t d = RandomInRange<int64_t>(0, 40'000'000'000);
  const int64_t fast = ExtendForClockError(microseconds(d), settings).count();
  const int64_t e = settings.clock_rate_error_ppm;
  RC_ASSERT(static_cast<long double>(fast) * (1'000'000 - e) >=
            static_cast<long double>(d) * (1'000'000 + e));
}

TEST(LeaseRuleTest, LoneMemberRenewsWithoutLogUntilOutageCap) {
  Node node(1, ShortSettings(), 0);
  node.Read({JoinRecord{MemberOf(1, 1, "a")}}, node.At(0));
  EXPECT_EQ(node.renewer.MayUseShares(node.At(100)), RenewalBasis::kFreshTail);
  EXPECT_EQ(node.renewer.MayUseShares(node.At(2999)), RenewalBasis::kPromises);
  EXPECT_EQ(node.renewer.MayUseShares(node.At(3000)), std::nullopt);
  EXPECT_EQ(node.renewer.last_reason(), RenewalRefusal::kOutageCapPassed);
  EXPECT_EQ(node.promises.FindLapseRefusal(node.At(1)), std::nullopt);
}

TEST(LeaseRuleTest, WantedLapseStopsPromises) {
  Node node(1, ShortSettings(), 0);
  node.Read({JoinRecord{MemberOf(1, 1, "a")}}, node.At(0));
  const FreezeRequest request{Key(2), 1, Offset(1), {}};
  EXPECT_FALSE(node.promises.OnRequest(request, node.At(0)).refusal);
  node.promises.OnLapseWanted(kWorker);
  EXPECT_EQ(node.promises.OnRequest(request, node.At(10)).refusal,
            FreezeRefusal::kLapseWanted);
  EXPECT_EQ(node.promises.FindLapseRefusal(node.At(900)),
            LapseRefusal::kPromiseKept);
  EXPECT_EQ(node.promises.FindLapseRefusal(node.At(1000)), std::nullopt);
}

TEST(LeaseRuleTest, ResolvedLapseAllowsPromises) {
  Node node(1, ShortSettings(), 0);
  node.Read({JoinRecord{MemberOf(1, 1, "a")}}, node.At(0));
  const FreezeRequest request{Key(2), 1, Offset(1), {}};
  node.promises.OnLapseWanted(kWorker);
  node.promises.OnLapseProposed(kWorker);
  EXPECT_EQ(node.promises.OnRequest(request, node.At(10)).refusal,
            FreezeRefusal::kLapsePending);
  node.promises.OnLapseResolved(kWorker);
  EXPECT_EQ(node.promises.OnRequest(request, node.At(20)).refusal,
            std::nullopt);
}

// Node 1 has authored lapses that may still take effect; node 2 cannot read the
// log.
class PendingLapseTest : public testing::Test {
 protected:
  PendingLapseTest() {
    const std::vector<LogRecord> log = {JoinRecord{MemberOf(1, 1, "a")},
                                        JoinRecord{MemberOf(2, 2, "b")}};
    author_.Read({log.front()}, kStart);
    author_.Read(log, kStart);
    requester_.Read(log, kStart);
  }

  // Requests a promise and returns why it does not allow renewing `subject`.
  std::optional<RenewalRefusal> RefusalOf(const LapseSubject& subject) {
    requester_.renewer.OnAnswer(author_.promises.OnRequest(
        requester_.renewer.CreateRequest(kOutage), kOutage));
    requester_.renewer.MayRenew({.subject = subject}, kOutage);
    return requester_.renewer.last_reason();
  }

  static constexpr Instant kStart{};
  static constexpr Instant kOutage{milliseconds(500)};  // The tail is stale.
  Node author_{1, ShortSettings(), 0};
  Node requester_{2, ShortSettings(), 0};
};

TEST_F(PendingLapseTest, PromiseExcludesOnlyPendingSubjects) {
  author_.promises.OnLapseWanted(kWorker);
  author_.promises.OnLapseProposed(kWorker);
  EXPECT_EQ(RefusalOf(kWorker), RenewalRefusal::kTargetExcluded);
  EXPECT_EQ(RefusalOf(WorkerKey{WorkerId("w"), Incarnation(2)}), std::nullopt);
  EXPECT_EQ(requester_.renewer.MayUseShares(kOutage), RenewalBasis::kPromises);
  // Regardless of its exclusions, no other lapse may begin while the promise
  // holds.
  EXPECT_EQ(author_.promises.FindLapseRefusal(kOutage),
            LapseRefusal::kPromiseKept);
  author_.promises.OnLapseResolved(kWorker);
  EXPECT_EQ(RefusalOf(kWorker), std::nullopt);
}

TEST_F(PendingLapseTest, RequesterWithPendingLapseGetsNoPromise) {
  author_.promises.OnLapseProposed(Key(2));
  EXPECT_EQ(RefusalOf(kWorker), RenewalRefusal::kPromiseMissing);
}

TEST_F(PendingLapseTest, NoPromiseAboveExclusionLimit) {
  for (uint64_t n = 1; n <= kMaximumExclusions; ++n) {
    author_.promises.OnLapseProposed(WorkerKey{WorkerId("v"), Incarnation(n)});
  }
  EXPECT_EQ(RefusalOf(kWorker), std::nullopt);
  author_.promises.OnLapseProposed(WorkerKey{WorkerId("u"), Incarnation(1)});
  const FreezeRequest request = requester_.renewer.CreateRequest(kOutage);
  EXPECT_EQ(author_.promises.OnRequest(request, kOutage).refusal,
            FreezeRefusal::kLapsePending);
}

TEST(LeaseRuleTest, ReplacementNeedsNoAcknowledgementOfPredecessor) {
  Node node(2, ShortSettings(), 0);
  node.Read({JoinRecord{MemberOf(1, 1, "a")}, JoinRecord{MemberOf(2, 2, "a")}},
            node.At(0));
  EXPECT_TRUE(node.promises.IsFullMember(node.At(0)));
  Node other(3, ShortSettings(), 0);
  other.Read({JoinRecord{MemberOf(1, 1, "a")}, JoinRecord{MemberOf(3, 2, "b")}},
             other.At(0));
  EXPECT_FALSE(other.promises.IsFullMember(other.At(3000)));
  EXPECT_TRUE(other.promises.IsFullMember(other.At(3400)));
}

TEST(LeaseRuleTest, RetirementWaivesOnlyFullMembership) {
  Node node(3, ShortSettings(), 0);
  EXPECT_EQ(node.promises.FindRetirementRefusal(node.At(0)),
            LapseRefusal::kNotMember);
  std::vector<LogRecord> log = {JoinRecord{MemberOf(1, 1, "a")},
                                JoinRecord{MemberOf(3, 2, "b")}};
  node.Read(log, node.At(0));
  EXPECT_EQ(node.promises.FindLapseRefusal(node.At(0)),
            LapseRefusal::kNotFullMember);
  EXPECT_EQ(node.promises.FindRetirementRefusal(node.At(0)), std::nullopt);
  node.promises.OnRequest({Key(4), 1, Offset(2), {}}, node.At(0));
  EXPECT_EQ(node.promises.FindRetirementRefusal(node.At(1)),
            LapseRefusal::kPromiseKept);
  // No member is left whose acknowledgement it needs.
  log.emplace_back(LapseRecord{Key(3), Key(1)});
  node.Read(log, node.At(2));
  EXPECT_TRUE(node.promises.IsFullMember(node.At(2)));
}

TEST(LeaseSettingsTest, RejectsInvalidRelations) {
  EXPECT_EQ(Check(LeaseSettings()), std::nullopt);
  LeaseSettings settings;
  settings.renewal = milliseconds(2999);
  EXPECT_EQ(Check(settings), LeaseSettingsFault::kRenewalTooShort);
  settings = LeaseSettings();
  settings.promise = milliseconds(4499);
  EXPECT_EQ(Check(settings), LeaseSettingsFault::kPromiseTooShort);
  settings = LeaseSettings();
  settings.outage_cap = milliseconds(5999);
  EXPECT_EQ(Check(settings), LeaseSettingsFault::kCapTooShort);
  settings = LeaseSettings();
  settings.clock_rate_error_ppm = 500'001;
  EXPECT_EQ(Check(settings), LeaseSettingsFault::kClockRateErrorOutOfRange);
}

}  // namespace
}  // namespace papayadrift::lease
