#ifndef PAPAYADRIFT_CLUSTER_RUNNER_AGENT_H_
#define PAPAYADRIFT_CLUSTER_RUNNER_AGENT_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "async_http/server.h"
#include "cluster/process_context.h"
#include "cluster/runner_api.h"
#include "jobs/leader_record.h"
#include "jobs/runner.h"

namespace papayadrift::cluster {

struct RunnerAgentSettings {
  std::string node;
  std::string address;  // "ip:port" at which the leader gives orders.
  std::string service;  // Announcements of others are not used.
  // Period of reports while nothing changes.
  milliseconds report_period{500};
  // Time that a leader has to answer a report.
  milliseconds report_timeout{1200};
  // The runner may hold the answer to a call back for so long.
  milliseconds renewal_wait{400};
  // Time that the runner has to answer, beyond that.
  milliseconds runner_timeout{600};
  // Time that it has for an order, which costs it next to nothing.
  milliseconds order_timeout{250};

  friend bool operator==(const RunnerAgentSettings&,
                         const RunnerAgentSettings&) = default;
};

// Stands between the leader and the runner on its VM: carries out orders,
// keeps the runner's lease while the leader grants it, and reports what runs
// and what has ended.
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
  // Runs `done` once no leader has to be told any more that the runner's life
  // is over, at the latest soon after `deadline`. Leases outlast a restart, so
  // nothing else is handed over.
  void Stop(Instant deadline, std::function<void()> done);
  // A leader tells that it was elected.
  void HandleLeader(const http::Request& request,
                    const async_http::Respond& respond);
  void HandleOrders(const http::Request& request,
                    const async_http::Respond& respond);

 private:
  struct PendingOrderBatch;

  int64_t NowMs() const;
  jobs::RunnerLife life() const;
  bool HasLease() const;
  // The end of the lease on the runner's clock.
  int64_t LeaseEndOnRunnerClock() const;
  void OnRunnerStarted(const Announcement& announcement);
  void OnRunnerEnded(std::string_view reason);
  void RenewLease();
  void OnLeaseRenewed(uint64_t generation,
                      int64_t sent_at_ms,
                      const LeaseRenewalResult& result);
  void ScheduleLeaseRenewal(milliseconds delay);
  void Report();
  void ReportNow();
  void ScheduleReport(milliseconds delay);
  void OnReported(uint64_t generation,
                  uint64_t leader_term,
                  const http::ClientResult& result);
  // Takes over `leader` if it is later than the known one.
  bool UpdateLeader(const jobs::LeaderRecord& leader, const char* source);
  // Looks into the store, unless a leader makes itself known before.
  void ScheduleLeaderLookup();
  void LookUpLeader();
  // What is known of an order without asking the runner.
  std::optional<jobs::OrderVerdict> LocalVerdict(
      const PendingOrderBatch& call,
      const jobs::Order& order) const;
  void SendNextOrders(const std::shared_ptr<PendingOrderBatch>& call);

  const RunnerAgentSettings settings_;
  const ProcessContext context_;
  RunnerApi& runner_;
  std::optional<Announcement> announced_;
  bool has_ended_ = false;  // The announced life.
  bool is_end_recorded_ = false;
  std::function<void()> on_stopped_;
  // Counts lives, so that answers to an earlier one are told apart.
  uint64_t generation_ = 0;
  uint32_t refused_calls_ = 0;
  // The runner's clock, and this process's when it was read.
  std::optional<int64_t> runner_clock_ms_;
  int64_t runner_clock_read_ms_ = 0;
  int64_t listed_at_ms_ = 0;
  std::vector<jobs::ActiveRun> active_;
  std::vector<jobs::EndedRun> ended_;
  uint64_t recorded_ends_ = 0;
  uint64_t term_ = 0;
  int64_t lease_until_ms_ = 0;  // On this process's clock.
  jobs::LeaderRecord leader_;
  bool is_renewing_ = false;
  bool is_reporting_ = false;
  bool is_report_needed_ = false;
  bool is_looking_up_leader_ = false;
  boost::asio::steady_timer renewal_timer_;
  boost::asio::steady_timer report_timer_;
  std::optional<Instant> report_due_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_RUNNER_AGENT_H_
