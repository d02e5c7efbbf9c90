#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_AGENT_PROCESS_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_AGENT_PROCESS_H_

#include <cstddef>

#include "cluster/runner_agent.h"
#include "fake_keyed_log.h"
#include "model_runner.h"
#include "network.h"
#include "network_peers.h"
#include "network_runner.h"
#include "process_loop.h"
#include "store_client.h"
#include "trace_log.h"
#include "wiring.h"

namespace papayadrift::run_histories {

// One process of an agent, from its start.
class AgentProcess {
 public:
  AgentProcess(size_t index,
               milliseconds clock_lead,
               const milliseconds& wall_lead,
               Simulation& simulation,
               Network& network,
               keyed_log::FakeKeyedLog& store,
               Wiring& wiring,
               ModelRunner& runner,
               const TraceLog::Trace& trace,
               Coverage* coverage);

  cluster::RunnerAgent& agent() { return agent_; }
  ProcessLoop& loop() { return loop_; }
  const Clock& clock() const { return clock_; }

 private:
  ProcessLoop loop_;
  ProcessClock clock_;
  StoreClient store_;
  NetworkPeers peers_;
  NetworkRunner runner_;
  TraceLog log_;
  cluster::RunnerAgent agent_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_AGENT_PROCESS_H_
