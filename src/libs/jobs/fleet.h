#ifndef PAPAYADRIFT_JOBS_FLEET_H_
#define PAPAYADRIFT_JOBS_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/instant.h"
#include "base/resources.h"
#include "jobs/job.h"
#include "jobs/run_table.h"
#include "jobs/runner.h"

namespace papayadrift::jobs {

// A run that the runner lists but that this leader did not claim for it.
struct OrphanRun {
  uint32_t number = 0;
  Resources need;
  Instant send_due;
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
  // Until then its runs may be running even without reports from its agent.
  Instant lease_expires_at;
  RunTable runs;
  std::map<TaskKey, OrphanRun> orphans;
  uint64_t handled_ends = 0;                   // Highest number processed.
  uint64_t recorded_ends = 0;                  // Highest number that is stored.
  std::map<uint64_t, uint64_t> unstored_ends;  // Number to scheduler version.
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
  uint32_t failure_streak = 0;  // Failed runs since the last completed one.
  Instant suspended_until;      // Gets no new runs before this time.
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

// The runner incarnations that may hold runs or accept new ones.
class Fleet {
 public:
  using Runners = std::map<RunnerIncarnation, Runner>;

  Runner* Find(const RunnerIncarnation& incarnation);
  const Runner* Find(const RunnerIncarnation& incarnation) const;
  // Returns the runner, adding it if it is not known.
  Runner& Get(const RunnerIncarnation& incarnation);
  void Remove(const RunnerIncarnation& incarnation);

  // Returns the other incarnations of the same node, which end when this one
  // starts.
  std::vector<RunnerIncarnation> OtherIncarnations(
      const RunnerIncarnation& incarnation) const;
  // Returns whether a later incarnation of the same node is known.
  bool IsSuperseded(const RunnerIncarnation& incarnation) const;

  // Runs looked at so far to compute what runners have left: what placement
  // costs.
  uint64_t ExaminedRuns() const;

  Runners& runners() { return runners_; }
  const Runners& runners() const { return runners_; }

 private:
  Runners runners_;
  uint64_t examined_runs_of_removed_ = 0;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_FLEET_H_
