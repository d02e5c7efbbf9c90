#include "base/identifiers.h"

namespace papayadrift {

std::string ToText(const TaskId& task) {
  return task.job.text() + "/" + std::to_string(task.index);
}

}  // namespace papayadrift
