#include <algorithm>
#include <cmath>

#include "placement/worker_health_p.h"

namespace papayadrift::placement {

namespace {

// Assumed failure rate of a broken worker.
constexpr double kRateOfFailingWorker = 0.95;
// Prior of an unknown kind: kPriorFailures among kPriorAttempts.
constexpr double kPriorFailures = 0.3;
constexpr double kPriorAttempts = 2.0;
// Older attempts are discounted beyond this number.
constexpr double kMaximumAttempts = 200.0;
constexpr double kMinimumRate = 0.02;
// Log odds of 50 to 1 and of 4 to 1.
constexpr double kFailingEvidence = 3.9;
constexpr double kSuspectEvidence = 1.3;
constexpr int kProbesToPass = 2;
constexpr microseconds kFirstProbePause = seconds(30);
constexpr int kMaximumProbeDoublings = 6;
constexpr size_t kMaximumWorkersKept = 8;

}  // namespace

void FailureRecord::Add(uint32_t worker, bool has_failed) {
  (has_failed ? failed_ : succeeded_) += 1;
  if (const double all = failed_ + succeeded_; all > kMaximumAttempts) {
    failed_ *= kMaximumAttempts / all;
    succeeded_ *= kMaximumAttempts / all;
  }
  if (!has_failed) {
    failed_on_.clear();
  } else if (failed_on_.size() < kMaximumWorkersKept) {
    failed_on_.insert(worker);
  }
}

double FailureRecord::Rate() const {
  return (failed_ + kPriorFailures) / (failed_ + succeeded_ + kPriorAttempts);
}

void WorkerHealth::Add(bool has_failed, double expected_rate) {
  const double rate =
      std::clamp(expected_rate, kMinimumRate, kRateOfFailingWorker);
  evidence_ += has_failed ? std::log(kRateOfFailingWorker / rate)
                          : std::log((1 - kRateOfFailingWorker) / (1 - rate));
  evidence_ = std::clamp(evidence_, 0.0, 2 * kFailingEvidence);
}

void WorkerHealth::AddProbe(Instant now, bool has_failed) {
  if (!has_failed) {
    ++probes_passed_;
    next_probe_at_ = now;
    return;
  }
  probes_passed_ = 0;
  probes_failed_ = std::min(probes_failed_ + 1, kMaximumProbeDoublings);
  next_probe_at_ = now + kFirstProbePause * (1 << probes_failed_);
}

void WorkerHealth::StartQuarantine(Instant now) {
  is_quarantined_ = true;
  probes_passed_ = 0;
  next_probe_at_ = now + kFirstProbePause * (1 << probes_failed_);
}

void WorkerHealth::EndQuarantine() {
  is_quarantined_ = false;
  evidence_ = 0;
}

bool WorkerHealth::IsFailing() const {
  return evidence_ >= kFailingEvidence;
}

bool WorkerHealth::IsSuspect() const {
  return evidence_ >= kSuspectEvidence;
}

bool WorkerHealth::HasPassedProbes() const {
  return is_quarantined_ && probes_passed_ >= kProbesToPass;
}

}  // namespace papayadrift::placement
