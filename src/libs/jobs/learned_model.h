#ifndef PAPAYADRIFT_JOBS_LEARNED_MODEL_H_
#define PAPAYADRIFT_JOBS_LEARNED_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// What a leader has learned about the workload, as it is stored for the next
// leader.

namespace papayadrift::jobs {

// How much a filler's image slows a serving one; see Interference.
struct LearnedWeight {
  std::string serving_image;
  std::string filler_image;
  double mean = 0;
  double deviation = 0;

  friend bool operator==(const LearnedWeight&, const LearnedWeight&) = default;
};

// How long tasks of one kind take; see DurationEstimator.
struct LearnedDuration {
  std::string kind;
  double mean_ms = 0;
  int64_t runs = 0;

  friend bool operator==(const LearnedDuration&,
                         const LearnedDuration&) = default;
};

struct LearnedModel {
  std::vector<LearnedWeight> weights;
  std::vector<LearnedDuration> durations;

  bool is_empty() const { return weights.empty() && durations.empty(); }
  friend bool operator==(const LearnedModel&, const LearnedModel&) = default;
};

// Returns the first weights and durations of the model, those that were used
// last, as far as they fit in about `max_bytes` when they are encoded: half of
// it for either, or more if the other takes less.
LearnedModel FitTo(const LearnedModel& model, size_t max_bytes);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_LEARNED_MODEL_H_
