#ifndef PAPAYADRIFT_JOBS_STEP_LOAD_H_
#define PAPAYADRIFT_JOBS_STEP_LOAD_H_

#include "base/instant.h"

namespace papayadrift::jobs {

// Follows the slack that the serving tasks of one step would have without
// fillers, and forecasts it. Answers services whose load rises and falls within
// seconds: single gauges are rough and lag behind, but the tasks of a step
// share its load, so that all their gauges together show the level and its
// trend. A Kalman filter with a level and a slope that changes at random.
class StepLoad {
 public:
  // Adds the slack of one task without the effect of fillers; samples may come
  // in any order.
  void Observe(double slack, Instant at);
  // Returns the expected slack at `at`; 0 before the first sample.
  double Forecast(Instant at) const;

 private:
  bool has_samples_ = false;
  Instant at_;
  double level_ = 0;
  double slope_ = 0;  // Per second.
  // Covariance of level and slope.
  double level_variance_ = 0;
  double covariance_ = 0;
  double slope_variance_ = 0;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_STEP_LOAD_H_
