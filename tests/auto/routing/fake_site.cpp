#include "fake_site.h"

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

// Appends what is wrong with one ending.
void AuditEnding(const FakeEnding& it,
                 const FakeRunners& runners,
                 std::vector<std::string>& broken) {
  const auto expect = [&](bool is_kept, const std::string& promise) {
    if (!is_kept) {
      broken.push_back(it.name + ": " + promise);
    }
  };
  const int executions = runners.executions(it.name);
  const bool is_once_only = it.facts.service == ServiceId(kDispatches);
  expect(it.finals == 1, "exactly one outcome");
  expect(it.ended_at <= it.facts.deadline, "ends by its deadline");
  expect(!is_once_only || executions <= 1, "runs at most once");
  expect(!is_once_only || !it.was_resent_unsafely, "is never sent twice");
  const std::set<std::string> distinct(it.addresses.begin(),
                                       it.addresses.end());
  expect(distinct.size() == it.addresses.size(), "one send for each runner");
  if (it.response && it.response->status == 200) {
    expect(it.response->body == "answer to " + it.name, "its own whole answer");
    expect(executions >= 1, "an answer proves that it ran");
  }
  if (it.refusal && it.refusal->ran == Ran::kNo) {
    expect(runners.executions(it.sending) == 0, "not run when told so");
    expect(it.executions_at_end == 0, "not run before when told so");
  }
  if (it.refusal && it.refusal->ran == Ran::kYes) {
    expect(executions >= 1, "run when told so");
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

FakeSite::FakeSite(int entry_count, RoutingSettings settings, uint64_t seed)
    : runners(timeline, seed), keys(timeline, kCommitDelay) {
  for (int it = 0; it < entry_count; ++it) {
    settings.zone = ZoneOf(it);
    settings.identity_prefix = "entry-" + std::to_string(it);
    settings.random_seed = seed + static_cast<uint64_t>(it);
    entries.push_back(
        std::make_unique<FakeEntry>(settings, timeline, runners, keys));
    entries.back()->Publish({SharedService(kChecks, it, entry_count),
                             SharedService(kDispatches, it, entry_count)});
  }
  for (int it = 0; it < kRunnerCount; ++it) {
    runners.runner(kChecks + "-" + std::to_string(it)).zone = ZoneOf(it);
    runners.runner(kDispatches + "-" + std::to_string(it)).zone = ZoneOf(it);
  }
}

void FakeSite::Burst(const std::string& service,
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
    timeline.At(timeline.now() + after,
                [=] { entry->Arrive("customer", service, time_allowed, key); });
  }
}

void FakeSite::RunFor(microseconds length) {
  timeline.RunUntil(timeline.now() + length);
}

std::vector<std::string> FakeSite::Audit() const {
  std::vector<std::string> broken;
  for (const auto& entry : entries) {
    for (const auto& [id, ending] : entry->endings()) {
      AuditEnding(ending, runners, broken);
    }
    if (entry->sends() != entry->send_ends()) {
      broken.emplace_back("every send has an outcome");
    }
    if (!entry->engine().is_idle()) {
      broken.emplace_back("nothing is left behind");
    }
  }
  for (const auto& [address, runner] : runners.runners()) {
    if (runner.peak_busy > runner.slots || runner.peak_backlog > 0) {
      broken.push_back(address + ": slots are never exceeded");
    }
    if (runner.peak_connections > kConnections) {
      broken.push_back(address + ": connections are never exceeded");
    }
  }
  return broken;
}

int FakeSite::answered() const {
  int count = 0;
  for (const auto& entry : entries) {
    for (const auto& [id, it] : entry->endings()) {
      count += it.response && it.response->status == 200 ? 1 : 0;
    }
  }
  return count;
}

double FakeSite::sends_per_request() const {
  double sends = 0;
  double sent_requests = 0;
  for (const auto& entry : entries) {
    for (const auto& [id, it] : entry->endings()) {
      sends += static_cast<double>(it.addresses.size());
      sent_requests += !it.addresses.empty() ? 1 : 0;
    }
  }
  return sends / sent_requests;
}

int FakeSite::refused(RefusalReason reason) const {
  int count = 0;
  for (const auto& entry : entries) {
    for (const auto& [id, it] : entry->endings()) {
      count += it.refusal && it.refusal->reason == reason ? 1 : 0;
    }
  }
  return count;
}

}  // namespace papayadrift::routing
