#ifndef PAPAYADRIFT_JOBS_DURATION_ESTIMATOR_H_
#define PAPAYADRIFT_JOBS_DURATION_ESTIMATOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "jobs/learned_model.h"

namespace papayadrift::jobs {

// Estimates how long tasks take. Callers' estimates are off by a factor of up
// to ten, so a few observed runs of the same kind replace them.
class DurationEstimator {
 public:
  // How long tasks of one kind take.
  struct Mean {
    double ms = 0;
    int64_t runs = 0;   // Observed ones that it covers.
    uint64_t used = 0;  // Higher for kinds that were used later.

    int64_t Expect(int64_t estimated_ms) const;
  };

  // Records a completed run that was never slowed down.
  void Observe(const std::string& queue, const Step& step, int64_t ms);
  int64_t Expect(const std::string& queue, const Step& step) const;
  // Returns the mean of the kind of the step, which changes as runs are
  // observed.
  std::shared_ptr<const Mean> MeanOf(const std::string& queue,
                                     const Step& step);

  // Returns all means, including those imported from an earlier leader, those
  // that were used last first.
  std::vector<LearnedDuration> Durations() const;
  void ImportDurations(const std::vector<LearnedDuration>& durations);

 private:
  // Tasks of one image behave alike; tasks without an image are grouped by
  // queue.
  static std::string MeanKey(const std::string& queue, const Step& step);

  // Returns the mean of a kind that is used now.
  const std::shared_ptr<Mean>& Use(const std::string& key);
  // Forgets the kind that was used least recently if there are too many. Kinds
  // of known jobs stay.
  void ForgetOne();

  std::map<std::string, std::shared_ptr<Mean>> means_;
  uint64_t uses_ = 0;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_DURATION_ESTIMATOR_H_
