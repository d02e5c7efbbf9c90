#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_AGENT_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_AGENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "cluster/runner_agent.h"
#include "cluster/runner_api.h"
#include "jobs/leader_record.h"
#include "jobs/runner.h"
#include "keyed_log/keyed_log.h"
#include "model_runner.h"
#include "network.h"
#include "simulation.h"
#include "wiring.h"

namespace papayadrift::run_histories {

// The decisions of cluster::RunnerAgent, without its I/O: one process of the
// agent, from its start.
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

  int64_t NowMs() const;
  jobs::RunnerIncarnation incarnation() const;
  bool HasLease() const;
  int64_t LeaseEndOnRunnerClock() const;
  void OnRunnerStarted(const cluster::Announcement& announcement);
  void OnRunnerEnded(std::optional<jobs::CrashTime> crash);
  jobs::CrashTime CrashTimeFor(cluster::RunnerFailure failure,
                               int64_t sent_at_ms) const;
  void ScheduleLeaseRenewal(milliseconds delay);
  void RenewLease();
  void SendLeaseRenewal(const cluster::LeaseRenewalRequest& call);
  void OnLeaseRenewed(int64_t sent_at_ms,
                      const cluster::LeaseRenewalResult& result);
  void OnRenewalFailed(cluster::RunnerFailure failure, int64_t sent_at_ms);
  void TakeLists(const cluster::LeaseRenewalResponse& renewal,
                 int64_t sent_at_ms);
  void ScheduleReport(milliseconds delay);
  void ReportNow();
  void Report();
  jobs::RunnerReport MakeReport() const;
  void OnReported(uint64_t generation, const std::optional<ReportReply>& reply);
  bool UpdateLeader(const jobs::LeaderRecord& leader);
  void ScheduleLeaderLookup();
  void LookUpLeader();
  void OnLeaderRead(const keyed_log::ReadResult& result);
  std::optional<jobs::OrderVerdict> LocalVerdict(
      const jobs::OrderBatch& batch,
      const jobs::Order& order) const;
  std::optional<jobs::OrderVerdict> ViewVerdict(int64_t viewed_at_ms) const;
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
  const int64_t start_unix_ms_;
  std::optional<cluster::Announcement> announced_;
  bool has_ended_ = false;
  uint64_t generation_ = 0;
  uint32_t refused_calls_ = 0;
  int64_t answered_at_ms_ = 0;
  std::optional<jobs::CrashTime> suspected_crash_;
  std::optional<jobs::CrashTime> crash_;
  std::optional<int64_t> runner_clock_ms_;
  int64_t runner_clock_read_ms_ = 0;
  int64_t listed_at_ms_ = 0;
  std::vector<jobs::ActiveRun> active_;
  std::vector<jobs::EndedRun> ended_;
  bool has_all_ends_ = true;
  uint64_t recorded_ends_ = 0;
  uint64_t term_ = 0;
  int64_t lease_until_ms_ = 0;
  jobs::LeaderRecord leader_;
  bool is_renewing_ = false;
  bool is_reporting_ = false;
  uint64_t reports_ = 0;
  bool is_report_needed_ = false;
  bool is_looking_up_leader_ = false;
  Timer renewal_timer_;
  Timer report_timer_;
  std::optional<Instant> report_due_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_AGENT_H_
