#ifndef PAPAYADRIFT_PLACEMENT_KIND_H_
#define PAPAYADRIFT_PLACEMENT_KIND_H_

#include <cstdint>
#include <span>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/resources.h"

namespace papayadrift::placement {

// Number of a KindId within one scheduler and its models, from 0.
enum class KindNumber : uint32_t {};

// Processor usage of the running tasks of one kind on a worker.
struct KindLoad {
  KindNumber kind{};
  double share = 0;  // Of all processors of the worker, 0 to 1.

  friend bool operator==(const KindLoad&, const KindLoad&) = default;
};

using KindLoads = std::vector<KindLoad>;

// Declared properties of each task of a job.
struct TaskShape {
  KindNumber kind{};
  Resources declared;
  microseconds declared_run{0};

  friend bool operator==(const TaskShape&, const TaskShape&) = default;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_KIND_H_
