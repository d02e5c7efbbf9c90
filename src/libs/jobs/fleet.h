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
#include "jobs/runner.h"

namespace papayadrift::jobs {

// A run that was claimed for a runner and may be running there.
struct Run {
  uint32_t number = 0;
  // Start orders of this run that may have been sent. Unknown for a run that an
  // earlier leader claimed; assumed to be more than one.
  uint32_t sends = 0;
  Resources need;
  // The scheduler version that has to be stored before the start is sent.
  uint64_t claim_version = 0;
  Instant send_due;            // Of the next order for it.
  Instant first_sent_at;       // When its start was sent first.
  int64_t accepted_at_ms = 0;  // On the agent's clock.
  // Time on the agent's clock by which the run had started; 0: unknown.
  int64_t started_by_ms = 0;
  int64_t stop_accepted_at_ms = 0;  // On the agent's clock.
  Instant progressed_at;            // When `percent` was last seen to change.
  int64_t gauge = 0;                // See ActiveRun.
  std::string checkpoint;
  std::string image;
  int64_t tail_target_ms = 0;
  uint32_t percent = 0;
  // When the run was first listed, and its progress then: a resumed run starts
  // with that of its checkpoint.
  Instant listed_since;
  uint32_t first_percent = 0;
  uint32_t pace_percent = 100;  // As last sent in an order.
  Instant paced_at;
  // An unanswered pace order may take effect late and override later ones; the
  // pace is resent until then.
  Instant pace_uncertain_until;
  double smoothed_gauge = 0;  // Of a serving task; single gauges are noisy.
  // Since when the smoothed tail latency of a serving task has been at or above
  // its target.
  std::optional<Instant> over_target_since;
  Instant slow_since;  // Since when the pace has been below `slow_percent`.
  Instant started_at;  // When its start was accepted.
  // Expected duration of the rest of the critical path, when it was claimed.
  int64_t remaining_ms = 0;
  int64_t target_ms = 0;  // Unix time at which its job should be done.
  int64_t cutoff_ms = 0;  // Unix time from which a result has no value.
  // Until then its start may still crash the runner; unset while the start is
  // not confirmed.
  std::optional<Instant> settles_at;
  bool is_filler = false;
  bool is_gang = false;
  // Started alone, since runners have crashed under the task.
  bool is_isolated = false;
  bool is_serving = false;  // Has a tail target.
  bool is_long_running = false;
  bool is_accepted = false;
  bool is_withdrawn = false;  // Has to be stopped, or kept from starting.
  Instant withdrawn_at;
  bool is_stop_accepted = false;
  // The runner has listed it after its start could have crashed the runner.
  bool has_survived_start = false;

  bool IsSettled(Instant now) const { return settles_at && now >= *settles_at; }
};

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
  std::map<TaskKey, Run> runs;
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

  // Runs looked at so far to compute what the runner has left.
  mutable uint64_t examined_runs = 0;

  Resources Used() const;
  // Millicores of fillers, which do not count as used.
  int64_t FillerMillicores() const;
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
