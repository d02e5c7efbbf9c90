// Measures routing against the targets of docs/design/08-requests.md in
// simulated time; only the ratios measured within one run depend on the
// machine.

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include "bounds.h"
#include "scenario.h"
#include "shared_state.h"

namespace {

std::atomic<uint64_t> allocation_count{0};

}  // namespace

void* operator new(size_t size) {
  allocation_count.fetch_add(1, std::memory_order_relaxed);
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    std::abort();
  }
  return memory;
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, size_t /*size*/) noexcept {
  std::free(memory);
}

namespace papayadrift::routing {
namespace {

constexpr double kMinimumSlotsUsed = 0.95;
constexpr double kMinimumGoodput = 0.9;
constexpr double kMaximumSendsPerRequest = 1.2;
constexpr double kMaximumDrainSeconds = 2;
constexpr double kMaximumAllocations = 40;
constexpr double kMaximumReadCost = 1;

std::vector<User> Users() {
  return {{"barril", microseconds(500)}, {"banverksgrus", microseconds(1500)}};
}

Scenario Load(const User& user, double load) {
  Scenario scenario;
  scenario.user = user;
  scenario.load = load;
  return scenario;
}

void MeasureOverload(const User& user, Bounds& bounds) {
  const Measured saturated = Run(Load(user, 1.2));
  bounds.AtLeast(user.name + "_slots_used_at_saturation",
                 saturated.slots_used_fraction, "of_available",
                 kMinimumSlotsUsed);
  for (const double load : {2.0, 10.0}) {
    const Measured measured = Run(Load(user, load));
    const std::string name =
        user.name + "_goodput_" + std::to_string(static_cast<int>(load)) + "x";
    bounds.AtLeast(name,
                   measured.answered_per_second / saturated.answered_per_second,
                   "of_saturation", kMinimumGoodput);
    bounds.AtMost(name + "_broken_promises",
                  static_cast<double>(measured.violation_count), "promises", 0);
    bounds.Show(name + "_refused_at_once", measured.immediate_refusal_fraction,
                "of_refusals");
  }
}

void MeasureAmplification(const User& user, Bounds& bounds) {
  for (const auto& [behavior, name] :
       {std::pair(FakeBehavior::kFailFast, "failing"),
        std::pair(FakeBehavior::kNotConnected, "unreachable"),
        std::pair(FakeBehavior::kDisconnectBefore, "cutting"),
        std::pair(FakeBehavior::kNoAnswer, "silent")}) {
    Scenario scenario = Load(user, 0.5);
    scenario.behavior = behavior;
    bounds.AtMost(user.name + "_sends_when_all_are_" + name,
                  Run(scenario).sends_per_request, "sends/request",
                  kMaximumSendsPerRequest);
  }
}

void MeasureDrain(Bounds& bounds) {
  FakeCluster cluster(1, {}, 7);
  cluster.ScheduleArrivals(kChecks, 4000, seconds(2), milliseconds(200));
  cluster.RunFor(seconds(1));
  ServiceRoute route = FakeService(kChecks, kSlots);
  route.runners[0].state = RunnerState::kDraining;
  cluster.entries[0]->Publish({route});
  const Instant drained_at = cluster.clock.now();
  cluster.RunFor(seconds(4));
  const microseconds last =
      cluster.runners.runner(route.runners[0].address).last_arrival -
      drained_at;
  bounds.AtMost("drain_to_last_new_request",
                std::max(0.0, static_cast<double>(last.count()) / 1e6), "s",
                kMaximumDrainSeconds);
}

// Runs requests through an isolated engine and counts its allocations.
void MeasureAllocations(Bounds& bounds) {
  constexpr int kRequests = 10'000;
  RequestEngine engine({});
  const auto state = std::make_shared<const RoutingState>(NextRoutingState(
      RoutingState(), RoutingTable({FakeService(kChecks, kSlots)})));
  EventTime now{Instant(seconds(100)), WallInstant()};
  engine.Handle(TableChanged{state}, now);
  uint64_t counted = 0;
  for (int it = 1; it <= kRequests; ++it) {
    RequestInfo info;
    info.id = RequestId(static_cast<uint64_t>(it));
    info.customer = CustomerId("customer");
    info.service = ServiceId(kChecks);
    info.deadline = now.instant + seconds(1);
    const uint64_t before = allocation_count.load();
    const auto actions = engine.Handle(RequestArrived{info}, now);
    const Send& send = std::get<Send>(actions.front());
    now.instant += milliseconds(1);
    engine.Handle(AnswerArrived{send.send, send.identity, {200, {}, "answer"}},
                  now);
    counted += allocation_count.load() - before;
  }
  bounds.AtMost("engine_allocations", static_cast<double>(counted) / kRequests,
                "per_request", kMaximumAllocations);
}

struct Ablation {
  std::string name;
  RoutingSettings settings;
};

std::vector<Ablation> Ablations() {
  std::vector<Ablation> all(4);
  all[0].name = "ours";
  all[1].name = "random_choice";
  all[1].settings.runners.choice = RunnerChoice::kRandom;
  all[2].name = "no_hedging";
  all[2].settings.has_hedging = false;
  all[3].name = "no_admission";
  all[3].settings.has_admission = false;
  return all;
}

void Show(const std::string& name, const Measured& it, Bounds& bounds) {
  bounds.Show(name + "_p50", it.p50_milliseconds, "ms");
  bounds.Show(name + "_p99", it.p99_milliseconds, "ms");
  bounds.Show(name + "_p99.9", it.p999_milliseconds, "ms");
  bounds.Show(name + "_refused", it.refused_fraction, "of_requests");
}

// One runner is three times slower than the others, and one request in a
// hundred takes ten times longer than usual.
void MeasureAblation(const User& user, Bounds& bounds) {
  std::vector<Measured> usual;
  std::vector<Measured> overloaded;
  for (const Ablation& it : Ablations()) {
    Scenario scenario = Load(user, 0.7);
    scenario.settings = it.settings;
    scenario.outlier_fraction = 0.01;
    scenario.slow_runner_factor = 3;
    usual.push_back(Run(scenario));
    Show(user.name + "_" + it.name, usual.back(), bounds);
    scenario.load = 3;
    overloaded.push_back(Run(scenario));
    Show(user.name + "_3x_" + it.name, overloaded.back(), bounds);
  }
  const auto ratio = [&](const std::string& name, double ours, double other) {
    bounds.AtMost(user.name + "_" + name, ours / other, "of_ablated", 1);
  };
  ratio("p99_to_random_choice", usual[0].p99_milliseconds,
        usual[1].p99_milliseconds);
  ratio("p99.9_to_no_hedging", usual[0].p999_milliseconds,
        usual[2].p999_milliseconds);
  ratio("3x_refused_to_no_admission", overloaded[0].refused_fraction,
        overloaded[3].refused_fraction);
  ratio("3x_p99_to_no_admission", overloaded[0].p99_milliseconds,
        overloaded[3].p99_milliseconds);
}

void MeasureSharedState(Bounds& bounds) {
  const ReadCost reads = MeasureReads();
  bounds.Show("published_read", reads.published, "ns");
  bounds.Show("atomic_shared_pointer_read", reads.atomic_shared_pointer, "ns");
  bounds.AtMost("published_read_ratio",
                reads.published / reads.atomic_shared_pointer,
                "of_shared_pointer", kMaximumReadCost);
  const PostCost posts = MeasurePosts();
  bounds.Show("event_lane_post", posts.queue, "ns");
  bounds.Show("mutex_post", posts.mutex, "ns");
}

}  // namespace
}  // namespace papayadrift::routing

int main() {
  papayadrift::Bounds bounds;
  for (const auto& user : papayadrift::routing::Users()) {
    papayadrift::routing::MeasureOverload(user, bounds);
    papayadrift::routing::MeasureAmplification(user, bounds);
    papayadrift::routing::MeasureAblation(user, bounds);
  }
  papayadrift::routing::MeasureDrain(bounds);
  papayadrift::routing::MeasureAllocations(bounds);
  papayadrift::routing::MeasureSharedState(bounds);
  return bounds.has_failed() ? EXIT_FAILURE : EXIT_SUCCESS;
}
