#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_FAKE_FLEET_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_FAKE_FLEET_H_

#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <vector>

#include "customer_workload.h"
#include "measures.h"
#include "placement/scheduler.h"
#include "scenario.h"

namespace papayadrift::placement {

// Actual state of a worker.
struct FakeWorker {
  WorkerId id;
  Incarnation incarnation{1};
  int rack = 0;
  bool is_up = true;
  bool fails_everything = false;
  double load = 0;  // Of its runner, 0 to 1.
};

// Actual state of an attempt.
struct FakeAttempt {
  TaskId task;
  Attempt attempt;
  size_t worker = 0;
  const KindProfile* kind = nullptr;
  Resources grant;
  std::optional<Resources> next_grant;  // Enforced in the next step.
  double cores = 0;                     // Wanted by this task.
  double memory_mebibytes = 0;          // At its highest.
  double run_seconds = 0;
  double done = 0;     // Completed fraction, 0 to 1.
  double resumed = 0;  // Fraction completed before this attempt.
  Instant started_at;
  std::optional<Instant> stops_at;
};

// Simulated workers that run claimed tasks and report with a delay.
class FakeFleet {
 public:
  FakeFleet(const CustomerWorkload& workload,
            const Scenario& scenario,
            uint64_t seed,
            bool reports_at_once);

  // Advances all workers by one step; returns the events they report.
  std::vector<Event> Step(Instant now, microseconds step);
  // Carries out an action of the scheduler; returns the resulting events.
  std::vector<Event> Execute(Instant now, const Action& action);
  void SetLoad(size_t worker, double load) { workers_[worker].load = load; }
  void SetFailing(size_t worker, bool fails);
  // Removes the workers of a rack, or restarts them as new incarnations.
  std::vector<Event> LoseRack(int rack);
  std::vector<Event> ReturnRack(int rack);
  WorkerUp Announcement(size_t worker) const;

  // Drops requested grants that are not enforced yet.
  void DropPendingGrants();
  // Clears all measurements.
  void ResetMeasurements();

  const std::vector<FakeWorker>& workers() const { return workers_; }
  LatencySample& latencies() { return latencies_; }
  double finished_core_seconds() const { return finished_core_seconds_; }
  double lost_core_seconds() const { return lost_core_seconds_; }
  uint64_t evictions() const { return evictions_; }
  uint64_t violations() const { return violations_; }

 private:
  struct Delayed {
    Instant due;
    Event event;
  };

  std::vector<Event> Execute(Instant now, const Claim& claim);
  std::vector<Event> Execute(Instant now, const ChangeGrant& change);
  std::vector<Event> Execute(Instant now, const Evict& evict);
  std::vector<Event> Execute(Instant now, const RefuseJob& refusal);
  std::vector<Event> Execute(Instant now, const Quarantine& quarantine);
  std::vector<Event> Execute(Instant now, const Release& release);

  // Returns the end of the attempt, if it ends in this step.
  std::optional<TaskEnded> Run(FakeAttempt& attempt,
                               Instant now,
                               microseconds step);
  TaskEnded End(FakeAttempt& attempt, records::TaskEnding ending);
  void ReportUse(const FakeAttempt& attempt, Instant now);
  void ReportLatency(size_t worker, Instant now, microseconds step);
  void Delay(Instant now, Event event);
  double Harm(size_t worker) const;
  void CheckSums(size_t worker);
  double Noise(double deviation);

  const CustomerWorkload& workload_;
  const Scenario& scenario_;
  const bool reports_at_once_;
  pcg64 random_;
  std::vector<FakeWorker> workers_;
  std::map<TaskId, FakeAttempt> attempts_;
  std::map<TaskId, double> checkpoints_;  // Completed fraction.
  std::vector<Delayed> delayed_;
  LatencySample latencies_;
  double finished_core_seconds_ = 0;
  double lost_core_seconds_ = 0;
  uint64_t evictions_ = 0;
  uint64_t violations_ = 0;
  uint64_t steps_ = 0;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_BENCHMARKS_PLACEMENT_FAKE_FLEET_H_
