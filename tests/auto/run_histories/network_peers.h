#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_NETWORK_PEERS_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_NETWORK_PEERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "cluster/peer_api.h"
#include "network.h"
#include "process_loop.h"
#include "wiring.h"

namespace papayadrift::run_histories {

// Calls of one process to others over the simulated network.
class NetworkPeers : public cluster::PeerApi {
 public:
  // `index` is that of the calling frontend or agent.
  NetworkPeers(size_t index,
               const Clock& clock,
               ProcessLoop& loop,
               Network& network,
               Wiring& wiring);

  void NotifyAgent(const std::string& agent,
                   const jobs::LeaderRecord& leader,
                   Instant deadline) override;
  void SendOrders(const std::string& agent,
                  const jobs::OrderBatch& batch,
                  Instant deadline,
                  std::function<void(const std::optional<jobs::OrderAnswer>&)>
                      done) override;
  void SendReport(
      const std::string& leader,
      const jobs::RunnerReport& report,
      Instant deadline,
      std::function<void(const cluster::ReportResult&)> done) override;
  void QueryLeader(const std::string& frontend,
                   Instant deadline,
                   std::function<void(bool is_leader)> done) override;
  void QueryStandby(
      const std::string& frontend,
      Instant deadline,
      std::function<void(std::optional<uint64_t> speed)> done) override;
  void NotifySuccessor(const std::string& frontend, Instant deadline) override;
  void NotifyOfCancellation(const std::string& leader,
                            const JobId& id,
                            Instant deadline) override;
  void SendRelayed(
      const std::string& frontend,
      const cluster::RelayCall& call,
      Instant deadline,
      std::function<void(const cluster::RelayResult&)> done) override;

 private:
  // Passes nothing to `done` if there is no such process; the call then fails
  // at once.
  template <typename Answer>
  void Call(const std::optional<Link>& link,
            Instant deadline,
            Network::Deliver<Answer> deliver,
            Network::Done<Answer> done);

  const size_t index_;
  const Clock& clock_;
  ProcessLoop& loop_;
  Network& network_;
  Wiring& wiring_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_NETWORK_PEERS_H_
