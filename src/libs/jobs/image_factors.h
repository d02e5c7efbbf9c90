#ifndef PAPAYADRIFT_JOBS_IMAGE_FACTORS_H_
#define PAPAYADRIFT_JOBS_IMAGE_FACTORS_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayadrift::jobs {

// The measured interference of one pair of images.
struct PairEvidence {
  std::string serving_image;
  std::string filler_image;
  double mean = 0;
  double precision = 0;  // The inverse of the variance.

  friend bool operator==(const PairEvidence&, const PairEvidence&) = default;
};

// Models the interference of pairs of images by a few kinds of shared hardware:
// a filler loads some of them and a serving task depends on some. This low-rank
// factorization predicts pairs that never ran together from what both did
// beside other images. Needed in the first seconds of a leader and for new
// images, when most pairs have no evidence yet.
class ImageFactors {
 public:
  // Fits the factors to all evidence, starting from the previous fit.
  void Fit(const std::vector<PairEvidence>& evidence);
  // Returns std::nullopt if one of the images has no evidence.
  std::optional<double> Predict(const std::string& serving_image,
                                const std::string& filler_image) const;

 private:
  // More factors than the images of one site have shown; unused factors stay
  // small.
  static constexpr size_t kFactorCount = 4;
  using Factors = std::array<double, kFactorCount>;
  using FactorsByImage = std::map<std::string, Factors>;

  // Fits one side to the evidence with the other side fixed.
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
