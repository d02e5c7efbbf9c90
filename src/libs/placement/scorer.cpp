#include <algorithm>

#include "placement/scorer_p.h"

namespace papayadrift::placement {

namespace {

// Cost of a completely idle worker, in units of tail cost.
constexpr double kLeftoverCost = 0.02;
// Minimum load that is assumed for a runner.
constexpr double kLeastLoad = 0.1;
constexpr double kDeviations = 1.0;
// Time over which the weight of uncertainty falls to 0 for a job that waits
// only because of services.
constexpr microseconds kDeviationDecay = seconds(60);
// Waiting time after which the value of work doubles.
constexpr microseconds kValueDoublesAfter = seconds(300);

double TailCost(double pressure, double load) {
  return pressure * pressure * (kLeastLoad + load);
}

double Part(microseconds span, microseconds whole) {
  return static_cast<double>(span.count()) / static_cast<double>(whole.count());
}

double DeviationsFor(const JobState& job, Instant now) {
  if (job.wait_state.reason != WaitReason::kServicesNearTarget &&
      job.wait_state.reason != WaitReason::kHarmsServices) {
    return kDeviations;
  }
  const microseconds waited =
      std::min(now - job.wait_state.since, kDeviationDecay);
  return kDeviations * (1 - Part(waited, kDeviationDecay));
}

// Value of the job's work relative to a job that has not waited.
double WaitingFactor(const JobState& job, Instant now) {
  const Instant since = std::min(job.unplaced_since, now);
  return 1 + Part(now - since, kValueDoublesAfter);
}

KindLoads WithTask(const KindLoads& loads, KindNumber kind, double share) {
  KindLoads sum = loads;
  const auto it = std::ranges::find(sum, kind, &KindLoad::kind);
  if (it == sum.end()) {
    sum.push_back({kind, share});
  } else {
    it->share += share;
  }
  return sum;
}

}  // namespace

Scorer::Scorer(const SchedulerCore& core) : core_(core) {}

Score Scorer::Evaluate(WorkerState& worker,
                       const JobState& job,
                       const Resources& grant) const {
  if (core_.settings.rule == PlacementRule::kTightestFit) {
    const auto left = worker.Free().millicores - grant.millicores;
    return Score{static_cast<double>(left), 0, false};
  }
  return ComputeScore(worker, job, grant);
}

double Scorer::Limit(const ServiceTerms& terms) {
  constexpr double kLimitOfTailFirst = 0.9;
  constexpr double kLimitOfThroughputFirst = 1.0;
  return kLimitOfThroughputFirst +
         terms.tail_share * (kLimitOfTailFirst - kLimitOfThroughputFirst);
}

double Scorer::WorkValue(const ServiceTerms& terms) {
  constexpr double kWorkValueOfTailFirst = 0.4;
  constexpr double kWorkValueOfThroughputFirst = 1.4;
  return kWorkValueOfThroughputFirst +
         terms.tail_share *
             (kWorkValueOfTailFirst - kWorkValueOfThroughputFirst);
}

Score Scorer::ComputeScore(WorkerState& worker,
                           const JobState& job,
                           const Resources& grant) const {
  const double whole =
      std::max(1.0, static_cast<double>(worker.capacity.millicores));
  const double share = std::min(core_.ExpectedMillicores(job),
                                static_cast<double>(grant.millicores)) /
                       whole;
  const KindLoads& before = worker.history.current();
  const KindLoads after = WithTask(before, job.shape.kind, share);
  const double deviations = DeviationsFor(job, core_.now);
  const double work_value = share * WaitingFactor(job, core_.now);
  Score score;
  score.cost =
      kLeftoverCost * static_cast<double>(worker.Free().millicores) / whole;
  for (RunnerState& runner : worker.runners) {
    const ServiceTerms& terms = core_.policy.of(runner.service);
    const double load = core_.LoadOf(runner);
    const Pressure old = core_.ExpectNow(worker, runner);
    const Pressure expected = core_.Expect(runner, after);
    const double upper = expected.mean + deviations * expected.deviation;
    const double old_upper = old.mean + deviations * old.deviation;
    score.cost +=
        terms.tail_share * (TailCost(upper, load) - TailCost(old_upper, load));
    const double harm =
        TailCost(expected.mean, load) - TailCost(old.mean, load);
    score.is_too_harmful |= harm > WorkValue(terms) * work_value;
    score.pressure = std::max(score.pressure, expected.mean);
    const bool is_worse = expected.mean > old.mean;
    score.is_risky |= is_worse && upper > Limit(terms);
  }
  return score;
}

}  // namespace papayadrift::placement
