#ifndef PAPAYADRIFT_CLUSTER_LEADER_H_
#define PAPAYADRIFT_CLUSTER_LEADER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/arrived_report.h"
#include "cluster/call_epochs.h"
#include "cluster/frontend_list.h"
#include "cluster/job_replica.h"
#include "cluster/leader_monitor.h"
#include "cluster/leader_term.h"
#include "cluster/process_context.h"
#include "cluster/report_queue.h"
#include "cluster/zones_view.h"
#include "jobs/directory.h"
#include "jobs/job_scheduler.h"
#include "jobs/leader_record.h"
#include "jobs/route_table.h"

namespace papayadrift::cluster {

class ClusterMetrics;

struct LeaderSettings {
  std::string node;
  std::string address;  // "ip:port" to which agents send reports.
  jobs::JobSchedulerSettings scheduler;
  LeaderLoadSettings load;
  // Period at which the work done is added to the metrics, and logged by a
  // leader that is behind.
  milliseconds load_period{1000};
  // Period at which the learned model is stored. It takes a few kilobytes, and
  // a leader that ends loses little of it.
  milliseconds learned_period{2000};
  // Minimum time between two appends; changes in between are batched into the
  // next.
  milliseconds min_append_interval{10};
  // Maximum time between two appends of an idle leader.
  milliseconds heartbeat_period{300};
  // Time without a stored append after which agents are told to look up another
  // leader: about when one may have been elected.
  milliseconds confirmation_timeout{1300};
  // Maximum time between two checks for expired leases and due orders.
  milliseconds max_step_interval{50};
  // Timeout of a batch of orders sent to an agent.
  milliseconds order_timeout{1000};
  // Number of reports that are processed between two rounds of decisions, and
  // in each: reads of the store and answers to orders take their turns with
  // these, also while more reports arrive than can be processed.
  size_t max_reports_per_round = 16;
  // Maximum time for which the answer to a report is delayed until the ends in
  // it are stored.
  milliseconds report_timeout{800};

  friend bool operator==(const LeaderSettings&,
                         const LeaderSettings&) = default;
};

// A leader for one term, from its candidacy until the store has a later term.
// Owns the job scheduler; no other process sends orders.
class Leader : public std::enable_shared_from_this<Leader> {
 public:
  // Called once, when the term has ended or the election was lost.
  using OnEnd = std::function<void()>;

  Leader(const LeaderSettings& settings,
         const ProcessContext& context,
         ClusterMetrics& metrics,
         jobs::Directory& directory,
         JobReplica& replica,
         OnEnd on_end);
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Campaigns for the term after the last one in the replica. Fails if anything
  // was appended to the progress topic after what the replica has read.
  void Campaign();
  void SetRoutes(const jobs::RouteTable& routes);
  void SetZones(const ZonesView& zones);
  // Stops sending orders, and resigns once all decisions of this leader are
  // stored. `successor` is then notified to campaign.
  void Stop(const std::optional<FrontendRecord>& successor);

  bool is_leading() const { return is_leading_; }
  // Whether the store has confirmed the term recently. If not, another process
  // may lead, and the state of this one may be stale.
  bool is_confirmed() const;
  uint64_t term() const { return term_->record().term; }
  // Unset while this leader keeps up with its work.
  std::optional<Behind> behind() const { return monitor_.behind(); }
  const jobs::JobScheduler* scheduler() const {
    return scheduler_ ? &*scheduler_ : nullptr;
  }

  // Stops a job whose cancellation is stored, before it is read from the store.
  // Returns whether the job is known.
  bool OnCancelled(const JobId& id);
  // Answers an agent's report once the ends in it are stored.
  void HandleReport(const ArrivedReport& report,
                    const RespondToReport& respond);

 private:
  // A report whose answer waits for the ends in it to be stored.
  struct PendingReport {
    jobs::RunnerIncarnation incarnation;
    uint64_t last_end_number = 0;  // Highest number of an ended run.
    // Set if the report says that the runner has ended. The scheduler's changes
    // have to be stored up to this version before the answer, since the agent
    // may exit after it.
    std::optional<uint64_t> gone_version;
    int64_t sent_at_ms = 0;
    uint64_t call_epoch = 0;  // For the answer.
    Instant received_at;
    Instant processed_at;
    RespondToReport respond;
  };

  void ProcessReport(const WaitingReport& waiting);
  // Processes reports that wait, up to the limit of a round.
  void ProcessWaitingReports();
  // Starts to lead once the term is won and the jobs are read.
  void StartLeadingIfReady();
  void StartLeading();
  void CatchUpOnJobs();
  void FollowJobs();
  // Sends this leader's address to all agents that the last leader knew.
  void NotifyAgents();
  jobs::AgentList KnownAgents() const;
  void ScheduleStep(milliseconds delay);
  // Notes how late a round of decisions begins.
  void BeginRound();
  void Step();
  // Returns how long it takes until an append may begin. Claims made earlier
  // wait for it anyway, so that rounds of decisions before it gain nothing but
  // cost processor time.
  milliseconds TimeToAppend() const;
  void Flush();
  void SendOrders();
  // Takes the agent's answer to a batch; nothing: there is none.
  void OnOrdersAnswered(const jobs::OrderBatch& batch,
                        Instant sent_at,
                        const std::optional<jobs::OrderAnswer>& answer);
  // Deletes jobs that ended long ago. They are deleted from the jobs topic
  // first, so that no later leader takes one for a new job.
  void DeleteExpiredJobs();
  bool IsRecorded(const PendingReport& report) const;
  void Answer(const PendingReport& report);
  void AnswerReports();
  void AppendChanges(const jobs::JobScheduler::Changes& changes,
                     std::vector<keyed_log::Record>& records);
  // Returns the record of the task's progress, without its checkpoint if it is
  // larger than the store takes.
  keyed_log::Record RecordOf(const jobs::TaskKey& task,
                             const jobs::TaskProgress& progress);
  // Acts on what is stored; callers are told of outcomes from then on.
  void OnChangesStored(const jobs::JobScheduler::Changes& changes);
  // Appends the other state that the next leader takes over, if it has changed.
  void AppendHandover(std::vector<keyed_log::Record>& records);
  void RejectPendingReports();
  void NotifySuccessor(const FrontendRecord& successor);
  void OnTermEnded();

  const LeaderSettings settings_;
  const ProcessContext context_;
  jobs::Directory& directory_;
  JobReplica& replica_;
  OnEnd on_end_;
  const std::shared_ptr<LeaderTerm> term_;
  jobs::RouteTable routes_;
  ZonesView zones_;
  bool has_read_jobs_ = false;  // All jobs stored before the candidacy.
  bool is_leading_ = false;
  jobs::AgentList stored_agents_;
  std::optional<jobs::JobScheduler> scheduler_;
  ClusterMetrics& metrics_;
  bool is_deleting_jobs_ = false;
  Instant expiry_checked_at_;
  LeaderMonitor monitor_;
  std::vector<JobId> deleted_jobs_;  // Jobs whose progress is still stored.
  Instant last_append_at_;
  Instant learned_appended_at_;
  const std::unique_ptr<Timer> step_timer_;
  Instant step_due_;
  bool is_step_due_ = false;
  CallEpochs call_epochs_;
  ReportQueue waiting_reports_;
  size_t reports_since_round_ = 0;
  std::vector<PendingReport> pending_reports_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_LEADER_H_
