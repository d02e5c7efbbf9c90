#include "cluster/call_epochs.h"

#include <algorithm>

namespace papayadrift::cluster {

uint64_t CallEpochs::OnReport(const jobs::RunnerReport& report) {
  const int64_t start_unix_ms = report.agent_start_unix_ms;
  Agent& agent =
      agents_.try_emplace(report.incarnation.node, Agent{start_unix_ms, 0})
          .first->second;
  if (agent.start_unix_ms != start_unix_ms) {
    agent = {start_unix_ms, agent.epoch + kMaxLead};
  }
  agent.epoch = std::max(agent.epoch, report.call_epoch);
  return agent.epoch;
}

}  // namespace papayadrift::cluster
