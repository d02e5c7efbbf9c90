#ifndef PAPAYADRIFT_CLUSTER_LEADER_LOAD_H_
#define PAPAYADRIFT_CLUSTER_LEADER_LOAD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/instant.h"

namespace papayadrift::cluster {

// Kinds of work in the event loop of a leader.
enum class WorkKind {
  kReports,    // Reports of agents.
  kPlacement,  // Rounds of placement and of checks for expired leases.
  kAppends,    // Encoding what is to be stored.
  kOrders,     // Batches of orders.
  kResults,    // Answers to these.
};
inline constexpr size_t kWorkKinds = 5;

// Returns for example "reports", for metrics.
const char* ToText(WorkKind kind);

struct WorkSum {
  uint64_t count = 0;
  microseconds time{0};

  friend bool operator==(const WorkSum&, const WorkSum&) = default;
};

// Reads of the stored jobs.
struct ReadSums {
  uint64_t count = 0;
  uint64_t failed = 0;
  microseconds longest{0};

  friend bool operator==(const ReadSums&, const ReadSums&) = default;
};

using WorkSums = std::array<WorkSum, kWorkKinds>;

struct LeaderLoadSettings {
  // A leader whose knowledge of the stored jobs is older than this, or that
  // begins its rounds this much later than due, is behind. A sound one reads
  // the jobs at least each second and begins within some milliseconds.
  milliseconds max_view_age{2000};
  milliseconds max_lag{200};
  // It has caught up once both have been clearly below that for this long.
  milliseconds catch_up_time{1000};

  friend bool operator==(const LeaderLoadSettings&,
                         const LeaderLoadSettings&) = default;
};

// A leader that can't keep up.
struct Behind {
  Instant since;
  // It doesn't know the present jobs, so it starts nothing or soon won't.
  bool has_old_view = false;

  friend bool operator==(const Behind&, const Behind&) = default;
};

// Whether a leader keeps up with its work, and what it spends its time on.
// Decides nothing and does no I/O.
class LeaderLoad {
 public:
  enum class Change { kNone, kFellBehind, kCaughtUp };

  explicit LeaderLoad(const LeaderLoadSettings& settings)
      : settings_(settings) {}

  void OnWork(WorkKind kind, uint64_t count, microseconds time);
  // A read of the stored jobs has ended.
  void OnJobsRead(bool is_read, microseconds time);
  // A round of decisions begins `lag` later than it was due, with all jobs that
  // were stored by `viewed_at`.
  Change OnRound(Instant now, microseconds lag, Instant viewed_at);

  bool is_behind() const { return behind_since_.has_value(); }
  // Unset while the leader keeps up.
  std::optional<Behind> behind() const;
  microseconds smoothed_lag() const { return smoothed_lag_; }
  microseconds view_age() const { return view_age_; }
  // Since the last call.
  WorkSums TakeWork();
  ReadSums TakeReads();

 private:
  const LeaderLoadSettings settings_;
  WorkSums work_{};
  ReadSums reads_;
  microseconds smoothed_lag_{0};
  microseconds view_age_{0};
  std::optional<Instant> behind_since_;
  std::optional<Instant> keeping_up_since_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_LEADER_LOAD_H_
