#ifndef PAPAYADRIFT_JOBS_FLEET_H_
#define PAPAYADRIFT_JOBS_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/instant.h"
#include "base/resources.h"
#include "jobs/backfill.h"
#include "jobs/end_settlement.h"
#include "jobs/job.h"
#include "jobs/lease_refusal.h"
#include "jobs/run_table.h"
#include "jobs/runner.h"

namespace papayadrift::jobs {

// A run that the runner lists but that this leader did not claim for it.
struct OrphanRun {
  uint32_t number = 0;
  Resources need;
  Instant send_due;
  Instant listed_since;
  int64_t void_at_ms = 0;  // Of a run that was given up: see Run.
};

// The slack of a serving task that is left for more fillers.
struct ServingHeadroom {
  std::string image;  // Of the serving task.
  double slack = 0;

  friend bool operator==(const ServingHeadroom&,
                         const ServingHeadroom&) = default;
};

// What a leader knows about one incarnation of a runner.
struct Runner {
  RunnerReport report;  // The last one, without its lists.
  Instant reported_at;  // Of the last report; unset before the first.
  bool has_report = false;
  // Operators have evacuated its availability zone; it gets no new runs.
  bool is_evacuated = false;
  Instant joined_at;  // Of the first report.
  // How far the agent's clock is ahead of this process's: at least, as reports
  // take time. The greatest lead of the reports in this window of time and in
  // the one before: clocks drift apart.
  milliseconds agent_clock_lead{0};
  milliseconds lead_in_window{0};
  milliseconds lead_before_window{0};
  Instant lead_window_end;
  // Starts of the agents that reported before the present one.
  std::set<int64_t> former_agents;
  // When its last lists were asked for, at the latest; unset: there are none.
  std::optional<Instant> listed_at;
  std::optional<LeaseRefusal> lease_refusal;  // As of the last report.
  // Until then its runs may be running even without reports from its agent.
  Instant lease_expires_at;
  RunTable runs;
  std::vector<Order> pace_orders;  // Not sent yet.
  std::map<TaskKey, OrphanRun> orphans;
  // Runs that were given up while their starts could still arrive. The runner
  // gets neither a lease nor new runs before it has accepted their stops, or
  // the starts are void.
  std::map<TaskKey, OrphanRun> released;
  uint64_t handled_ends = 0;   // Highest number processed.
  uint64_t recorded_ends = 0;  // Highest number that is stored.
  std::map<uint64_t, UnstoredEnd> unstored_ends;  // By number.
  // The number of the last change after which more work may fit here; see
  // Fleet::MarkChanged().
  uint64_t changed_at = 0;
  // Times that the runner was considered for a task.
  mutable uint64_t considerations = 0;
  // Computed on demand and reset whenever the set of runs changes. Weights
  // learned since then are included after the next report.
  mutable std::optional<std::vector<ServingHeadroom>> headrooms;
  // Processor use by fillers, by image, as it affects tail latencies by now: in
  // shares of the runner.
  std::map<std::string, double> filler_uses;
  Instant filler_uses_at;
  // Gets no other starts until then, so that an isolated one can begin.
  std::optional<TaskKey> reserved_for;  // As by CrashRecordOf().
  Instant reserved_until;
  // For a large task that will fit here; independent of the above.
  std::optional<CapacityReservation> capacity_reservation;
  // The step whose reservation was given up here last, and until when the
  // runner isn't reserved for it again.
  std::optional<TaskKey> unreserved_step;
  Instant unreserved_until;
  uint32_t failure_streak = 0;  // Failed runs since the last completed one.
  // The last task that stalled here and had not stalled before, and when.
  std::optional<TaskKey> stalled_task;
  Instant stalled_at;
  Instant suspended_until;  // Gets no new runs before this time.
  // Nor before this one, unless a run has been completed on it meanwhile.
  Instant failing_until;
  // Smoothed ratio of actual to expected task durations.
  double slowness = 1.0;

  Resources Used() const;
  // Millicores of fillers, which do not count as used.
  int64_t FillerMillicores() const { return runs.totals().filler_millicores; }
  bool HasLabel(const std::string& label) const;
  bool IsReservedForOther(const TaskKey& crash_record, Instant now) const {
    return now < reserved_until && reserved_for != crash_record;
  }
  // Returns whether starts of other tasks wait for an isolated one.
  bool IsIsolating(Instant now) const;
};

struct PlacementWork {
  uint64_t runners = 0;
  uint64_t runs = 0;

  friend bool operator==(const PlacementWork&, const PlacementWork&) = default;
};

// The runner incarnations that may hold runs or accept new ones.
class Fleet {
 public:
  using Runners = std::map<RunnerIncarnation, Runner>;

  Runner* Find(const RunnerIncarnation& incarnation);
  const Runner* Find(const RunnerIncarnation& incarnation) const;
  // Returns the runner, adding it if it is not known.
  Runner& Get(const RunnerIncarnation& incarnation);
  void Remove(const RunnerIncarnation& incarnation);

  // Notes that more work may fit on the runner than before.
  void MarkChanged(Runner& runner);
  // The number of the last of these changes.
  uint64_t changes() const { return changes_; }

  // Returns the other incarnations of the same node, which end when this one
  // starts.
  std::vector<RunnerIncarnation> OtherIncarnations(
      const RunnerIncarnation& incarnation) const;
  // Returns whether a later incarnation of the same node is known.
  bool IsSuperseded(const RunnerReport& report) const;

  // Runners considered so far for tasks, and runs looked at to compute what
  // they have left: what placement costs.
  PlacementWork work() const;

  Runners& runners() { return runners_; }
  const Runners& runners() const { return runners_; }

 private:
  std::vector<RunnerIncarnation> IncarnationsOf(const std::string& node) const;

  Runners runners_;
  uint64_t changes_ = 0;
  PlacementWork work_of_removed_;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_FLEET_H_
