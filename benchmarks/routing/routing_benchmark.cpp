// Measures routing against the targets of docs/design/08-requests.md in manual
// time; only ratios of one run depend on the machine.

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

constexpr double kLeastSlotsUsed = 0.95;
constexpr double kLeastGoodput = 0.9;
constexpr double kMostSendsPerRequest = 1.2;
constexpr double kMostDrainSeconds = 2;
constexpr double kMostAllocations = 40;
constexpr double kMostReadCost = 1;

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
                 kLeastSlotsUsed);
  for (const double load : {2.0, 10.0}) {
    const Measured measured = Run(Load(user, load));
    const std::string name =
        user.name + "_goodput_" + std::to_string(static_cast<int>(load)) + "x";
    bounds.AtLeast(name,
                   measured.answered_per_second / saturated.answered_per_second,
                   "of_saturation", kLeastGoodput);
    bounds.AtMost(name + "_broken_promises",
                  static_cast<double>(measured.broken_promises), "promises", 0);
    bounds.Show(name + "_refused_at_once", measured.at_once_fraction,
                "of_refusals");
  }
}

void MeasureAmplification(const User& user, Bounds& bounds) {
  for (const auto& [deed, name] :
       {std::pair(FakeDeed::kFailFast, "failing"),
        std::pair(FakeDeed::kNotConnected, "unreachable"),
        std::pair(FakeDeed::kCutBefore, "cutting"),
        std::pair(FakeDeed::kSilent, "silent")}) {
    Scenario scenario = Load(user, 0.5);
    scenario.deed = deed;
    bounds.AtMost(user.name + "_sends_when_all_are_" + name,
                  Run(scenario).sends_per_request, "sends/request",
                  kMostSendsPerRequest);
  }
}

void MeasureDrain(Bounds& bounds) {
  FakeSite site(1, {}, 7);
  site.Burst(kChecks, 4000, seconds(2), milliseconds(200));
  site.RunFor(seconds(1));
  ServiceRoute route = FakeService(kChecks, kSlots);
  route.runners[0].state = RunnerState::kDraining;
  site.entries[0]->Publish({route});
  const Instant drained_at = site.timeline.now();
  site.RunFor(seconds(4));
  const microseconds last =
      site.runners.runner(route.runners[0].address).last_arrival - drained_at;
  bounds.AtMost("drain_to_last_new_request",
                std::max(0.0, static_cast<double>(last.count()) / 1e6), "s",
                kMostDrainSeconds);
}

// Runs requests through an engine alone and counts what it allocates.
void MeasureAllocations(Bounds& bounds) {
  constexpr int kRequests = 10'000;
  RequestEngine engine({});
  const auto state = std::make_shared<const RoutingState>(FollowingState(
      RoutingState(), RoutingTable({FakeService(kChecks, kSlots)})));
  Moment now{Instant(seconds(100)), WallInstant()};
  engine.Handle(TableChanged{state}, now);
  uint64_t counted = 0;
  for (int it = 1; it <= kRequests; ++it) {
    RequestFacts facts;
    facts.id = RequestId(static_cast<uint64_t>(it));
    facts.customer = CustomerId("customer");
    facts.service = ServiceId(kChecks);
    facts.deadline = now.instant + seconds(1);
    const uint64_t before = allocation_count.load();
    const auto actions = engine.Handle(RequestArrived{facts}, now);
    const Send& send = std::get<Send>(actions.front());
    now.instant += milliseconds(1);
    engine.Handle(AnswerArrived{send.send, send.identity, {200, {}, "answer"}},
                  now);
    counted += allocation_count.load() - before;
  }
  bounds.AtMost("engine_allocations", static_cast<double>(counted) / kRequests,
                "per_request", kMostAllocations);
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

// A runner three times slower than the others, one request in a hundred ten
// times longer than usual.
void MeasureAblation(const User& user, Bounds& bounds) {
  std::vector<Measured> usual;
  std::vector<Measured> overloaded;
  for (const Ablation& it : Ablations()) {
    Scenario scenario = Load(user, 0.7);
    scenario.settings = it.settings;
    scenario.hang_fraction = 0.01;
    scenario.slow_runner = 3;
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
                "of_shared_pointer", kMostReadCost);
  const PostCost posts = MeasurePosts();
  bounds.Show("event_lane_post", posts.lane, "ns");
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
