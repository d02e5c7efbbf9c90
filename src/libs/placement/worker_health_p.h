#ifndef PAPAYADRIFT_PLACEMENT_WORKER_HEALTH_P_H_
#define PAPAYADRIFT_PLACEMENT_WORKER_HEALTH_P_H_

#include <cstdint>
#include <set>

#include "base/identifiers.h"
#include "base/instant.h"

namespace papayadrift::placement {

// Outcomes of the attempts of one kind or one job on all workers.
class FailureRecord {
 public:
  void Add(uint32_t worker, bool has_failed);

  // Returns the expected rate of failures, 0 to 1.
  double Rate() const;
  // Returns the number of workers with failures since the last success.
  size_t workers_failed() const { return failed_on_.size(); }
  bool has_succeeded() const { return succeeded_ > 0; }

 private:
  double succeeded_ = 0;
  double failed_ = 0;
  std::set<uint32_t> failed_on_;
};

// Rates a worker's failures relative to those of the same jobs elsewhere: a
// failure of a job that fails on all workers is no evidence against the worker.
class WorkerHealth {
 public:
  // Adds the end of an attempt; `expected_rate` is its failure rate elsewhere.
  void Add(bool has_failed, double expected_rate);
  void AddProbe(Instant now, bool has_failed);
  void StartQuarantine(Instant now);
  void EndQuarantine();

  bool is_quarantined() const { return is_quarantined_; }
  // Returns whether the evidence of failure is high enough to quarantine it.
  bool IsFailing() const;
  // Returns whether it should get only one claim at a time.
  bool IsSuspect() const;
  bool HasPassedProbes() const;
  Instant next_probe_at() const { return next_probe_at_; }
  // Log odds that the worker fails all tasks.
  double evidence() const { return evidence_; }

 private:
  double evidence_ = 0;
  bool is_quarantined_ = false;
  int probes_passed_ = 0;
  int probes_failed_ = 0;
  Instant next_probe_at_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_WORKER_HEALTH_P_H_
