#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_AGENT_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_AGENT_H_

#include <cstddef>
#include <memory>
#include <optional>

#include "cluster/runner_agent_settings.h"
#include "cluster/runner_api.h"
#include "cluster/runner_session.h"
#include "jobs/leader_record.h"
#include "jobs/runner.h"
#include "keyed_log/keyed_log.h"
#include "model_runner.h"
#include "network.h"
#include "simulation.h"
#include "wiring.h"

namespace papayadrift::run_histories {

// The calls of cluster::RunnerAgent around cluster::RunnerSession, without
// their I/O: one process of the agent, from its start.
class ModelAgent : public std::enable_shared_from_this<ModelAgent> {
 public:
  // The clock of the process is `clock_lead` ahead of the true one.
  ModelAgent(size_t index,
             milliseconds clock_lead,
             Simulation& simulation,
             Network& network,
             keyed_log::KeyedLog& store,
             Wiring& wiring,
             ModelRunner& runner);

  void Start() { LookUpLeader(); }
  void OnAnnouncement(const cluster::Announcement& announcement);
  void OnLeader(const jobs::LeaderRecord& leader);
  void OnOrders(const jobs::OrderBatch& batch,
                const Network::Respond<jobs::OrderAnswer>& respond);

 private:
  struct PendingOrders;

  Instant Now() const { return simulation_.Now() + clock_lead_; }
  void ScheduleLeaseRenewal(milliseconds delay);
  void RenewLease();
  void OnLeaseRenewed(const cluster::RenewalCall& call,
                      const cluster::LeaseRenewalResult& result);
  void ScheduleReport(milliseconds delay);
  void ReportNow();
  void Report();
  void OnReported(const cluster::ReportTicket& ticket,
                  const std::optional<ReportReply>& reply);
  void ScheduleLeaderLookup();
  void LookUpLeader();
  void OnLeaderRead(const keyed_log::ReadResult& result);
  void SendOrder(const std::shared_ptr<PendingOrders>& pending, size_t i);
  void OnOrderDone(const std::shared_ptr<PendingOrders>& pending,
                   size_t i,
                   jobs::OrderVerdict verdict);

  const size_t index_;
  const milliseconds clock_lead_;
  const cluster::RunnerAgentSettings settings_;
  Simulation& simulation_;
  Network& network_;
  keyed_log::KeyedLog& store_;
  Wiring& wiring_;
  ModelRunner& runner_;
  cluster::RunnerSession session_;
  bool is_report_needed_ = false;
  bool is_looking_up_leader_ = false;
  Timer renewal_timer_;
  Timer report_timer_;
  std::optional<Instant> report_due_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_AGENT_H_
