#include "routing/request_engine.h"

#include <gtest/gtest.h>

#include "routing/routing_state.h"

namespace papayadrift::routing {
namespace {

const ServiceId kChecks("checks");
const ServiceId kDispatches("dispatches");

class RequestEngineTest : public testing::Test {
 protected:
  RequestEngineTest() : engine_(Settings()) { Publish({"a", "b"}); }

  static RoutingSettings Settings() {
    RoutingSettings settings;
    settings.identity_prefix = "entry";
    return settings;
  }

  void Publish(const std::vector<std::string>& addresses) {
    ServiceRoute checks;
    checks.service = kChecks;
    for (const std::string& address : addresses) {
      checks.runners.push_back({address, ZoneId("z"), WorkerId(address), 2, 4});
    }
    ServiceRoute dispatches = checks;
    dispatches.service = kDispatches;
    dispatches.is_idempotent = false;
    for (RunnerRoute& it : dispatches.runners) {
      it.address += "-dispatches";
    }
    state_ = std::make_shared<const RoutingState>(
        NextRoutingState(*state_, RoutingTable({checks, dispatches})));
    Handle(TableChanged{state_});
  }

  std::vector<Action> Handle(Event event) {
    return engine_.Handle(std::move(event), {now_, WallInstant()});
  }

  std::vector<Action> Arrive(uint64_t id, const ServiceId& service) {
    RequestInfo info;
    info.id = RequestId(id);
    info.customer = CustomerId("c");
    info.service = service;
    info.deadline = now_ + seconds(1);
    info.key = IdempotencyKey("k");
    return Handle(RequestArrived{info});
  }

  // Returns the first action of the given type, or null.
  template <typename Kind>
  static const Kind* Find(const std::vector<Action>& actions) {
    for (const Action& it : actions) {
      if (const auto* found = std::get_if<Kind>(&it)) {
        return found;
      }
    }
    return nullptr;
  }

  RequestEngine engine_;
  Instant now_{seconds(100)};
  std::shared_ptr<const RoutingState> state_ =
      std::make_shared<const RoutingState>();
};

TEST_F(RequestEngineTest, PassesOnTheAnswerToItsOwnRequestOnce) {
  const auto sent = Arrive(1, kChecks);
  const Send* send = Find<Send>(sent);
  ASSERT_NE(send, nullptr);
  const AnswerArrived answer{send->send, send->identity, {200, {}, "whole"}};
  const auto first = Handle(answer);
  ASSERT_NE(Find<Answer>(first), nullptr);
  EXPECT_EQ(Find<Answer>(first)->response.body, "whole");
  EXPECT_EQ(Find<Answer>(Handle(answer)), nullptr);
  EXPECT_EQ(engine_.unmatched_result_count(), 1);
  EXPECT_TRUE(engine_.is_idle());
}

TEST_F(RequestEngineTest, KeyIsClaimedBeforeAnythingIsSent) {
  const auto arrived = Arrive(1, kDispatches);
  EXPECT_NE(Find<ClaimKey>(arrived), nullptr);
  EXPECT_EQ(Find<Send>(arrived), nullptr);
  const auto accepted = Handle(KeyClaimFinished{RequestId(1), KeyAccepted{}});
  EXPECT_NE(Find<Send>(accepted), nullptr);
}

TEST_F(RequestEngineTest, ADispatchThatMayHaveLeftIsNotSentAgain) {
  Arrive(1, kDispatches);
  const auto accepted = Handle(KeyClaimFinished{RequestId(1), KeyAccepted{}});
  const SendId send = Find<Send>(accepted)->send;
  const auto failed = Handle(SendFailed{send, http::ClientFailure::kLost});
  EXPECT_EQ(Find<Send>(failed), nullptr);
  ASSERT_NE(Find<Refuse>(failed), nullptr);
  EXPECT_EQ(Find<Refuse>(failed)->refusal.ran, Ran::kUnknown);
  EXPECT_EQ(Find<ResolveKey>(failed)->ran, Ran::kUnknown);
}

TEST_F(RequestEngineTest, AsksForSlotsOnceARequestHasWaitedLong) {
  for (uint64_t id = 1; id <= 4; ++id) {
    EXPECT_NE(Find<Send>(Arrive(id, kChecks)), nullptr);
  }
  EXPECT_EQ(Find<Send>(Arrive(5, kChecks)), nullptr);
  now_ += milliseconds(9);
  EXPECT_EQ(Find<SlotsWanted>(Handle(TimerFired())), nullptr);
  now_ += milliseconds(1);
  const auto actions = Handle(TimerFired());
  const auto* wanted = Find<SlotsWanted>(actions);
  ASSERT_NE(wanted, nullptr);
  EXPECT_EQ(*wanted, (SlotsWanted{kChecks, 1}));
  // Reported no more often than once per delay, and again while the shortage
  // lasts.
  EXPECT_EQ(Find<SlotsWanted>(Handle(TimerFired())), nullptr);
  now_ += milliseconds(10);
  EXPECT_NE(Find<SlotsWanted>(Handle(TimerFired())), nullptr);
}

TEST_F(RequestEngineTest, UsesSlotsThatAreAllowedWithoutANewTable) {
  for (uint64_t id = 1; id <= 5; ++id) {
    Arrive(id, kChecks);
  }
  EXPECT_EQ(engine_.waiting_count(), 1);
  state_->counters.at("a")->SetLimit({3, now_ + seconds(1)});
  EXPECT_EQ(Find<Send>(Handle(SlotsChanged{kDispatches})), nullptr);
  EXPECT_NE(Find<Send>(Handle(SlotsChanged{kChecks})), nullptr);
  EXPECT_EQ(engine_.waiting_count(), 0);
}

TEST_F(RequestEngineTest, AcquiresNoSlotAfterSlotsHaveExpired) {
  engine_.SetUsableUntil(now_);
  EXPECT_EQ(Find<Send>(Arrive(1, kChecks)), nullptr);
  EXPECT_EQ(engine_.SetUsableUntil(now_ + seconds(1)), now_);
  EXPECT_NE(Find<Send>(Handle(SlotsChanged())), nullptr);
}

}  // namespace
}  // namespace papayadrift::routing
