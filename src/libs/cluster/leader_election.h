#ifndef PAPAYADRIFT_CLUSTER_LEADER_ELECTION_H_
#define PAPAYADRIFT_CLUSTER_LEADER_ELECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cluster/frontend_list.h"
#include "cluster/handover.h"
#include "cluster/job_replica.h"
#include "cluster/leader.h"
#include "cluster/process_context.h"
#include "jobs/leader_record.h"

namespace papayadrift::cluster {

struct LeaderElectionSettings {
  // Period at which a frontend that does not lead checks whether there is a
  // leader.
  milliseconds leader_check_period{300};
  // A leader of which no record or answer has been seen for this long is
  // considered failed. Covers several of its heartbeats.
  milliseconds leader_timeout{1300};
  // This process campaigns this much later than others: the fewer cores its VM
  // has, the longer.
  milliseconds campaign_delay{0};
  // A process that begins to follow the stored progress waits this long for a
  // record of a leader. A slow one may store something every 500 ms only.
  milliseconds startup_leader_timeout{700};
  // After a leader has named its successor, the other frontends wait this long
  // before they campaign.
  milliseconds successor_timeout{400};
  HandoverSettings handover;
  // Timeout of the query whether the leader still leads, sent before a campaign
  // if the store has no recent record of it.
  milliseconds leader_query_timeout{200};
  // The same for a frontend that is not a standby and only asks, and the period
  // at which it does while the leader answers. An answer takes several turns of
  // the leader's event loop, each of which is long on a VM that is short of
  // processor time.
  milliseconds leader_poll_timeout{1000};
  milliseconds leader_poll_period{1000};
  // A frontend that is not a standby replicates and campaigns like one if no
  // leader has answered for this long. With the time that it then waits for
  // records, it is twice the time in which a standby leads, and half of that
  // for which leases last without a leader.
  milliseconds standby_takeover_timeout{2300};

  friend bool operator==(const LeaderElectionSettings&,
                         const LeaderElectionSettings&) = default;
};

// Decides when this process campaigns for leadership and when it hands it over,
// and owns the leader meanwhile. Standbys read the stored progress for signs of
// a leader; other frontends ask the leader, and take over as standbys if it
// doesn't answer.
class LeaderElection {
 public:
  // Returns a leader that hasn't campaigned yet.
  using MakeLeader = std::function<std::shared_ptr<Leader>(Leader::OnEnd)>;
  // Gets the start of a call that the store answered.
  using OnStoreAnswered = std::function<void(Instant started_at)>;

  LeaderElection(const LeaderElectionSettings& settings,
                 const ProcessContext& context,
                 ClusterMetrics& metrics,
                 JobReplica& replica,
                 const FrontendList& frontends,
                 MakeLeader make_leader,
                 OnStoreAnswered on_store_answered);
  LeaderElection(const LeaderElection&) = delete;
  LeaderElection& operator=(const LeaderElection&) = delete;

  // The process begins; a leader counts as seen.
  void Start();
  // Checks for the leader now, and from then on in time.
  void CheckLeader();
  // Resigns from leadership if this process leads, and campaigns no more.
  void Stop();
  // Takes who leads as published in the leader topic.
  void OnLeaderPublished(const jobs::LeaderRecord& record);
  // Answers a leader whether this process could lead at once: how fast it
  // computes, or nothing.
  std::optional<uint64_t> HandleStandbyQuery();
  // Handles the notification that the leader has resigned and named this
  // process its successor. Returns whether it may campaign.
  bool HandleSuccession();

  // Set while this process campaigns, leads or resigns.
  Leader* leader() const { return leader_.get(); }
  // Whether this process leads, and so has the current state of all jobs.
  bool is_leading() const { return leader_ && leader_->is_confirmed(); }
  // Whether this process replicates the stored jobs.
  bool is_following() const;
  // Address of the leader, as far as is known.
  const std::string& leader_address() const;

 private:
  void ScheduleLeaderCheck(milliseconds delay);
  // Checks for the leader without reading jobs, as frontends do that are not
  // standbys.
  void CheckLeaderRemotely();
  // Time at which this process should campaign.
  Instant CampaignTime(Instant now);
  // Campaigns if it is time to, and otherwise schedules the next check.
  void CampaignIfDue();
  // Campaigns unless the leader answers that it still leads.
  void CampaignUnlessLeaderAnswers();
  void QueryLeader(milliseconds timeout,
                   std::function<void(bool is_leader)> done);
  void StartCampaign();
  // Resigns in favour of a frontend that should rather lead, if one could lead
  // at once.
  void ConsiderHandover();

  const LeaderElectionSettings settings_;
  const ProcessContext context_;
  ClusterMetrics& metrics_;
  JobReplica& replica_;
  const FrontendList& frontends_;
  const MakeLeader make_leader_;
  const OnStoreAnswered on_store_answered_;
  // When a record or an answer of a leader was last seen.
  Instant leader_seen_at_;
  // Since when it has been known that there is no leader.
  std::optional<Instant> leaderless_since_;
  // When all that had been stored before was read; unset until then.
  std::optional<Instant> initial_state_read_at_;
  // This process is no standby, but replicates and campaigns like one until it
  // sees a leader.
  bool is_taking_over_ = false;
  bool is_stopping_ = false;
  jobs::LeaderRecord published_leader_;  // As published in the leader topic.
  std::shared_ptr<Leader> leader_;
  Handover handover_;
  const std::unique_ptr<Timer> leader_check_timer_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_LEADER_ELECTION_H_
