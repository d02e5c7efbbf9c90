#ifndef PAPAYADRIFT_CLUSTER_JOB_FRONTEND_H_
#define PAPAYADRIFT_CLUSTER_JOB_FRONTEND_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "cluster/frontend_list.h"
#include "cluster/job_replica.h"
#include "cluster/leader.h"
#include "cluster/process_context.h"
#include "cluster/relay.h"
#include "jobs/directory.h"
#include "jobs/job.h"
#include "jobs/leader_record.h"
#include "jobs/route_table.h"
#include "keyed_log/group_writer.h"
#include "keyed_log/topic_follower.h"

namespace papayadrift::cluster {

struct JobFrontendSettings {
  LeaderSettings leader;
  int64_t started_ms = 0;      // Unix time at which the process began.
  uint32_t millicores = 1000;  // Of its VM.
  // Period at which a front that does not lead looks at the leader's signs.
  milliseconds leader_check_period{300};
  // A leader that showed nothing for this long is taken for lost: several of
  // its beats.
  milliseconds leader_timeout{1300};
  // This process waits so much longer than others before it stands for leader:
  // the fewer processors its VM has, the longer.
  milliseconds campaign_delay{0};
  // What a process that has just started needs to see a sign of a leader.
  milliseconds startup_leader_timeout{700};
  // After a leader has named its successor, the others wait this long for it.
  milliseconds successor_timeout{400};
  // A leader that shows nothing in the store has this long to say that it leads
  // before another process stands.
  milliseconds leader_query_timeout{200};
  // What was read this recently may answer a caller without another read.
  milliseconds state_freshness{100};
  milliseconds count_freshness{700};
  // Fronts that keep up with what is stored: the leader among them.
  size_t standbys = 5;
  // Period at which a front looks up the leader and the other fronts, and at
  // which it announces itself; silence after which it counts as gone.
  milliseconds frontend_poll_period{1000};
  milliseconds announcement_period{10000};
  milliseconds frontend_timeout{35000};
  // A front that is no standby takes their place if nobody leads for so long.
  milliseconds standby_takeover_timeout{4000};

  friend bool operator==(const JobFrontendSettings&,
                         const JobFrontendSettings&) = default;
};

enum class SubmitResult {
  kAccepted,   // Stored.
  kNotStored,  // It never runs.
  kUnknown,    // It may be stored.
};

// No such job was accepted.
struct JobUnknown {
  friend bool operator==(const JobUnknown&, const JobUnknown&) = default;
};
// std::monostate: neither the store nor another front could be asked.
using StateResult = std::variant<jobs::JobState, JobUnknown, std::monostate>;
enum class CancelResult { kCancelled, kNoSuchJob, kFailed };

// Takes jobs and questions about them, and stands for leader when there is
// none. One for each process that serves callers.
class JobFrontend {
 public:
  JobFrontend(const JobFrontendSettings& settings,
              const ProcessContext& context);
  ~JobFrontend();
  JobFrontend(const JobFrontend&) = delete;
  JobFrontend& operator=(const JobFrontend&) = delete;

  void Start();
  // Takes versions of the configuration; an older one than is known is ignored.
  void SetRoutes(const jobs::RouteTable& routes);
  const jobs::RouteTable& routes() const { return routes_; }
  // Whether it makes sense to send callers here.
  bool is_ready() const;
  // Time since the last call began that the store answered.
  milliseconds store_age() const;
  // Gives leadership up, if it has it.
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
  // Nothing if the store could not be read.
  void CountQueued(const std::string& queue,
                   std::function<void(std::optional<size_t>)> done);
  void HandleReport(const http::Request& request,
                    const async_http::Respond& respond);
  // Whether this process leads, for another that is about to stand.
  void HandleLeaderQuery(const async_http::Respond& respond) const;
  // The leader has left, and this process should lead.
  void HandleSuccession(const async_http::Respond& respond);
  // Answers another front that the store turns away.
  void HandleRelay(const http::Request& request,
                   const async_http::Respond& respond);

 private:
  struct PendingWrite;

  // Whether this process leads, and so knows all there is to know.
  bool is_leading() const { return leader_ && leader_->is_confirmed(); }
  // Whether this process keeps up with what is stored of jobs.
  bool is_following() const;
  // Where the leader is, as far as is known.
  const std::string& leader_address() const;
  void CheckLeader();
  void ScheduleLeaderCheck(milliseconds delay);
  // Watches the leader as one that is no standby does.
  void CheckLeaderRemotely();
  // Time at which this process should stand for leader.
  Instant CampaignTime(Instant now);
  // Stands for leader if it is time to, and looks again later if not.
  void CampaignIfDue();
  // Asks the leader whether it is there, and stands if not.
  void CampaignUnlessLeaderAnswers();
  void QueryLeader(std::function<void(bool is_leader)> done);
  void StartCampaign();
  void Write(const std::shared_ptr<PendingWrite>& write);
  // Ends a submission: one that may have been stored by an earlier attempt is
  // not known to be lost because a later one was refused.
  SubmitResult ResolveOutcome(const JobId& id, SubmitResult result);
  void RelayWrite(const std::shared_ptr<PendingWrite>& write);
  // Asks another front for what this one can't read.
  void RelayQuery(RelayKind kind,
                  const std::string& queue,
                  const JobId& id,
                  std::function<void(const RelayAnswer*)> done);
  void Announce();
  // Tells the others that this process leaves.
  void AnnounceDeparture();
  void OnFrontendRecord(const keyed_log::Record& record);
  void FollowFrontends();
  // Reads what was stored of jobs and progress up to now, if what is known is
  // older than `freshness`. A leader reads only when a job is not known to it.
  void Refresh(milliseconds freshness,
               bool is_job_known,
               std::function<void(bool)> done);

  const JobFrontendSettings settings_;
  const ProcessContext context_;
  const std::unique_ptr<ClusterMetrics> metrics_;
  keyed_log::GroupWriter job_writer_;
  jobs::RouteTable routes_;
  jobs::Directory directory_;
  JobReplica replica_;
  Instant leader_seen_at_;  // When a sign of a leader was seen last.
  std::optional<Instant> vacant_since_;  // Since no leader is to be waited for.
  bool has_read_frontends_ = false;  // The other fronts have been looked up.
  bool has_read_initial_state_ =
      false;  // All that was stored at the start is read.
  FrontendList frontends_;
  keyed_log::TopicFollower frontend_records_;
  jobs::LeaderRecord published_leader_;  // As the leader's topic shows it.
  // Jobs of which an attempt here may have been stored, the oldest first.
  std::deque<JobId> unresolved_jobs_;
  Relay relay_;
  std::shared_ptr<Leader> leader_;
  boost::asio::steady_timer leader_check_timer_;
  bool is_stopping_ = false;
  Instant
      store_answered_at_;  // When the last call that the store answered began.
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_JOB_FRONTEND_H_
