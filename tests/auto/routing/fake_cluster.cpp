#include "fake_cluster.h"

#include <algorithm>
#include <set>

namespace papayadrift::routing {

namespace {

constexpr microseconds kCommitDelay(5'000);
constexpr int kZoneCount = 4;
constexpr double kMicrosecondsPerSecond = 1e6;

ZoneId ZoneOf(int number) {
  return ZoneId("zone-" + std::to_string(number % kZoneCount));
}

// Appends the invariants that one outcome violates.
void CheckOutcome(const RequestOutcome& it,
                  const FakeRunners& runners,
                  std::vector<std::string>& violations) {
  const auto expect = [&](bool holds_true, const std::string& guarantee) {
    if (!holds_true) {
      violations.push_back(it.name + ": " + guarantee);
    }
  };
  const int executions = runners.executions(it.name);
  const bool is_once_only = it.info.service == ServiceId(kDispatches);
  expect(it.final_actions == 1, "has exactly one outcome");
  expect(it.ended_at <= it.info.deadline, "ends by its deadline");
  expect(!is_once_only || executions <= 1, "runs at most once");
  expect(!is_once_only || !it.was_resent_unsafely, "is never sent twice");
  const std::set<std::string> distinct(it.addresses.begin(),
                                       it.addresses.end());
  expect(distinct.size() == it.addresses.size(),
         "is sent to each runner at most once");
  if (it.response && it.response->status == 200) {
    expect(it.response->body == "answer to " + it.name,
           "gets its own complete answer");
    expect(executions >= 1, "ran if it was answered");
  }
  if (it.refusal && it.refusal->ran == Ran::kNo) {
    expect(runners.executions(it.request_name) == 0,
           "did not run if reported as not run");
    expect(it.executions_at_end == 0,
           "did not run before it was reported as not run");
  }
  if (it.refusal && it.refusal->ran == Ran::kYes) {
    expect(executions >= 1, "ran if reported as run");
  }
}

}  // namespace

ServiceRoute SharedService(const std::string& name, int entry, int entries) {
  ServiceRoute route = FakeService(name, 0);
  for (int it = 0; it < kRunnerCount; ++it) {
    route.runners[static_cast<size_t>(it)].slot_share =
        (kSlots + (entry + it) % entries) / entries;
  }
  return route;
}

ServiceRoute FakeService(const std::string& name, int slot_share) {
  ServiceRoute route;
  route.service = ServiceId(name);
  route.is_idempotent = name != kDispatches;
  for (int it = 0; it < kRunnerCount; ++it) {
    const std::string address = name + "-" + std::to_string(it);
    route.runners.push_back(
        {address, ZoneOf(it), WorkerId(address), slot_share, kConnections});
  }
  return route;
}

FakeCluster::FakeCluster(int entry_count,
                         RoutingSettings settings,
                         uint64_t seed)
    : runners(clock, seed), keys(clock, kCommitDelay) {
  for (int it = 0; it < entry_count; ++it) {
    settings.zone = ZoneOf(it);
    settings.identity_prefix = "entry-" + std::to_string(it);
    settings.random_seed = seed + static_cast<uint64_t>(it);
    entries.push_back(
        std::make_unique<FakeEntry>(settings, clock, runners, keys));
    entries.back()->Publish({SharedService(kChecks, it, entry_count),
                             SharedService(kDispatches, it, entry_count)});
  }
  for (int it = 0; it < kRunnerCount; ++it) {
    runners.runner(kChecks + "-" + std::to_string(it)).zone = ZoneOf(it);
    runners.runner(kDispatches + "-" + std::to_string(it)).zone = ZoneOf(it);
  }
}

void FakeCluster::ScheduleArrivals(const std::string& service,
                                   double requests_per_second,
                                   microseconds length,
                                   microseconds time_allowed) {
  const double gap = kMicrosecondsPerSecond / requests_per_second;
  const auto count =
      static_cast<int>(static_cast<double>(length.count()) / gap);
  for (int it = 0; it < count; ++it) {
    const microseconds after(static_cast<int64_t>(it * gap));
    const std::string key =
        service == kDispatches ? "key-" + std::to_string(it) : "";
    FakeEntry* entry = entries[static_cast<size_t>(it) % entries.size()].get();
    clock.At(clock.now() + after,
             [=] { entry->Arrive("customer", service, time_allowed, key); });
  }
}

void FakeCluster::RunFor(microseconds length) {
  clock.RunUntil(clock.now() + length);
}

std::vector<std::string> FakeCluster::FindViolations() const {
  std::vector<std::string> violations;
  for (const auto& entry : entries) {
    for (const auto& [id, outcome] : entry->outcomes()) {
      CheckOutcome(outcome, runners, violations);
    }
    if (entry->sends() != entry->send_ends()) {
      violations.emplace_back("a send has no outcome");
    }
    if (!entry->engine().is_idle()) {
      violations.emplace_back("engine is not idle at the end");
    }
  }
  for (const auto& [address, runner] : runners.runners()) {
    if (runner.peak_busy > runner.slots || runner.peak_backlog > 0) {
      violations.push_back(address + ": slots were exceeded");
    }
    if (runner.peak_connections > kConnections) {
      violations.push_back(address + ": connections were exceeded");
    }
  }
  return violations;
}

int FakeCluster::answered() const {
  int count = 0;
  for (const auto& entry : entries) {
    for (const auto& [id, it] : entry->outcomes()) {
      count += it.response && it.response->status == 200 ? 1 : 0;
    }
  }
  return count;
}

double FakeCluster::sends_per_request() const {
  double sends = 0;
  double sent_requests = 0;
  for (const auto& entry : entries) {
    for (const auto& [id, it] : entry->outcomes()) {
      sends += static_cast<double>(it.addresses.size());
      sent_requests += !it.addresses.empty() ? 1 : 0;
    }
  }
  return sends / sent_requests;
}

int FakeCluster::refused(RefusalReason reason) const {
  int count = 0;
  for (const auto& entry : entries) {
    for (const auto& [id, it] : entry->outcomes()) {
      count += it.refusal && it.refusal->reason == reason ? 1 : 0;
    }
  }
  return count;
}

}  // namespace papayadrift::routing
