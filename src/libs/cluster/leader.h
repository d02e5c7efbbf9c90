#ifndef PAPAYADRIFT_CLUSTER_LEADER_H_
#define PAPAYADRIFT_CLUSTER_LEADER_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "async_http/server.h"
#include "cluster/frontend_list.h"
#include "cluster/job_replica.h"
#include "cluster/process_context.h"
#include "jobs/board.h"
#include "jobs/directory.h"
#include "jobs/leader_record.h"
#include "jobs/route_table.h"

namespace papayadrift::cluster {

class ClusterMetrics;

struct LeaderSettings {
  std::string node;
  std::string address;  // "ip:port" at which agents report.
  jobs::BoardSettings board;
  // What was learned is stored this often: a leader that ends takes little
  // with it, and it is a few kilobytes.
  milliseconds learned_period{2000};
  // Shortest time between two appends: what comes meanwhile shares the next.
  milliseconds min_append_interval{10};
  // An idle leader shows that it is there this often.
  milliseconds heartbeat_period{300};
  // Time without a stored append after which agents are sent to look for
  // another leader: about when one may have been elected.
  milliseconds confirmation_timeout{1300};
  // Longest time without a look at leases and orders that are due.
  milliseconds max_step_interval{50};
  // Time that an agent has to carry out orders.
  milliseconds order_timeout{1000};
  // Longest time that the answer to a report waits for its ends to be stored.
  milliseconds report_timeout{800};

  friend bool operator==(const LeaderSettings&,
                         const LeaderSettings&) = default;
};

// The term of one leader: from its candidacy to the moment when the store
// knows another one. Owns the board; the only one that gives orders.
class Leader : public std::enable_shared_from_this<Leader> {
 public:
  // Runs once, when the term is over or was not won.
  using OnEnd = std::function<void()>;

  Leader(const LeaderSettings& settings,
         const ProcessContext& context,
         ClusterMetrics& metrics,
         jobs::Directory& directory,
         JobReplica& replica,
         OnEnd on_end);
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Stands for the term after the last one that the replica shows, provided
  // that nothing was written to the progress topic behind what it has read.
  void Campaign();
  void SetRoutes(const jobs::RouteTable& routes);
  // Gives no more orders, and gives the term up once everything is stored that
  // this leader has decided; `successor` is told to stand then.
  void Stop(const std::optional<FrontendRecord>& successor);

  bool is_leading() const { return is_leading_; }
  // Whether the store has confirmed the term lately. If not, another process
  // may lead, and what this one knows may be out of date.
  bool is_confirmed() const;
  uint64_t term() const { return record_.term; }
  const jobs::Board* board() const { return board_ ? &*board_ : nullptr; }

  // Answers an agent's report once the ends in it are stored.
  void HandleReport(const http::Request& request,
                    const async_http::Respond& respond);

 private:
  struct PendingReport {
    jobs::RunnerLife life;
    uint64_t ends = 0;  // Highest end that the report brought.
    // Says that the runner's life is over: what follows from that has to be
    // stored up to here, as the agent may end once it has the answer.
    std::optional<uint64_t> gone_version;
    int64_t sent_at_ms = 0;
    Instant received_at;
    async_http::Respond respond;
  };

  void SendCandidacy(int attempts_left);
  void OnElected();
  void PublishAddress();
  // Begins to lead once the term is won and the jobs are read.
  void BeginIfReady();
  void Begin();
  void CatchUpOnJobs();
  void FollowJobs();
  // Tells all agents that the last leader knew where this one is.
  void NotifyAgents();
  jobs::AgentList KnownAgents() const;
  void ScheduleStep(milliseconds delay);
  void Step();
  void Flush();
  void Write(const std::shared_ptr<keyed_log::Append>& append,
             uint64_t version);
  void OnWritten(const std::shared_ptr<keyed_log::Append>& append,
                 uint64_t version,
                 Instant started_at,
                 const keyed_log::AppendResult& result);
  void SendOrders();
  // Drops jobs that ended long ago: first from the topic of jobs, so that no
  // later leader takes one for new.
  void DeleteExpiredJobs();
  bool IsRecorded(const PendingReport& report) const;
  void Answer(const PendingReport& report);
  void AnswerReports();
  // Adds what has changed of jobs; returns the version that covers it.
  uint64_t AppendChanges(keyed_log::Append& append);
  // Adds what the next leader takes over beside the jobs, if it has changed.
  void AppendHandover(keyed_log::Append& append);
  void RejectPendingReports();
  void Resign();
  void OnResigned();
  void End(std::string_view reason);
  void LogNote(const jobs::BoardNote& note) const;
  // Runs `action` after `delay` if the term goes on.
  void After(milliseconds delay, std::function<void()> action);

  const LeaderSettings settings_;
  const ProcessContext context_;
  jobs::Directory& directory_;
  JobReplica& replica_;
  OnEnd on_end_;
  jobs::LeaderRecord record_;
  jobs::RouteTable routes_;
  std::optional<uint64_t> expected_end_;
  uint64_t sequence_ = 0;
  // When the last append began by which the store confirmed the term.
  Instant confirmed_at_;
  bool is_elected_ = false;
  bool has_read_jobs_ = false;  // All that were stored before the candidacy.
  bool is_leading_ = false;
  bool is_resigning_ = false;
  bool has_ended_ = false;
  std::optional<FrontendRecord> successor_;
  jobs::AgentList stored_agents_;
  std::optional<jobs::Board> board_;
  ClusterMetrics& metrics_;
  bool is_writing_ = false;
  bool is_deleting_jobs_ = false;
  Instant expiry_checked_at_;
  std::vector<JobId> deleted_jobs_;  // Their progress is still stored.
  Instant last_append_at_;
  Instant learned_appended_at_;
  Instant stepped_at_;
  boost::asio::steady_timer step_timer_;
  Instant step_due_;
  bool is_step_due_ = false;
  std::vector<PendingReport> pending_reports_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_LEADER_H_
