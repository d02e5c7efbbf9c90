#ifndef PAPAYADRIFT_PLACEMENT_WORKER_HEALTH_P_H_
#define PAPAYADRIFT_PLACEMENT_WORKER_HEALTH_P_H_

#include <cstdint>
#include <set>

#include "base/identifiers.h"
#include "base/instant.h"

namespace papayadrift::placement {

// How attempts of one kind, or of one job, have ended on all workers.
class FailureRecord {
 public:
  void Add(uint32_t worker, bool has_failed);

  // Returns the expected rate of failures, 0 to 1.
  double Rate() const;
  // Returns on how many workers an attempt failed since one last succeeded.
  size_t workers_failed() const { return failed_on_.size(); }
  bool has_succeeded() const { return succeeded_ > 0; }

 private:
  double succeeded_ = 0;
  double failed_ = 0;
  std::set<uint32_t> failed_on_;
};

// Weighs a worker's failures against what their jobs do elsewhere: a failure
// of a job that fails everywhere says nothing about the worker.
class WorkerHealth {
 public:
  // An attempt ended here; `expected_rate` is how often it fails elsewhere.
  void Add(bool has_failed, double expected_rate);
  void AddProbe(Instant now, bool has_failed);
  void StartQuarantine(Instant now);
  void EndQuarantine();

  bool is_quarantined() const { return is_quarantined_; }
  // Returns whether so few failures would be blamed on a working worker that
  // it should be quarantined.
  bool IsFailing() const;
  // Returns whether it should be watched: one attempt at a time.
  bool IsSuspect() const;
  bool HasPassedProbes() const;
  Instant next_probe_at() const { return next_probe_at_; }
  // Logarithm of the odds that the worker fails everything.
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
