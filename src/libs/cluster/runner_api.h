#ifndef PAPAYADRIFT_CLUSTER_RUNNER_API_H_
#define PAPAYADRIFT_CLUSTER_RUNNER_API_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/instant.h"
#include "base/resources.h"
#include "jobs/runner.h"

namespace papayadrift::cluster {

// What a runner announces about itself.
struct Announcement {
  std::string instance;
  int64_t start_unix_ms = 0;  // 0: not reported.
  uint64_t sequence = 0;  // Increases with each announcement of one process.
  std::string address;
  std::string service;
  std::string zone;
  std::string vm;
  jobs::RunnerState state = jobs::RunnerState::kReady;
  Resources capacity;
  std::vector<std::string> labels;

  friend bool operator==(const Announcement&, const Announcement&) = default;
};

// Renews the lease, which all active runs share, and lists the runs. Times of
// the runner are milliseconds on its own clock.
struct LeaseRenewalRequest {
  uint64_t fencing_token = 0;
  std::optional<int64_t> lease_until_ms;
  uint64_t recorded_ends = 0;
  milliseconds wait{0};  // The response may be delayed until a run ends.

  friend bool operator==(const LeaseRenewalRequest&,
                         const LeaseRenewalRequest&) = default;
};

struct LeaseRenewalResponse {
  int64_t clock_ms = 0;
  int64_t start_unix_ms = 0;  // 0: not reported.
  std::vector<jobs::ActiveRun> active;
  std::vector<jobs::EndedRun> ended;
  bool has_all_ends = true;  // See jobs::RunnerReport.
  // An end could not be decoded; `ended` has those before it.
  bool has_unreadable_end = false;

  friend bool operator==(const LeaseRenewalResponse&,
                         const LeaseRenewalResponse&) = default;
};

enum class RunnerFailure {
  kNotListening,  // The connection was refused.
  kOtherIncarnation,
  kSuperseded,  // The runner has got a call with a higher fencing token.
  kUnanswered,
};

using LeaseRenewalResult = std::variant<LeaseRenewalResponse, RunnerFailure>;

// Calls from an agent to its runner.
class RunnerApi {
 public:
  virtual ~RunnerApi() = default;

  virtual void RenewLease(const std::string& address,
                          const std::string& instance,
                          const LeaseRenewalRequest& call,
                          Instant deadline,
                          std::function<void(LeaseRenewalResult)> done) = 0;
  virtual void SendOrder(const std::string& address,
                         const std::string& instance,
                         const jobs::Order& order,
                         uint64_t fencing_token,
                         int64_t lease_until_ms,
                         Instant deadline,
                         std::function<void(jobs::OrderVerdict)> done) = 0;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_RUNNER_API_H_
