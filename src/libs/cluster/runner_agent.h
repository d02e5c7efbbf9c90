#ifndef PAPAYADRIFT_CLUSTER_RUNNER_AGENT_H_
#define PAPAYADRIFT_CLUSTER_RUNNER_AGENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/peer_api.h"
#include "cluster/process_context.h"
#include "cluster/runner_agent_settings.h"
#include "cluster/runner_api.h"
#include "cluster/runner_session.h"
#include "jobs/leader_record.h"
#include "jobs/runner.h"

namespace papayadrift::cluster {

// Connects the leader with the runner on its VM: passes on orders, renews the
// runner's lease while the leader grants it, and reports which runs are active
// and which have ended. What is decided is up to RunnerSession.
class RunnerAgent {
 public:
  RunnerAgent(const RunnerAgentSettings& settings,
              const ProcessContext& context,
              RunnerApi& runner);
  RunnerAgent(const RunnerAgent&) = delete;
  RunnerAgent& operator=(const RunnerAgent&) = delete;

  void Start();
  void OnAnnouncement(const Announcement& announcement);
  void OnRunnerLeaving(const std::string& instance);
  // Calls `done` once no leader needs to be told that the runner has ended, at
  // the latest shortly after `deadline`. Leases outlast a restart of the agent,
  // so nothing else has to be handed over.
  void Stop(Instant deadline, std::function<void()> done);
  // Handles a leader's notification of its election.
  void HandleLeader(const jobs::LeaderRecord& leader);
  using RespondToOrders = std::function<void(const jobs::OrderAnswer&)>;
  void HandleOrders(const jobs::OrderBatch& batch,
                    const RespondToOrders& respond);

 private:
  struct PendingOrderBatch;

  int64_t NowMs() const;
  void OnRunnerStarted();
  void OnRunnerEnded(std::string_view reason);
  void RenewLease();
  // Logs it if the call that is sent now has a higher token than `last`.
  void LogFencing(const FencingToken& last) const;
  void OnLeaseRenewed(const RenewalCall& call, LeaseRenewalResult result);
  void ScheduleLeaseRenewal(milliseconds delay);
  void Report();
  void ReportNow();
  void ScheduleReport(milliseconds delay);
  void OnReported(const ReportTicket& ticket, const ReportResult& result);
  // Adapts the timeout of reports to how the leader has answered one.
  void UpdateReportLimit(Instant sent_at, const ReportResult& result);
  // Takes over `leader` if its term is later than that of the known one.
  bool UpdateLeader(const jobs::LeaderRecord& leader, const char* source);
  // Reads the leader from the store after a delay, unless a leader notifies
  // this agent before.
  void ScheduleLeaderLookup();
  void LookUpLeader();
  // Reads the next page of the lookup, the first of at most `pages`.
  void ReadLeaderPage(size_t pages, Instant deadline);
  void EndLeaderLookup(bool is_new);
  void LogRefusedView(const PendingOrderBatch& call,
                      jobs::OrderVerdict verdict) const;
  void SendNextOrders(const std::shared_ptr<PendingOrderBatch>& call);

  const RunnerAgentSettings settings_;
  const ProcessContext context_;
  RunnerApi& runner_;
  RunnerSession session_;
  std::function<void()> on_stopped_;
  milliseconds report_limit_;
  bool is_report_needed_ = false;
  bool is_report_failing_ = false;  // Whether the last report failed.
  bool is_looking_up_leader_ = false;
  // Key behind which the lookup goes on: the next page to read, or the page
  // that had the leader's record.
  std::string lookup_after_key_;
  const std::unique_ptr<Timer> renewal_timer_;
  const std::unique_ptr<Timer> report_timer_;
  std::optional<Instant> report_due_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_RUNNER_AGENT_H_
