#include "routing/router.h"

#include <atomic>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "fake_cluster.h"

namespace papayadrift::routing {
namespace {

constexpr int kThreads = 4;
constexpr int kRequests = 2000;

// Responds to each send immediately, on the thread that runs the engine.
struct Loopback {
  Router* router = nullptr;
  std::atomic<int> final_actions = 0;
  std::atomic<int> open = 0;
  std::atomic<int> peak = 0;

  void operator()(const Action& action, EventTime now) {
    if (const auto* send = std::get_if<Send>(&action)) {
      peak = std::max(peak.load(), ++open);
      --open;
      router->Handle(
          AnswerArrived{send->send, send->identity, {200, {}, "answer"}}, now);
    }
    const bool is_final = std::holds_alternative<Answer>(action) ||
                          std::holds_alternative<Refuse>(action);
    final_actions += is_final ? 1 : 0;
  }
};

TEST(RouterTest, EachRequestEndsOnceWithManyThreadsWhileTablesChange) {
  const EventTime now{Instant(seconds(1)), WallInstant()};
  Loopback loopback;
  Router router({}, [&](const Action& action) { loopback(action, now); });
  loopback.router = &router;
  const RoutingTable table({FakeService(kChecks, kSlots)});
  router.Publish(table, now);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int it = 0; it < kThreads; ++it) {
    threads.emplace_back([&] {
      for (int n = 0; n < kRequests; ++n) {
        EXPECT_TRUE(router.Summary(ServiceId(kChecks)).is_known);
        RequestInfo info;
        info.id = router.NextRequest();
        info.customer = CustomerId("customer");
        info.service = ServiceId(kChecks);
        info.deadline = now.instant + seconds(1);
        router.Handle(RequestArrived{info}, now);
      }
    });
  }
  for (int it = 0; it < 100; ++it) {
    router.Publish(table, now);
  }
  for (std::thread& it : threads) {
    it.join();
  }
  EXPECT_EQ(loopback.final_actions, kThreads * kRequests);
  EXPECT_EQ(router.slots_in_use(kChecks + "-0"), 0);
}

TEST(RouterTest, ARemovedRunnerIsCountedUntilItsSlotsAreBack) {
  const EventTime now{Instant(seconds(1)), WallInstant()};
  std::optional<Send> send;
  Router router({}, [&](const Action& action) {
    if (const auto* it = std::get_if<Send>(&action)) {
      send = *it;
    }
  });
  router.Publish(RoutingTable({FakeService(kChecks, kSlots)}), now);
  RequestInfo info;
  info.id = router.NextRequest();
  info.service = ServiceId(kChecks);
  info.deadline = now.instant + seconds(1);
  router.Handle(RequestArrived{info}, now);
  ASSERT_TRUE(send);
  router.Publish(RoutingTable(), now);
  EXPECT_EQ(router.slots_in_use(send->address), 1);
  router.Handle(SendFailed{send->send, http::ClientFailure::kLost}, now);
  // The runner may still process the request, up to the deadline.
  EXPECT_EQ(router.slots_in_use(send->address), 1);
  const EventTime later{info.deadline + seconds(1), WallInstant()};
  router.Handle(TimerFired{}, later);
  EXPECT_EQ(router.slots_in_use(send->address), 0);
}

}  // namespace
}  // namespace papayadrift::routing
