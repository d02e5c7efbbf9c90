#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_FRONT_PROCESS_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_FRONT_PROCESS_H_

#include <cstddef>

#include "cluster/job_frontend.h"
#include "fake_keyed_log.h"
#include "network.h"
#include "network_peers.h"
#include "process_loop.h"
#include "referee.h"
#include "store_client.h"
#include "trace_log.h"
#include "wiring.h"

namespace papayadrift::run_histories {

// One process of a frontend, from its start, and the callers that use it.
class FrontProcess {
 public:
  // `wall_lead` is how much the time of day on its VM is ahead.
  FrontProcess(size_t index,
               const milliseconds& wall_lead,
               Simulation& simulation,
               Network& network,
               keyed_log::FakeKeyedLog& store,
               Wiring& wiring,
               Referee& referee,
               const TraceLog::Trace& trace,
               Coverage* coverage);

  void Submit(size_t job);
  void Cancel(size_t job);
  void Query(size_t job);

  cluster::JobFrontend& frontend() { return frontend_; }
  // Set while this process leads and the store confirms it.
  const cluster::Leader* confirmed_leader() const;
  ProcessLoop& loop() { return loop_; }

 private:
  Referee& referee_;
  ProcessLoop loop_;
  ProcessClock clock_;
  StoreClient store_;
  NetworkPeers peers_;
  TraceLog log_;
  cluster::JobFrontend frontend_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_FRONT_PROCESS_H_
