#include "cluster/leader_election.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "cluster/cluster_metrics.h"

namespace papayadrift::cluster {
namespace {

// Candidates campaign at different times, so that the first round elects one.
constexpr uint64_t kCandidacySpreadMs = 60;

}  // namespace

LeaderElection::LeaderElection(const LeaderElectionSettings& settings,
                               const ProcessContext& context,
                               ClusterMetrics& metrics,
                               JobReplica& replica,
                               const FrontendList& frontends,
                               MakeLeader make_leader,
                               OnStoreAnswered on_store_answered)
    : settings_(settings),
      context_(context),
      metrics_(metrics),
      replica_(replica),
      frontends_(frontends),
      make_leader_(std::move(make_leader)),
      on_store_answered_(std::move(on_store_answered)),
      handover_(settings.handover, context, frontends),
      leader_check_timer_(context.loop.MakeTimer()) {}

void LeaderElection::Start() {
  leader_seen_at_ = context_.clock.Now();
}

void LeaderElection::Stop() {
  is_stopping_ = true;
  if (leader_) {
    leader_->Stop(frontends_.ChooseSuccessor());
  }
}

void LeaderElection::OnLeaderPublished(const jobs::LeaderRecord& record) {
  if (record.term >= published_leader_.term) {
    published_leader_ = record;
  }
}

void LeaderElection::ScheduleLeaderCheck(milliseconds delay) {
  leader_check_timer_->Start(delay, [this] { CheckLeader(); });
}

void LeaderElection::CheckLeader() {
  if (is_stopping_) {
    return;
  }
  metrics_.UpdateLeaderless(is_leading()
                                ? milliseconds(0)
                                : std::chrono::floor<milliseconds>(
                                      context_.clock.Now() - leader_seen_at_));
  if (leader_) {
    if (is_leading()) {
      on_store_answered_(context_.clock.Now());
      ConsiderHandover();
    }
    ScheduleLeaderCheck(settings_.leader_check_period);
    return;
  }
  if (!is_following()) {
    if (context_.clock.Now() - leader_seen_at_ <
        settings_.standby_takeover_timeout) {
      CheckLeaderRemotely();
      return;
    }
    is_taking_over_ = true;
    initial_state_read_at_.reset();
  }
  const Instant started_at = context_.clock.Now();
  // Reads the jobs that were accepted in the meantime, in parallel.
  replica_.CatchUpOnJobs([](bool) {});
  replica_.CatchUpOnProgress([this, started_at](bool is_caught_up) {
    if (!is_caught_up) {
      ScheduleLeaderCheck(settings_.leader_check_period);
      return;
    }
    on_store_answered_(started_at);
    // Records from before do not prove that the leader is still running.
    if (!initial_state_read_at_) {
      initial_state_read_at_ = context_.clock.Now();
      leader_seen_at_ = *initial_state_read_at_ - settings_.leader_timeout +
                        settings_.startup_leader_timeout;
    } else if (replica_.leader_seen_at() > *initial_state_read_at_) {
      leader_seen_at_ = std::max(leader_seen_at_, replica_.leader_seen_at());
      is_taking_over_ = false;
    }
    CampaignIfDue();
  });
}

bool LeaderElection::is_following() const {
  return frontends_.IsOwnStandby() || is_taking_over_;
}

const std::string& LeaderElection::leader_address() const {
  return replica_.leader().term >= published_leader_.term
             ? replica_.leader().address
             : published_leader_.address;
}

void LeaderElection::CheckLeaderRemotely() {
  QueryLeader(settings_.leader_poll_timeout, [this](bool is_leader) {
    if (is_leader) {
      leader_seen_at_ = context_.clock.Now();
    }
    ScheduleLeaderCheck(is_leader ? settings_.leader_poll_period
                                  : settings_.leader_check_period);
  });
}

Instant LeaderElection::CampaignTime(Instant now) {
  const jobs::LeaderRecord& last = replica_.leader();
  // There is no leader to wait for if the last one resigned, or was this
  // process before its restart.
  const bool is_leaderless =
      last.term == 0 || last.has_resigned || last.node == frontends_.own().node;
  if (!is_leaderless) {
    leaderless_since_.reset();
    const milliseconds spread(StableHash(frontends_.own().node, last.term) %
                              kCandidacySpreadMs);
    return leader_seen_at_ + settings_.leader_timeout + spread +
           settings_.campaign_delay;
  }
  if (!leaderless_since_) {
    leaderless_since_ = now;
  }
  if (last.successor.empty()) {
    return *leaderless_since_ + settings_.campaign_delay;
  }
  return last.successor == frontends_.own().node
             ? *leaderless_since_
             : *leaderless_since_ + settings_.successor_timeout +
                   settings_.campaign_delay;
}

void LeaderElection::CampaignIfDue() {
  if (leader_ || is_stopping_) {
    ScheduleLeaderCheck(settings_.leader_check_period);
    return;
  }
  const Instant now = context_.clock.Now();
  const Instant campaign_at = CampaignTime(now);
  if (now < campaign_at) {
    ScheduleLeaderCheck(
        std::min(settings_.leader_check_period,
                 std::chrono::ceil<milliseconds>(campaign_at - now)));
  } else if (leaderless_since_) {
    StartCampaign();
  } else {
    CampaignUnlessLeaderAnswers();
  }
}

void LeaderElection::QueryLeader(milliseconds timeout,
                                 std::function<void(bool is_leader)> done) {
  context_.peers.QueryLeader(leader_address(), context_.clock.Now() + timeout,
                             std::move(done));
}

void LeaderElection::CampaignUnlessLeaderAnswers() {
  QueryLeader(settings_.leader_query_timeout,
              [this, term = replica_.leader().term](bool is_leader) {
                if (is_leader) {
                  leader_seen_at_ = context_.clock.Now() -
                                    settings_.leader_timeout +
                                    settings_.leader_check_period;
                  is_taking_over_ = false;
                } else if (term == replica_.leader().term && !leader_ &&
                           !is_stopping_) {
                  StartCampaign();
                  return;
                }
                ScheduleLeaderCheck(settings_.leader_check_period);
              });
}

void LeaderElection::ConsiderHandover() {
  handover_.Consider(leader_->behind(),
                     [this, term = leader_->term()](
                         const std::optional<FrontendRecord>& candidate) {
                       if (candidate && is_leading() &&
                           leader_->term() == term && !is_stopping_) {
                         is_taking_over_ = false;
                         leader_->Stop(candidate);
                       }
                     });
}

void LeaderElection::StartCampaign() {
  handover_.OnTermBegun();
  leader_ = make_leader_([this] {
    leader_seen_at_ = context_.clock.Now();
    context_.loop.RunAfter(microseconds(0), [this] { leader_.reset(); });
  });
  leader_->Campaign();
  ScheduleLeaderCheck(settings_.leader_check_period);
}

std::optional<uint64_t> LeaderElection::HandleStandbyQuery() {
  const bool is_up_to_date =
      replica_.caught_up_at() + settings_.leader_timeout >=
      context_.clock.Now();
  const bool may_lead =
      !is_stopping_ && !leader_ && initial_state_read_at_ && is_up_to_date;
  return may_lead ? std::optional(handover_.MeasureSpeed()) : std::nullopt;
}

bool LeaderElection::HandleSuccession() {
  CheckLeader();
  return !is_stopping_;
}

}  // namespace papayadrift::cluster
