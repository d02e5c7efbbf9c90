#ifndef PAPAYADRIFT_CLUSTER_PEER_API_H_
#define PAPAYADRIFT_CLUSTER_PEER_API_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "base/identifiers.h"
#include "base/instant.h"
#include "cluster/relay_messages.h"
#include "jobs/leader_record.h"
#include "jobs/runner.h"

// Calls between the processes of a cluster: frontends, one of which leads, and
// agents.

namespace papayadrift::cluster {

// Why a call has no answer.
enum class CallFailure {
  kNotDone,   // The other process has certainly not acted on it.
  kTimedOut,  // The deadline passed; it may act on it, also later.
  kLost,      // No answer can come any more; it may have acted on it.
};

// The answer to a report that the other process doesn't take.
struct ReportRefused {
  int status = 0;  // For the log.

  friend bool operator==(const ReportRefused&, const ReportRefused&) = default;
};
using ReportResult =
    std::variant<jobs::ReportAnswer, ReportRefused, CallFailure>;
using RelayResult = std::variant<RelayAnswer, CallFailure>;

// Calls from this process to others, which are named by their address
// ("ip:port"). Each callback runs once, never within the call, at the latest
// soon after the deadline.
class PeerApi {
 public:
  virtual ~PeerApi() = default;

  // From the leader to agents.
  virtual void NotifyAgent(const std::string& agent,
                           const jobs::LeaderRecord& leader,
                           Instant deadline) = 0;
  // Passes nothing to `done` if there is no valid answer.
  virtual void SendOrders(
      const std::string& agent,
      const jobs::OrderBatch& batch,
      Instant deadline,
      std::function<void(const std::optional<jobs::OrderAnswer>&)> done) = 0;

  // From an agent to the leader.
  virtual void SendReport(const std::string& leader,
                          const jobs::RunnerReport& report,
                          Instant deadline,
                          std::function<void(const ReportResult&)> done) = 0;

  // From one frontend to another.
  // Whether it leads.
  virtual void QueryLeader(const std::string& frontend,
                           Instant deadline,
                           std::function<void(bool is_leader)> done) = 0;
  // How fast a standby computes if it could lead at once, see SpeedProbe.
  virtual void QueryStandby(
      const std::string& frontend,
      Instant deadline,
      std::function<void(std::optional<uint64_t> speed)> done) = 0;
  // It should campaign.
  virtual void NotifySuccessor(const std::string& frontend,
                               Instant deadline) = 0;
  // The job's cancellation is stored.
  virtual void NotifyOfCancellation(const std::string& leader,
                                    const JobId& id,
                                    Instant deadline) = 0;
  virtual void SendRelayed(const std::string& frontend,
                           const RelayCall& call,
                           Instant deadline,
                           std::function<void(const RelayResult&)> done) = 0;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_PEER_API_H_
