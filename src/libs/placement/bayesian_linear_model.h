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

// In order of the coefficients.
using Features = std::vector<Feature>;

// What is believed of one coefficient before any measurement.
struct CoefficientPrior {
  double mean = 0;
  double deviation = 1;

  friend bool operator==(const CoefficientPrior&,
                         const CoefficientPrior&) = default;
};

// Bayesian linear regression, one measurement at a time. Coefficients that are
// measured slowly become uncertain again, up to their prior.
class BayesianLinearModel {
 public:
  // Adds a coefficient; they count from 0.
  void AddCoefficient(const CoefficientPrior& prior);
  // Takes in one measurement with the given standard deviation. Those that
  // are too far from what is expected count for less.
  void Observe(const Features& features, double value, double noise);

  // Replaces what is believed of one coefficient by an estimate from elsewhere,
  // unless it is less sure. It is kept near what is plausible of it.
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
