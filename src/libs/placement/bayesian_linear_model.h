#ifndef PAPAYADRIFT_PLACEMENT_BAYESIAN_LINEAR_MODEL_H_
#define PAPAYADRIFT_PLACEMENT_BAYESIAN_LINEAR_MODEL_H_

#include <cstdint>
#include <vector>

namespace papayadrift::placement {

// One input of a measurement: which coefficient, and how much of it.
struct Feature {
  uint32_t coefficient = 0;
  double amount = 0;

  friend bool operator==(const Feature&, const Feature&) = default;
};

// Sorted by coefficient.
using Features = std::vector<Feature>;

// Prior distribution of one coefficient.
struct CoefficientPrior {
  double mean = 0;
  double deviation = 1;

  friend bool operator==(const CoefficientPrior&,
                         const CoefficientPrior&) = default;
};

// Bayesian linear regression, one measurement at a time. The variance of
// measured coefficients grows back slowly, up to the prior.
class BayesianLinearModel {
 public:
  // Adds a coefficient. Coefficients are numbered from 0.
  void AddCoefficient(const CoefficientPrior& prior);
  // Adds a measurement with the given standard deviation. Outliers are clamped.
  void Observe(const Features& features, double value, double noise);

  // Replaces the estimate of one coefficient by an external one, unless that is
  // less certain. The mean is clamped to a plausible range around the prior.
  void Import(uint32_t coefficient, double mean, double deviation);

  uint32_t size() const { return static_cast<uint32_t>(mean_.size()); }
  const CoefficientPrior& prior(uint32_t coefficient) const {
    return priors_[coefficient];
  }
  double Mean(const Features& features) const;
  double Variance(const Features& features) const;

 private:
  double& At(uint32_t row, uint32_t column);
  double At(uint32_t row, uint32_t column) const;
  std::vector<double> TimesCovariance(const Features& features) const;
  void RestoreVariance(const Features& features);

  std::vector<CoefficientPrior> priors_;
  std::vector<double> mean_;
  std::vector<double> covariance_;  // Lower triangle, row by row.
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_BAYESIAN_LINEAR_MODEL_H_
