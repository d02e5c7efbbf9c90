#ifndef PAPAYADRIFT_PLACEMENT_GRANT_ADJUSTER_P_H_
#define PAPAYADRIFT_PLACEMENT_GRANT_ADJUSTER_P_H_

#include "placement/event.h"
#include "placement/scheduler_core_p.h"

namespace papayadrift::placement {

// Adjusts the grants of running tasks to usage reports.
class GrantAdjuster {
 public:
  explicit GrantAdjuster(SchedulerCore& core);

  void OnReport(const UsageReported& report);

 private:
  void Adjust(TaskState& task);
  void Raise(TaskState& task, const Resources& wanted);
  void Lower(TaskState& task, const Resources& wanted);

  SchedulerCore& core_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_GRANT_ADJUSTER_P_H_
