#ifndef PAPAYADRIFT_CLUSTER_HTTP_HTTP_PEERS_H_
#define PAPAYADRIFT_CLUSTER_HTTP_HTTP_PEERS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "async_http/client.h"
#include "cluster/peer_api.h"

namespace papayadrift::cluster_http {

// Calls other processes by HTTP.
class HttpPeers : public cluster::PeerApi {
 public:
  explicit HttpPeers(async_http::Client& client) : client_(client) {}

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
  async_http::Client& client_;
};

}  // namespace papayadrift::cluster_http

#endif  // PAPAYADRIFT_CLUSTER_HTTP_HTTP_PEERS_H_
