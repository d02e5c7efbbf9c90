#ifndef PAPAYADRIFT_PLACEMENT_TEAM_SHARES_P_H_
#define PAPAYADRIFT_PLACEMENT_TEAM_SHARES_P_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/resources.h"
#include "placement/policy.h"
#include "placement/task_state_p.h"
#include "placement/views.h"

namespace papayadrift::placement {

// Order in which the jobs of a team are tried.
struct JobOrder {
  bool operator()(const JobState* left, const JobState* right) const;
};

// Orders teams by weighted dominant resource fairness: teams within their quota
// before those that borrow, then by the smallest dominant share divided by the
// weight.
class TeamShares {
 public:
  using JobQueue = std::set<JobState*, JobOrder>;
  // Position in the order of teams.
  using Rank = std::pair<double, uint32_t>;

  void SetPolicy(const std::vector<TeamPolicy>& teams);
  // Sets the total capacity for dominant shares.
  void SetTotal(const Resources& total);
  // Returns the number of the team, adding it without a quota if unknown.
  uint32_t NumberOf(const TeamId& team);

  void Enqueue(JobState& job);
  void Dequeue(JobState& job);
  void AddUse(uint32_t team, const Resources& amount);
  void SubtractUse(uint32_t team, const Resources& amount);

  // Returns the first team with queued jobs at or after `from`.
  std::optional<Rank> NextFrom(const Rank& from) const;
  const JobQueue& queue(uint32_t team) const { return teams_[team].queue; }
  const JobQueue& urgent() const { return urgent_; }
  const Resources& used(uint32_t team) const { return teams_[team].used; }
  const Resources& quota(uint32_t team) const { return teams_[team].quota; }
  bool IsWithinQuota(uint32_t team, const Resources& more) const;
  bool IsBorrowing(uint32_t team) const;
  std::vector<TeamView> Views() const;
  double DominantShare(uint32_t team) const;

 private:
  struct Team {
    TeamId id;
    Resources quota;
    double weight = 1.0;
    Resources used;
    JobQueue queue;
    std::optional<Rank> rank;  // While it has queued jobs.
  };

  void Rerank(uint32_t team);

  std::vector<Team> teams_;
  std::unordered_map<TeamId, uint32_t> numbers_;
  std::set<Rank> order_;
  JobQueue urgent_;
  Resources total_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_TEAM_SHARES_P_H_
