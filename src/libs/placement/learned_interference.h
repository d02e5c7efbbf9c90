#ifndef PAPAYADRIFT_PLACEMENT_LEARNED_INTERFERENCE_H_
#define PAPAYADRIFT_PLACEMENT_LEARNED_INTERFERENCE_H_

#include <map>

#include "placement/bayesian_linear_model.h"
#include "placement/interference_model.h"

namespace papayadrift::placement {

// Learns, for each service, how its pressure depends on its own load and on
// each kind on the same worker. All neighbours of a measurement are fitted
// jointly, so that known effects of some are not attributed to the others.
class LearnedInterference : public InterferenceModel {
 public:
  void Introduce(KindNumber number, const KindId& kind) override;
  void Observe(const ServiceId& service,
               double load,
               std::span<const KindLoad> neighbours,
               double pressure) override;
  Pressure Expect(const ServiceId& service,
                  double load,
                  std::span<const KindLoad> neighbours) const override;
  void Import(const LearnedService& noted) override;
  std::vector<LearnedService> Learned() const override;

 private:
  std::map<ServiceId, BayesianLinearModel> models_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_LEARNED_INTERFERENCE_H_
