#ifndef PAPAYADRIFT_CLUSTER_CALL_EPOCHS_H_
#define PAPAYADRIFT_CLUSTER_CALL_EPOCHS_H_

#include <cstdint>
#include <map>
#include <string>

#include "jobs/runner.h"

namespace papayadrift::cluster {

// What a leader knows of the call epochs (see FencingToken) that agents have
// used in its term. An agent that starts again knows nothing of the calls of
// the one before it on its VM, which may still reach the runner.
class CallEpochs {
 public:
  // Epochs by which an agent may be ahead of its last report. It begins one
  // each time it loses and finds its runner again, a few times a second at
  // most, and starts runs only for some seconds after a report.
  static constexpr uint64_t kMaxLead = 1024;

  // Returns the epoch from which on the agent that sent `report` calls its
  // runner: higher than those of the agents before it.
  uint64_t OnReport(const jobs::RunnerReport& report);

 private:
  struct Agent {
    int64_t start_unix_ms = 0;
    uint64_t epoch = 0;

    friend bool operator==(const Agent&, const Agent&) = default;
  };

  std::map<std::string, Agent> agents_;  // By node.
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_CALL_EPOCHS_H_
