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
#include "jobs/learned_model.h"
#include "placement/bayesian_linear_model.h"

namespace papayadrift::jobs {

// Learns by how much fillers of one image slow serving tasks of another. The
// free capacity of a queue falls linearly with its load, and its tail latency
// grows as the inverse of that. So the slack of a task, its target divided by
// its tail latency, falls by a weight times the processor share that the
// fillers use. Most pairs do not interfere at all, and the load of a serving
// task changes its slack too, by more than most fillers do. Tasks of one step
// share its load, so the difference between two of them at the same time,
// beside different fillers, is used as evidence; for a task without such a
// sibling, the change between two of its own samples half a second apart.
class Interference {
 public:
  // Adds one sample of a serving task. `uses` is the share of the runner that
  // fillers of each image use, as far as it affects the tail latency by now.
  void Observe(const TaskKey& serving,
               const std::string& serving_image,
               double slack,
               const std::map<std::string, double>& uses,
               Instant at);
  // Drops the samples of a task that moves or ends.
  void Forget(const TaskKey& serving) { samples_.erase(serving); }

  // Returns by how much the slack is expected to fall if the filler uses all
  // processors of the runner; never negative.
  double Weight(const std::string& serving_image,
                const std::string& filler_image) const;

  // Returns a conservative estimate of the same, which is higher the less
  // evidence there is.
  double ConservativeWeight(const std::string& serving_image,
                            const std::string& filler_image) const;

  // Returns by how much fillers of each known image slow serving tasks of this
  // image: from 0, not noticeably, to 1, so much that they have to be slowed
  // most of the time. Has one entry for each filler image, in the same order
  // for all serving images; empty as long as nothing is known of any pair.
  const std::vector<double>& SensitivityOf(
      const std::string& serving_image) const;

  // Returns whether the sensitivity of the image is more than an assumption.
  bool HasEvidenceOf(const std::string& serving_image) const;

  // Exports all weights with evidence, those of serving images that were
  // observed last first, and imports those of an earlier leader. Imported
  // weights count for less than samples observed here.
  std::vector<LearnedWeight> Weights() const;
  void ImportWeights(const std::vector<LearnedWeight>& weights);

 private:
  struct Sample {
    double slack = 0;
    std::map<std::string, double> shares;
    Instant at;
  };
  // Returns the newest recent sample of another task of the same step that ran
  // beside other fillers, or null.
  const Sample* NewestSibling(const TaskKey& serving,
                              const std::map<std::string, double>& uses,
                              Instant at) const;
  // Updates the weights from the difference between two samples at equal load.
  void Compare(const std::string& serving_image,
               const Sample& sample,
               const Sample& other);

  struct ServingModel {
    // Returns the coefficient of the filler's image, adding it if it is not
    // known.
    uint32_t CoefficientOf(const std::string& filler_image);

    uint64_t used = 0;  // Higher for images that were observed later.
    std::map<std::string, uint32_t> coefficients;  // By filler's image.
    placement::BayesianLinearModel weights;
    // Prediction of each coefficient from the other pairs, as of the last fit.
    std::vector<std::optional<double>> predictions;
    std::vector<double> sensitivity;  // As of the last fit.
  };
  struct Estimate {
    double mean = 0;
    double variance = 0;
  };

  // The estimate from the samples of a pair alone, without the prior.
  static std::optional<Estimate> EvidenceOf(const ServingModel& model,
                                            uint32_t coefficient);
  // The same combined with the prediction from other pairs.
  static Estimate EstimateOf(const ServingModel& model, uint32_t coefficient);
  // Updates the prediction of each pair from the evidence of all pairs, and the
  // sensitivities.
  void FitFactors();

  // Returns the expected weight plus `deviations` standard deviations.
  double WeightAbove(const std::string& serving_image,
                     const std::string& filler_image,
                     double deviations) const;

  std::map<TaskKey, Sample> samples_;
  ImageFactors factors_;
  Instant fitted_at_;
  // Returns the model of a serving image that is used now. Forgets the one that
  // was used least recently if there are too many.
  ServingModel& Use(const std::string& serving_image);

  std::map<std::string, ServingModel> models_;  // By serving image.
  uint64_t uses_ = 0;
  // Of a serving image without evidence, as of the last fit.
  std::vector<double> unknown_sensitivity_;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_INTERFERENCE_H_
