#include "jobs/image_factors.h"

#include <algorithm>
#include <numeric>

#include "base/hash.h"
#include "base/lookup.h"

namespace papayadrift::jobs {
namespace {

// Sweeps over all factors in each fit, which continues from the previous one.
constexpr int kSweeps = 6;
// Prior mean of a factor and its precision: with four factors it gives the
// expected weight of a pair, three.
constexpr double kPriorFactor = 0.87;
constexpr double kPriorPrecision = 0.3;
// Initial factors differ from each other, or all factors would stay equal.
constexpr double kInitialSpread = 1.0;
// Variance of the weight of a pair that the factors don't explain.
constexpr double kResidualVariance = 2.0;

template <typename Factors>
Factors InitialFactors(const std::string& image) {
  constexpr uint64_t kParts = 1024;
  Factors factors;
  for (size_t kind = 0; kind < factors.size(); ++kind) {
    const auto part = static_cast<double>(StableHash(image, kind) % kParts) /
                      static_cast<double>(kParts);
    factors[kind] = kPriorFactor + kInitialSpread * (part - 0.5);
  }
  return factors;
}

template <typename Factors>
double Product(const Factors& left, const Factors& right) {
  return std::inner_product(left.begin(), left.end(), right.begin(), 0.0);
}

}  // namespace

void ImageFactors::FitSide(FactorsByImage& side,
                           const FactorsByImage& other,
                           const std::vector<PairEvidence>& evidence,
                           std::string PairEvidence::* own_image,
                           std::string PairEvidence::* other_image) {
  for (auto& [image, factors] : side) {
    for (size_t kind = 0; kind < kFactorCount; ++kind) {
      double weighted = kPriorPrecision * kPriorFactor;
      double precision = kPriorPrecision;
      for (const PairEvidence& it : evidence) {
        if (it.*own_image != image) {
          continue;
        }
        const Factors& others = other.at(it.*other_image);
        const double known = 1 / (1 / it.precision + kResidualVariance);
        const double rest =
            it.mean - Product(factors, others) + factors[kind] * others[kind];
        weighted += known * others[kind] * rest;
        precision += known * others[kind] * others[kind];
      }
      factors[kind] = std::max(0.0, weighted / precision);
    }
  }
}

void ImageFactors::Fit(const std::vector<PairEvidence>& evidence) {
  for (const PairEvidence& it : evidence) {
    servings_.try_emplace(it.serving_image,
                          InitialFactors<Factors>(it.serving_image));
    fillers_.try_emplace(it.filler_image,
                         InitialFactors<Factors>(it.filler_image));
  }
  for (int i = 0; i < kSweeps; ++i) {
    FitSide(servings_, fillers_, evidence, &PairEvidence::serving_image,
            &PairEvidence::filler_image);
    FitSide(fillers_, servings_, evidence, &PairEvidence::filler_image,
            &PairEvidence::serving_image);
  }
}

std::optional<double> ImageFactors::Predict(
    const std::string& serving_image,
    const std::string& filler_image) const {
  const Factors* serving = FindOrNull(servings_, serving_image);
  const Factors* filler = FindOrNull(fillers_, filler_image);
  return serving == nullptr || filler == nullptr
             ? std::nullopt
             : std::optional<double>(Product(*serving, *filler));
}

}  // namespace papayadrift::jobs
