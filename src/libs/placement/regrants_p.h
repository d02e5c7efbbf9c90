#ifndef PAPAYADRIFT_PLACEMENT_REGRANTS_P_H_
#define PAPAYADRIFT_PLACEMENT_REGRANTS_P_H_

#include "placement/core_p.h"
#include "placement/event.h"

namespace papayadrift::placement {

// Takes in usage reports and lets the grants of running tasks follow them.
class Regrants {
 public:
  explicit Regrants(Core& core);

  void TakeReport(const UsageReported& report);

 private:
  void Adjust(TaskState& task);
  void Raise(TaskState& task, const Resources& wanted);
  void Lower(TaskState& task, const Resources& wanted);

  Core& core_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_REGRANTS_P_H_
