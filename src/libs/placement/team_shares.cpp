#include <algorithm>
#include <tuple>

#include "placement/team_shares_p.h"

namespace papayadrift::placement {

namespace {

// Ranks every borrowing team after every team within its quota.
constexpr double kBorrowerRank = 1e6;
constexpr double kLeastWeight = 1e-3;

double Part(int64_t amount, int64_t whole) {
  return whole <= 0 ? 0.0
                    : static_cast<double>(amount) / static_cast<double>(whole);
}

}  // namespace

bool JobOrder::operator()(const JobState* left, const JobState* right) const {
  return std::tuple(!left->is_urgent, -left->priority, left->deadline,
                    left->sequence) <
         std::tuple(!right->is_urgent, -right->priority, right->deadline,
                    right->sequence);
}

void TeamShares::SetPolicy(const std::vector<TeamPolicy>& teams) {
  for (Team& team : teams_) {
    team.quota = {};
    team.weight = 1.0;
  }
  for (const TeamPolicy& policy : teams) {
    Team& team = teams_[NumberOf(policy.team)];
    team.quota = policy.quota;
    team.weight = std::max(policy.weight, kLeastWeight);
  }
  for (uint32_t i = 0; i < teams_.size(); ++i) {
    Rerank(i);
  }
}

void TeamShares::SetTotal(const Resources& total) {
  total_ = total;
}

uint32_t TeamShares::NumberOf(const TeamId& team) {
  const auto [it, is_new] =
      numbers_.try_emplace(team, static_cast<uint32_t>(teams_.size()));
  if (is_new) {
    teams_.emplace_back().id = team;
  }
  return it->second;
}

void TeamShares::Enqueue(JobState& job) {
  teams_[job.team].queue.insert(&job);
  if (job.is_urgent) {
    urgent_.insert(&job);
  }
  Rerank(job.team);
}

void TeamShares::Dequeue(JobState& job) {
  teams_[job.team].queue.erase(&job);
  urgent_.erase(&job);
  Rerank(job.team);
}

void TeamShares::AddUse(uint32_t team, const Resources& amount) {
  teams_[team].used = teams_[team].used + amount;
  Rerank(team);
}

void TeamShares::SubtractUse(uint32_t team, const Resources& amount) {
  teams_[team].used = teams_[team].used - amount;
  Rerank(team);
}

std::optional<TeamShares::Rank> TeamShares::NextFrom(const Rank& from) const {
  const auto it = order_.lower_bound(from);
  return it == order_.end() ? std::nullopt : std::optional(*it);
}

bool TeamShares::IsWithinQuota(uint32_t team, const Resources& more) const {
  return FitsIn(teams_[team].used + more, teams_[team].quota);
}

bool TeamShares::IsBorrowing(uint32_t team) const {
  return !IsWithinQuota(team, {});
}

std::vector<TeamView> TeamShares::Views() const {
  std::vector<TeamView> views;
  for (uint32_t i = 0; i < teams_.size(); ++i) {
    const Team& team = teams_[i];
    views.push_back(
        {team.id, team.quota, team.used, DominantShare(i), team.queue.size()});
  }
  return views;
}

double TeamShares::DominantShare(uint32_t team) const {
  const Resources& used = teams_[team].used;
  return std::max({Part(used.millicores, total_.millicores),
                   Part(used.memory_mebibytes, total_.memory_mebibytes),
                   Part(used.accelerators, total_.accelerators)});
}

void TeamShares::Rerank(uint32_t number) {
  Team& team = teams_[number];
  if (team.rank) {
    order_.erase(*team.rank);
    team.rank.reset();
  }
  if (team.queue.empty()) {
    return;
  }
  const double base = IsBorrowing(number) ? kBorrowerRank : 0.0;
  team.rank = Rank(base + DominantShare(number) / team.weight, number);
  order_.insert(*team.rank);
}

}  // namespace papayadrift::placement
