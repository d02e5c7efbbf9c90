#ifndef PAPAYADRIFT_PLACEMENT_USAGE_MODEL_H_
#define PAPAYADRIFT_PLACEMENT_USAGE_MODEL_H_

#include <optional>

#include "base/resources.h"
#include "placement/kind.h"
#include "records/record.h"

namespace papayadrift::placement {

// One report of an attempt's resource usage under its enforced grant.
struct UsageSample {
  TaskShape shape;
  Resources grant;
  Resources used;
};

// Predicts the resource usage of tasks of a kind. The scheduler's invariants
// hold even if predictions are arbitrarily wrong.
class UsageModel {
 public:
  virtual ~UsageModel() = default;

  // Registers the kind under its number.
  virtual void Introduce(KindNumber number, const KindId& kind) = 0;
  virtual void Observe(const UsageSample& sample) = 0;
  // Adds the run time of an attempt that finished under its full grant.
  virtual void ObserveRun(const TaskShape& shape, microseconds run) = 0;
  // Adds an attempt that failed under this grant, possibly for lack of memory.
  virtual void ObserveFailure(const TaskShape& shape,
                              const Resources& grant) = 0;

  // Imports recorded knowledge of the kind if the model has less evidence.
  virtual void Import(KindNumber /*number*/,
                      const records::KindKnowledge& /*noted*/) {}
  // Returns what was learned of the kind, without its name, if anything.
  virtual std::optional<records::KindKnowledge> Learned(
      KindNumber /*number*/) const {
    return std::nullopt;
  }

  // Returns the recommended grant of a task.
  virtual Resources GrantFor(const TaskShape& shape) const = 0;
  // Returns the average processor usage of a task, in millicores.
  virtual double ExpectedMillicores(const TaskShape& shape) const = 0;
  virtual microseconds ExpectedRun(const TaskShape& shape) const = 0;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_USAGE_MODEL_H_
