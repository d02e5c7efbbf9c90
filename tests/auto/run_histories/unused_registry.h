#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_UNUSED_REGISTRY_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_UNUSED_REGISTRY_H_

#include "metrics/registry.h"

namespace papayadrift::run_histories {

// Returns the registry that all processes of a thread share: nobody reads it.
inline metrics::Registry& UnusedRegistry() {
  static thread_local metrics::Registry registry;
  return registry;
}

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_UNUSED_REGISTRY_H_
