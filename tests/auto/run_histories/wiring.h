#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_WIRING_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_WIRING_H_

#include <cstddef>
#include <string>

namespace papayadrift::run_histories {

class AgentProcess;
class FrontProcess;

// Where calls arrive: the process that is there at that time. An address is the
// number of a frontend or an agent.
class Wiring {
 public:
  virtual ~Wiring() = default;

  virtual FrontProcess& FrontAt(size_t index) = 0;
  virtual AgentProcess& AgentAt(size_t index) = 0;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_WIRING_H_
