#ifndef PAPAYADRIFT_JOBS_IMAGE_FACTORS_H_
#define PAPAYADRIFT_JOBS_IMAGE_FACTORS_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayadrift::jobs {

// What was measured of one pair of images.
struct PairEvidence {
  std::string serving_image;
  std::string filler_image;
  double mean = 0;
  double precision = 0;  // The inverse of the variance.

  friend bool operator==(const PairEvidence&, const PairEvidence&) = default;
};

// Explains how much pairs of images disturb each other by a few kinds of shared
// hardware: a filler presses on some, a serving task depends on some. So a pair
// that never met is known from what both did beside others. Answers the first
// seconds of a leader and new images: most pairs have no evidence yet.
class ImageFactors {
 public:
  // Fits the factors to all evidence, beginning with the last ones.
  void Fit(const std::vector<PairEvidence>& evidence);
  // Returns nothing if one of the images has no evidence.
  std::optional<double> Predict(const std::string& serving_image,
                                const std::string& filler_image) const;

 private:
  // More than the images of one site have shown; what isn't there stays small.
  static constexpr size_t kFactorCount = 4;
  using Factors = std::array<double, kFactorCount>;
  using FactorsByImage = std::map<std::string, Factors>;

  // Fits one side to the evidence while the other stays as it is.
  static void FitSide(FactorsByImage& side,
                      const FactorsByImage& other,
                      const std::vector<PairEvidence>& evidence,
                      std::string PairEvidence::* own_image,
                      std::string PairEvidence::* other_image);

  FactorsByImage servings_;
  FactorsByImage fillers_;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_IMAGE_FACTORS_H_
