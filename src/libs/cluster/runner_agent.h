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
  std::string address;  // "ip:port" to which the leader sends orders.
  std::string service;  // Announcements of other services are ignored.
  // Period of reports while nothing changes.
  milliseconds report_period{500};
  // Timeout of a report to a leader that answers soon.
  milliseconds report_timeout{1200};
  // Timeout of a report to one that answers late: it gets nothing done while
  // each report is given up and repeated.
  milliseconds longest_report_timeout{4800};
  // The runner may delay the response to a lease renewal by this long.
  milliseconds renewal_wait{400};
  // Timeout of a call to the runner, in addition to that.
  milliseconds runner_timeout{600};
  // Timeout of an order to the runner, which takes it very little time.
  milliseconds order_timeout{250};
  // Time for which orders of one batch are sent to the runner. The leader waits
  // a second for the answer to all of them.
  milliseconds batch_limit{650};
  // Longest age of what the leader knows of the stored jobs when a run is
  // started; see jobs::JobSchedulerSettings.
  milliseconds view_limit{2500};

  friend bool operator==(const RunnerAgentSettings&,
                         const RunnerAgentSettings&) = default;
};

// Connects the leader with the runner on its VM: passes on orders, renews the
// runner's lease while the leader grants it, and reports which runs are active
// and which have ended.
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
  void HandleLeader(const http::Request& request,
                    const async_http::Respond& respond);
  void HandleOrders(const http::Request& request,
                    const async_http::Respond& respond);

 private:
  struct PendingOrderBatch;

  int64_t NowMs() const;
  jobs::RunnerIncarnation incarnation() const;
  bool HasLease() const;
  // End of the lease on the runner's clock.
  int64_t LeaseEndOnRunnerClock() const;
  // Returns whether the announcement can be a true one; all true ones would
  // look older than one that is not.
  bool IsPlausible(const Announcement& announcement) const;
  void OnRunnerStarted(const Announcement& announcement);
  // `crash` is unset if the end was announced.
  void OnRunnerEnded(std::string_view reason,
                     std::optional<jobs::CrashTime> crash);
  // Returns when the runner crashed if a call to it that was sent at
  // `sent_at_ms` failed as the first one.
  jobs::CrashTime CrashTimeFor(RunnerFailure failure, int64_t sent_at_ms) const;
  void RenewLease();
  void OnLeaseRenewed(uint64_t generation,
                      int64_t sent_at_ms,
                      const LeaseRenewalResult& result);
  void ScheduleLeaseRenewal(milliseconds delay);
  void Report();
  void ReportNow();
  void ScheduleReport(milliseconds delay);
  void OnReported(uint64_t generation, const http::ClientResult& result);
  // Adapts the timeout of reports to how the leader has answered one.
  void UpdateReportLimit(Instant sent_at, const http::ClientResult& result);
  // Takes over `leader` if its term is later than that of the known one.
  bool UpdateLeader(const jobs::LeaderRecord& leader, const char* source);
  // Reads the leader from the store after a delay, unless a leader notifies
  // this agent before.
  void ScheduleLeaderLookup();
  void LookUpLeader();
  // Verdict on an order as far as it is known without asking the runner.
  std::optional<jobs::OrderVerdict> LocalVerdict(
      const PendingOrderBatch& call,
      const jobs::Order& order) const;
  // Verdict on starts whose leader knew the jobs as of `viewed_at_ms`; nothing
  // if they may be carried out.
  std::optional<jobs::OrderVerdict> ViewVerdict(int64_t viewed_at_ms) const;
  void LogRefusedView(const PendingOrderBatch& call,
                      jobs::OrderVerdict verdict) const;
  void SendNextOrders(const std::shared_ptr<PendingOrderBatch>& call);

  const RunnerAgentSettings settings_;
  const ProcessContext context_;
  const int64_t start_unix_ms_;
  RunnerApi& runner_;
  std::optional<Announcement> announced_;
  bool has_ended_ = false;  // Whether the announced process has ended.
  bool is_end_recorded_ = false;
  std::function<void()> on_stopped_;
  // Incremented when a process of the runner starts or ends, to recognize
  // answers to calls made before.
  uint64_t generation_ = 0;
  uint32_t refused_calls_ = 0;
  int64_t answered_at_ms_ = 0;  // When the runner answered last.
  // When the runner crashed, if calls to it fail.
  std::optional<jobs::CrashTime> suspected_crash_;
  std::optional<jobs::CrashTime> crash_;  // See jobs::RunnerReport.
  // Time on the runner's clock, and on this process's clock when it was read.
  std::optional<int64_t> runner_clock_ms_;
  int64_t runner_clock_read_ms_ = 0;
  int64_t listed_at_ms_ = 0;
  std::vector<jobs::ActiveRun> active_;
  std::vector<jobs::EndedRun> ended_;
  bool has_all_ends_ = true;
  uint64_t recorded_ends_ = 0;
  uint64_t term_ = 0;
  int64_t lease_until_ms_ = 0;  // On this process's clock.
  jobs::LeaderRecord leader_;
  bool is_renewing_ = false;
  bool is_reporting_ = false;
  uint64_t reports_ = 0;  // To recognize answers to reports given up.
  milliseconds report_limit_;
  bool is_report_needed_ = false;
  bool is_report_failing_ = false;  // Whether the last report failed.
  bool is_looking_up_leader_ = false;
  boost::asio::steady_timer renewal_timer_;
  boost::asio::steady_timer report_timer_;
  std::optional<Instant> report_due_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_RUNNER_AGENT_H_
