#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_NETWORK_RUNNER_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_NETWORK_RUNNER_H_

#include <cstddef>
#include <functional>
#include <string>

#include "cluster/runner_api.h"
#include "model_runner.h"
#include "network.h"
#include "process_loop.h"

namespace papayadrift::run_histories {

// Calls of an agent to its runner over the simulated network.
class NetworkRunner : public cluster::RunnerApi {
 public:
  NetworkRunner(size_t index,
                const Clock& clock,
                ProcessLoop& loop,
                Network& network,
                ModelRunner& runner);

  void RenewLease(
      const std::string& address,
      const std::string& instance,
      const cluster::LeaseRenewalRequest& call,
      Instant deadline,
      std::function<void(cluster::LeaseRenewalResult)> done) override;
  void SendOrder(const std::string& address,
                 const std::string& instance,
                 const jobs::Order& order,
                 uint64_t fencing_token,
                 int64_t lease_until_ms,
                 Instant deadline,
                 std::function<void(jobs::OrderVerdict)> done) override;

 private:
  milliseconds TimeoutOf(Instant deadline) const;

  const size_t index_;
  const Clock& clock_;
  ProcessLoop& loop_;
  Network& network_;
  ModelRunner& runner_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_NETWORK_RUNNER_H_
