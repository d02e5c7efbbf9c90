#include "membership/membership_view.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayadrift::membership {
namespace {

Instant At(int64_t n) {
  return Instant(milliseconds(n));
}
MemberKey Key(uint64_t n, uint64_t life = 1) {
  return {EntryId("e" + std::to_string(n)), Incarnation(life)};
}
std::string AddressOf(uint64_t n) {
  return "10.0.0." + std::to_string(n) + ":90";
}
std::vector<Member> Members(uint64_t count) {
  std::vector<Member> members;
  for (uint64_t n = 1; n <= count; ++n) {
    members.push_back({Key(n), false, Offset(n), AddressOf(n)});
  }
  return members;
}
PeerReport ReportOf(uint64_t n, uint64_t life = 1) {
  return {Key(n, life), AddressOf(n)};
}
MembershipView ViewOf(uint64_t count) {
  MembershipView view(Key(1), AddressOf(1), {});
  view.OnReplayed(Members(count), At(0));
  return view;
}

TEST(ArrivalWatchTest, SuspicionNeedsSilenceAndTrustNeedsSeveralHeartbeats) {
  ArrivalWatch watch({}, At(0));
  watch.OnTime(At(1999));
  EXPECT_FALSE(watch.is_suspected());
  watch.OnTime(At(2000));
  EXPECT_TRUE(watch.is_suspected());
  watch.OnArrival(At(2100));
  watch.OnArrival(At(2200));
  EXPECT_TRUE(watch.is_suspected());
  watch.OnArrival(At(2300));
  EXPECT_FALSE(watch.is_suspected());
  EXPECT_GT(watch.Timeout(), milliseconds(2000));
}

// A peer whose heartbeats come every 2.5 s, over the minimum timeout.
TEST(ArrivalWatchTest, ASlowPeerDoesNotComeAndGo) {
  ArrivalWatch watch({}, At(0));
  int suspicions = 0;
  for (int64_t n = 1; n <= 4000; ++n) {
    const bool was_suspected = watch.is_suspected();
    if (n % 25 == 0) {
      watch.OnArrival(At(n * 100));
    }
    watch.OnTime(At(n * 100));
    suspicions += !was_suspected && watch.is_suspected() ? 1 : 0;
  }
  EXPECT_LE(suspicions, 2);
  EXPECT_FALSE(watch.is_suspected());
}

RC_GTEST_PROP(ArrivalWatchTest, SilenceIsSuspectedWithinTheMaximum, ()) {
  ArrivalWatch watch({}, At(0));
  int64_t now = 0;
  for (const int step :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20'000))) {
    now += step;
    watch.OnArrival(At(now));
  }
  watch.OnTime(At(now + 10'000));
  RC_ASSERT(watch.is_suspected());
}

TEST(MembershipViewTest, DialsSettingsLogAndHeardAddressesButNotItself) {
  MembershipSettings settings;
  settings.first_addresses = {AddressOf(9), AddressOf(1)};
  MembershipView view(Key(1), AddressOf(1), settings);
  view.OnReplayed(Members(2), At(0));
  view.OnHeartbeat(ReportOf(5), At(0));
  EXPECT_EQ(view.AddressesToDial(),
            (std::vector{AddressOf(2), AddressOf(5), AddressOf(9)}));
  view.OnTime(At(60'000));
  EXPECT_EQ(view.AddressesToDial(), (std::vector{AddressOf(2), AddressOf(9)}));
}

TEST(MembershipViewTest, ASilentMemberIsProposedByThoseWhoHearHalf) {
  MembershipView view = ViewOf(4);
  for (int64_t now = 0; now <= 6000; now += 500) {
    view.OnHeartbeat(ReportOf(2), At(now));
    view.OnTime(At(now));
    if (now == 4500) {
      EXPECT_TRUE(view.ProposedLapses(At(now)).empty());
    }
  }
  EXPECT_EQ(view.ProposedLapses(At(6000)), (std::vector{Key(3), Key(4)}));
}

TEST(MembershipViewTest, AnIsolatedMemberWaitsToBeLapsedItself) {
  MembershipView view = ViewOf(4);
  view.OnTime(At(2000));
  EXPECT_TRUE(view.ProposedLapses(At(21'900)).empty());
  EXPECT_EQ(view.ProposedLapses(At(22'000)).size(), 3U);
  std::vector<Member> members = Members(4);
  members[0].is_lapsed = true;
  view.OnReplayed(members, At(22'000));
  EXPECT_TRUE(view.ProposedLapses(At(90'000)).empty());
}

TEST(MembershipViewTest, ANewLifeAtTheSameAddressReplacesTheOldAtOnce) {
  MembershipView view = ViewOf(2);
  view.OnHeartbeat(ReportOf(2, 2), At(100));
  EXPECT_EQ(view.ProposedLapses(At(100)), (std::vector{Key(2)}));
  EXPECT_EQ(view.LiveMembers(), (std::vector{Key(1)}));
}

RC_GTEST_PROP(MembershipViewTest, ALostMemberMovesOnlyItsOwnWorkers, ()) {
  const auto count = *rc::gen::inRange<uint64_t>(2, 9);
  MembershipView view = ViewOf(count);
  std::vector<Member> members = Members(count);
  const auto lost = *rc::gen::inRange<uint64_t>(0, count);
  members[lost].is_lapsed = true;
  MembershipView after = ViewOf(count);
  after.OnReplayed(members, At(0));
  for (int n = 0; n < 100; ++n) {
    const WorkerId worker("w" + std::to_string(n));
    const auto home = view.HomeOf(worker);
    RC_ASSERT(home == members[lost].key || home == after.HomeOf(worker));
    RC_ASSERT(after.HomeOf(worker) != members[lost].key);
  }
}

}  // namespace
}  // namespace papayadrift::membership
