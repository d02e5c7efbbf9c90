// Measures placement quality in the hour after all entries were replaced at
// once, with and without their knowledge kept in the log, and the cost of the
// knowledge records. Uses a manual clock, so all figures are deterministic.

#include <fmt/core.h>

#include <array>
#include <future>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "bounds.h"
#include "decision_log_replay.h"
#include "large_fleet.h"
#include "run.h"

namespace papayadrift::placement {

namespace {

constexpr std::array<uint64_t, 2> kTrainingSeeds = {11, 12};
constexpr std::array<uint64_t, 2> kHeldOutSeeds = {901, 902};
// Fraction of the gap between best fit and the oracle, on the customer's first
// measure.
constexpr double kLeastPartOfWay = 0.8;
constexpr Scenario kKept = {.name = "entries_replaced",
                            .replaces_entries = true};
constexpr Scenario kLost = {.name = "entries_replaced_forgetting",
                            .replaces_entries = true,
                            .keeps_knowledge = false};

struct Results {
  Measures kept;
  Measures lost;
  Measures best_fit;
  Measures interference_unaware;
  Measures oracle;
};

struct Case {
  std::string name;
  CustomerWorkload (*make)(uint64_t, double) = nullptr;
  std::span<const uint64_t> seeds;
  Results results;
};

Measures MeanOver(const Case& it,
                  SchedulerVariant variant,
                  const Scenario& scenario) {
  std::vector<Measures> runs;
  for (const uint64_t seed : it.seeds) {
    runs.push_back(
        Run(variant, it.make(seed, scenario.declared_spread), scenario, seed));
  }
  return MeanOf(runs);
}

void RunCase(Case& it) {
  it.results = {MeanOver(it, SchedulerVariant::kLearning, kKept),
                MeanOver(it, SchedulerVariant::kLearning, kLost),
                MeanOver(it, SchedulerVariant::kBestFit, kKept),
                MeanOver(it, SchedulerVariant::kInterferenceUnaware, kKept),
                MeanOver(it, SchedulerVariant::kOracle, kKept)};
}

void PrintFigures(const std::string& name,
                  const char* variant,
                  const Measures& it) {
  fmt::print("# {:50} {:9} p99 {:5.2f} core-h/h {:6.2f} evictions/h {:4.1f}\n",
             name, variant, it.p99_slowdown, it.core_hours_per_hour,
             it.evictions_per_hour);
}

double FirstMeasure(const Case& it, const Measures& own) {
  const Results& all = it.results;
  return it.make == &RetornoBarril
             ? PartOfWay(all.best_fit.p99_slowdown, all.oracle.p99_slowdown,
                         own.p99_slowdown, false)
             : PartOfWay(all.best_fit.core_hours_per_hour,
                         all.oracle.core_hours_per_hour,
                         own.core_hours_per_hour, true);
}

void CheckCase(const Case& it, Bounds& bounds) {
  const Results& all = it.results;
  PrintFigures(it.name, "kept", all.kept);
  PrintFigures(it.name, "lost", all.lost);
  PrintFigures(it.name, "best_fit", all.best_fit);
  PrintFigures(it.name, "blind", all.interference_unaware);
  PrintFigures(it.name, "oracle", all.oracle);
  fmt::print("# {:50} part of the way when lost {:.3f}\n", it.name,
             FirstMeasure(it, all.lost));
  bounds.AtLeast(it.name + ".first_measure", FirstMeasure(it, all.kept),
                 "part_of_way", kLeastPartOfWay);
  bounds.Below(it.name + ".evictions", all.kept.evictions_per_hour, "per_h",
               all.interference_unaware.evictions_per_hour);
  bounds.AtMost(it.name + ".overcommitted",
                static_cast<double>(all.kept.violations), "times", 0);
}

// Measures the knowledge records of one region of the target size, written by a
// single entry, in the first ten minutes, in which all knowledge is new,
// including the first refresh; and their size in a snapshot.
void CheckCost(Bounds& bounds) {
  constexpr size_t kWorkers = 320;
  constexpr size_t kEndsPerStep = 5;  // 48 starts a second.
  constexpr int kStepsPerMinute = 600;
  constexpr int kMinutes = 10;
  constexpr double kSeconds = 600;
  constexpr double kEntries = 3;  // Each may record the same knowledge.
  // Budget of control traffic on a node: 20 KB/s; all entries read every
  // record.
  constexpr double kMostBytes = 20'000;
  // 1 % of a region's fifth of 100 appends per second.
  constexpr double kMostAppends = 0.2;
  LargeFleet fleet(kWorkers, 77);
  fleet.Fill();
  DecisionLogReplay log_replay;
  const size_t empty = log_replay.snapshot_bytes();
  size_t before_refresh = 0;
  for (int i = 1; i <= kMinutes; ++i) {
    fleet.Churn(kStepsPerMinute, kEndsPerStep);
    before_refresh = log_replay.knowledge_bytes();
    log_replay.NoteKnowledge(fleet.scheduler(), i == kMinutes);
  }
  const KnowledgeNoted all = log_replay.Knowledge();
  const auto bytes = static_cast<double>(log_replay.knowledge_bytes());
  const auto snapshot =
      static_cast<double>(log_replay.snapshot_bytes() - empty);
  fmt::print(
      "# kept: {} kinds, {} services; {} records, {:.0f} B in all, {} B "
      "at the refresh, {:.0f} B of a snapshot\n",
      all.kinds.size(), all.services.size(), log_replay.knowledge_records(),
      bytes, log_replay.knowledge_bytes() - before_refresh, snapshot);
  bounds.AtMost("placement.knowledge.bytes",
                (kEntries * bytes + snapshot) / kSeconds, "B/s", kMostBytes);
  bounds.AtMost(
      "placement.knowledge.appends",
      kEntries * static_cast<double>(log_replay.knowledge_appends()) / kSeconds,
      "1/s", kMostAppends);
}

std::vector<Case> AllCases() {
  return {{"placement.entries_replaced.retorno_barril.training",
           &RetornoBarril,
           kTrainingSeeds,
           {}},
          {"placement.entries_replaced.banverksgrus.training",
           &Banverksgrus,
           kTrainingSeeds,
           {}},
          {"placement.entries_replaced.retorno_barril.held_out",
           &RetornoBarril,
           kHeldOutSeeds,
           {}},
          {"placement.entries_replaced.banverksgrus.held_out",
           &Banverksgrus,
           kHeldOutSeeds,
           {}}};
}

}  // namespace

}  // namespace papayadrift::placement

int main() {
  using papayadrift::placement::Case;
  std::vector<Case> cases = papayadrift::placement::AllCases();
  std::vector<std::future<void>> threads;
  for (Case& it : cases) {
    threads.push_back(std::async(
        std::launch::async, [&it] { papayadrift::placement::RunCase(it); }));
  }
  for (const auto& thread : threads) {
    thread.wait();
  }
  papayadrift::Bounds bounds;
  for (const Case& it : cases) {
    papayadrift::placement::CheckCase(it, bounds);
  }
  papayadrift::placement::CheckCost(bounds);
  return bounds.has_failed() ? 1 : 0;
}
