#ifndef PAPAYADRIFT_PLACEMENT_USAGE_MODEL_H_
#define PAPAYADRIFT_PLACEMENT_USAGE_MODEL_H_

#include <optional>

#include "base/resources.h"
#include "placement/kind.h"
#include "records/record.h"

namespace papayadrift::placement {

// One report of an attempt's use under its enforced grant.
struct UsageSample {
  TaskShape shape;
  Resources grant;
  Resources used;
};

// What tasks of a kind are expected to use. The scheduler stays safe however
// wrong the answers are.
class UsageModel {
 public:
  virtual ~UsageModel() = default;

  // Makes the kind known under its number.
  virtual void Introduce(KindNumber number, const KindId& kind) = 0;
  virtual void Observe(const UsageSample& sample) = 0;
  // An attempt finished after running this long under its full grant.
  virtual void ObserveRun(const TaskShape& shape, microseconds run) = 0;
  // An attempt failed under this grant, perhaps for lack of memory.
  virtual void ObserveFailure(const TaskShape& shape,
                              const Resources& grant) = 0;

  // Takes up what was noted of the kind, if the model does not know it better.
  virtual void Import(KindNumber /*number*/,
                      const records::KindKnowledge& /*noted*/) {}
  // Returns what is known of the kind, without its name, if anything is.
  virtual std::optional<records::KindKnowledge> Learned(
      KindNumber /*number*/) const {
    return std::nullopt;
  }

  // Returns what a task should be granted.
  virtual Resources GrantFor(const TaskShape& shape) const = 0;
  // Returns the processors that a task keeps busy on average, in thousandths.
  virtual double ExpectedMillicores(const TaskShape& shape) const = 0;
  virtual microseconds ExpectedRun(const TaskShape& shape) const = 0;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_USAGE_MODEL_H_
