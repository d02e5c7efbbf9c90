#ifndef PAPAYADRIFT_JOBS_INTERFERENCE_H_
#define PAPAYADRIFT_JOBS_INTERFERENCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/instant.h"
#include "jobs/image_factors.h"
#include "jobs/job.h"
#include "jobs/learned.h"
#include "placement/bayesian_linear_model.h"

namespace papayadrift::jobs {

// Learns by how much fillers of one image slow serving tasks of another. What a
// queue leaves free falls in step with the load on it, and its tail latency
// grows as the inverse of that: so the slack of a task, its target divided by
// its tail, falls by a weight times the share that the fillers use. Most pairs
// do not disturb each other at all, and the load of a serving task moves its
// slack too; so only changes between two samples of one task, half a second
// apart, are evidence.
class Interference {
 public:
  // Takes in one sample of a serving task. `uses` is the share of the runner
  // that fillers of each image use, as far as it shows in the tail by now.
  void Observe(const TaskKey& serving,
               const std::string& serving_image,
               double slack,
               const std::map<std::string, double>& uses,
               Instant at);
  // Forgets the samples of a task that moves or ends.
  void Forget(const TaskKey& serving) { samples_.erase(serving); }

  // Returns by how much the slack is expected to fall with the whole of the
  // runner's processors in use; never negative.
  double Weight(const std::string& serving_image,
                const std::string& filler_image) const;

  // The same as far as it may well be: what is known too little counts as more
  // than is expected of it.
  double CautiousWeight(const std::string& serving_image,
                        const std::string& filler_image) const;

  // All weights with evidence, and the same from an earlier leader. What is
  // taken up counts for less than what was seen here.
  std::vector<LearnedWeight> Weights() const;
  void TakeUp(const std::vector<LearnedWeight>& weights);

 private:
  struct Sample {
    double slack = 0;
    std::map<std::string, double> shares;
    Instant at;
  };
  struct Belief {
    // Returns the coefficient of the filler's image, adding it if need be.
    uint32_t CoefficientOf(const std::string& filler_image);

    std::map<std::string, uint32_t> coefficients;  // By filler's image.
    placement::BayesianLinearModel weights;
    // What the other pairs tell of each coefficient, as of the last fit.
    std::vector<std::optional<double>> predictions;
  };
  struct Estimate {
    double mean = 0;
    double variance = 0;
  };

  // What the samples of a pair say by themselves, without any prior.
  static std::optional<Estimate> EvidenceOf(const Belief& belief,
                                            uint32_t coefficient);
  // The same joined with what other pairs tell of it.
  static Estimate EstimateOf(const Belief& belief, uint32_t coefficient);
  // Learns from all pairs what each is likely to be.
  void FitFactors();

  // Returns what is expected, and `deviations` standard deviations more.
  double WeightWith(const std::string& serving_image,
                    const std::string& filler_image,
                    double deviations) const;

  std::map<TaskKey, Sample> samples_;
  ImageFactors factors_;
  Instant fitted_at_;
  std::map<std::string, Belief> beliefs_;  // By serving image.
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_INTERFERENCE_H_
