#ifndef PAPAYADRIFT_JOBS_DURATION_ESTIMATOR_H_
#define PAPAYADRIFT_JOBS_DURATION_ESTIMATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "jobs/learned_model.h"

namespace papayadrift::jobs {

// How long tasks really take. Callers' estimates are off by up to ten times, so
// a few runs of the same kind go before them.
class DurationEstimator {
 public:
  // Takes in a run that was done and never slowed down.
  void Observe(const std::string& queue, const Step& step, int64_t ms);
  int64_t Expect(const std::string& queue, const Step& step) const;

  // All means, and those of an earlier leader.
  std::vector<LearnedDuration> Durations() const;
  void ImportDurations(const std::vector<LearnedDuration>& durations);

 private:
  struct Mean {
    double ms = 0;
    int64_t runs = 0;
  };

  // Tasks of one image behave alike; those without go by their queue.
  static std::string MeanKey(const std::string& queue, const Step& step);

  std::map<std::string, Mean> means_;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_DURATION_ESTIMATOR_H_
