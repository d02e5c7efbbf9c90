#include "agent_process.h"

#include <string>

#include "unused_registry.h"
#include "workload.h"

namespace papayadrift::run_histories {
namespace {

cluster::RunnerAgentSettings SettingsOf(size_t index) {
  cluster::RunnerAgentSettings settings;
  settings.node = "n" + std::to_string(index);
  settings.address = std::to_string(index);
  settings.service = Routes().services.front().name;
  return settings;
}

}  // namespace

AgentProcess::AgentProcess(size_t index,
                           milliseconds clock_lead,
                           const milliseconds& wall_lead,
                           Simulation& simulation,
                           Network& network,
                           keyed_log::FakeKeyedLog& store,
                           Wiring& wiring,
                           ModelRunner& runner,
                           const TraceLog::Trace& trace,
                           Coverage* coverage)
    : loop_(simulation),
      clock_(simulation, clock_lead, wall_lead),
      store_(simulation,
             clock_,
             loop_,
             network,
             store,
             {LinkKind::kAgentRead, index},
             {LinkKind::kAgentRead, index}),
      peers_(index, clock_, loop_, network, wiring),
      runner_(index, clock_, loop_, network, runner),
      log_("agent " + std::to_string(index), trace, coverage),
      agent_(SettingsOf(index),
             {loop_, clock_, store_, peers_, log_, UnusedRegistry()},
             runner_) {
  agent_.Start();
}

}  // namespace papayadrift::run_histories
