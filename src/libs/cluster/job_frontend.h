#ifndef PAPAYADRIFT_CLUSTER_JOB_FRONTEND_H_
#define PAPAYADRIFT_CLUSTER_JOB_FRONTEND_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "cluster/arrived_report.h"
#include "cluster/frontend_list.h"
#include "cluster/job_replica.h"
#include "cluster/leader.h"
#include "cluster/leader_election.h"
#include "cluster/process_context.h"
#include "cluster/relay.h"
#include "cluster/zones_view.h"
#include "jobs/directory.h"
#include "jobs/job.h"
#include "jobs/route_table.h"
#include "keyed_log/group_writer.h"
#include "keyed_log/topic_follower.h"

namespace papayadrift::cluster {

struct JobFrontendSettings {
  LeaderSettings leader;
  int64_t started_ms = 0;      // Unix time at which the process started.
  uint32_t millicores = 1000;  // Of its VM.
  LeaderElectionSettings election;
  // Data that was read at most this long ago may answer a caller without
  // another read, unless the answer is that there is no such job.
  milliseconds state_freshness{100};
  milliseconds count_freshness{700};
  // Number of frontends that replicate the stored jobs, including the leader.
  size_t standbys = 5;
  // Period at which a frontend reads who the leader and the other frontends
  // are, period at which it announces itself, and time without an announcement
  // after which others remove it from their lists.
  milliseconds frontend_poll_period{1000};
  milliseconds announcement_period{10000};
  milliseconds frontend_timeout{35000};

  friend bool operator==(const JobFrontendSettings&,
                         const JobFrontendSettings&) = default;
};

enum class SubmitResult {
  kAccepted,   // Stored.
  kNotStored,  // The job never runs.
  kUnknown,    // The job may be stored.
  kTooLarge,   // The job never runs: the store takes no such record.
};

// No such job was accepted.
struct JobUnknown {
  friend bool operator==(const JobUnknown&, const JobUnknown&) = default;
};
// std::monostate: neither the store nor another frontend answered.
using StateResult = std::variant<jobs::JobState, JobUnknown, std::monostate>;
enum class CancelResult { kCancelled, kNoSuchJob, kFailed };

// Accepts jobs, answers queries about them, and takes part in the election of
// the leader. Each process that serves callers has one.
class JobFrontend {
 public:
  JobFrontend(const JobFrontendSettings& settings,
              const ProcessContext& context);
  ~JobFrontend();
  JobFrontend(const JobFrontend&) = delete;
  JobFrontend& operator=(const JobFrontend&) = delete;

  void Start();
  // Takes a version of the configuration; versions that are not newer are
  // ignored.
  void SetRoutes(const jobs::RouteTable& routes);
  const jobs::RouteTable& routes() const { return routes_; }
  // Takes the evacuated zones with each read of the operators' records.
  void SetZones(const ZonesView& zones);
  // Set while this process campaigns, leads or resigns.
  const Leader* leader() const { return election_.leader(); }
  // Whether callers should be sent to this process.
  bool is_ready() const;
  // Time since the start of the last call that the store answered.
  milliseconds store_age() const;
  // Resigns from leadership if this process leads.
  void Stop();

  void Submit(const JobId& id,
              const jobs::Job& job,
              Instant deadline,
              std::function<void(SubmitResult)> done);
  void State(const std::string& queue,
             const JobId& id,
             std::function<void(StateResult)> done);
  void Cancel(const std::string& queue,
              const JobId& id,
              Instant deadline,
              std::function<void(CancelResult)> done);
  // Passes nothing to `done` if the store could not be read.
  void CountQueued(const std::string& queue,
                   std::function<void(std::optional<size_t>)> done);
  void HandleReport(const ArrivedReport& report,
                    const RespondToReport& respond);
  // Handles the notification that a cancellation was stored, of which the
  // leader need not read to stop the job. Returns whether this process leads
  // and knows the job.
  bool HandleCancellation(const JobId& id);
  // Answers another frontend that is about to campaign whether this process
  // leads.
  bool HandleLeaderQuery() const { return election_.is_leading(); }
  // Answers a leader whether this process could lead at once: how fast it
  // computes, or nothing.
  std::optional<uint64_t> HandleStandbyQuery();
  // Handles the notification that the leader has resigned and named this
  // process its successor. Returns whether it may campaign.
  bool HandleSuccession();
  // Handles a call from a frontend that can't reach the store. Passes nothing
  // to `respond` if the job in it can't be decoded.
  using RespondToRelay = std::function<void(const std::optional<RelayAnswer>&)>;
  void HandleRelay(const RelayCall& call, const RespondToRelay& respond);

 private:
  struct PendingWrite;

  // The store has answered a call that began at `started_at`.
  void OnStoreAnswered(Instant started_at);
  void Write(const std::shared_ptr<PendingWrite>& write);
  // Determines the result of a submission. If an earlier attempt may have
  // stored the job, a later refusal does not mean that it is not stored.
  SubmitResult ResolveOutcome(const JobId& id, SubmitResult result);
  void RelayWrite(const std::shared_ptr<PendingWrite>& write);
  // Finds out the state of a job as State() does; only if `may_relay`, another
  // frontend is asked when this process can't read the present state.
  void FindState(const std::string& queue,
                 const JobId& id,
                 bool may_relay,
                 std::function<void(StateResult)> done);
  // Stores the cancellation of a job that exists.
  void WriteCancellation(const std::string& queue,
                         const JobId& id,
                         Instant deadline,
                         std::function<void(CancelResult)> done);
  // Sends a query that this process can't answer to another frontend.
  void RelayQuery(RelayKind kind,
                  const std::string& queue,
                  const JobId& id,
                  std::function<void(const RelayAnswer*)> done);
  // Tells the leader, this process or another one, that the job's cancellation
  // is stored.
  void NotifyOfCancellation(const JobId& id);
  void Announce();
  // Removes this process from the list of frontends in the store.
  void AnnounceDeparture();
  void OnFrontendRecord(const keyed_log::Record& record);
  void FollowFrontends();
  // Reads the stored jobs and progress up to now, if the replica is older than
  // `freshness` or does not know the job. A leader, which follows the jobs
  // anyway, reads only these, and only if they are older than
  // `count_freshness`.
  void Refresh(milliseconds freshness,
               bool is_job_known,
               std::function<void(bool)> done);

  const JobFrontendSettings settings_;
  const ProcessContext context_;
  const std::unique_ptr<ClusterMetrics> metrics_;
  keyed_log::GroupWriter job_writer_;
  jobs::RouteTable routes_;
  ZonesView zones_;
  jobs::Directory directory_;
  JobReplica replica_;
  // The list of other frontends has been read.
  bool has_read_frontends_ = false;
  FrontendList frontends_;
  keyed_log::TopicFollower frontend_records_;
  // Jobs that an attempt of this process may have stored, the oldest first.
  std::deque<JobId> unresolved_jobs_;
  Relay relay_;
  LeaderElection election_;
  bool is_stopping_ = false;
  // Start of the last call that the store answered.
  Instant store_answered_at_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_JOB_FRONTEND_H_
