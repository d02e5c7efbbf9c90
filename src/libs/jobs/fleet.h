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

// A run that was claimed for a runner and may be there.
struct Run {
  uint32_t number = 0;
  // Orders of this run that may have left; of a run that an earlier leader
  // claimed it is not known, and taken as several.
  uint32_t sends = 0;
  Resources need;
  // The change of the board that has to be stored before the start goes out.
  uint64_t claim_version = 0;
  Instant send_due;                 // Of the next order for it.
  int64_t accepted_at_ms = 0;       // On the agent's clock.
  int64_t stop_accepted_at_ms = 0;  // On the agent's clock.
  Instant progressed_at;            // When `percent` was last seen to change.
  int64_t gauge = 0;                // As in `ActiveRun`.
  std::string checkpoint;
  std::string image;
  int64_t tail_target_ms = 0;
  uint32_t percent = 0;
  uint32_t pace_percent = 100;  // As last ordered.
  Instant paced_at;
  // A pace that was not answered may take effect late and over later ones; it
  // is given again until then.
  Instant pace_uncertain_until;
  double smoothed_gauge = 0;  // Of a serving task; single figures are rough.
  // Since the smoothed tail of a serving task is at its target or over it.
  std::optional<Instant> over_target_since;
  Instant slow_since;        // Since it may not work at full pace.
  Instant started_at;        // When its start was accepted.
  int64_t remaining_ms = 0;  // Expected of its chain when it was claimed.
  int64_t target_ms = 0;     // Unix time at which its job should be done.
  int64_t cutoff_ms = 0;     // And from which that is worth nothing.
  bool is_filler = false;
  bool is_serving = false;  // Has a tail target.
  bool is_long_running = false;
  bool is_accepted = false;
  bool is_withdrawn = false;  // To be stopped, or prevented from starting.
  bool is_stop_accepted = false;
};

// A run that the runner lists and that this leader did not claim for it.
struct OrphanRun {
  uint32_t number = 0;
  Resources need;
  Instant send_due;
};

// The slack that a serving task has left for more fillers.
struct ServingHeadroom {
  std::string image;  // Of the serving task.
  double slack = 0;

  friend bool operator==(const ServingHeadroom&,
                         const ServingHeadroom&) = default;
};

// What a leader knows of one life of a runner.
struct Runner {
  RunnerReport report;  // The last; its lists are not kept.
  Instant reported_at;  // Of the last report; unset before the first.
  bool has_report = false;
  // Until then its runs may be at work though nothing is heard of it.
  Instant lease_expires_at;
  std::map<TaskKey, Run> runs;
  std::map<TaskKey, OrphanRun> orphans;
  uint64_t handled_ends = 0;                   // Highest number taken in.
  uint64_t recorded_ends = 0;                  // Highest number that is stored.
  std::map<uint64_t, uint64_t> unstored_ends;  // Number to board version.
  // Worked out when it is asked for; dropped with each change of what runs
  // here. A weight that was learned since then shows with the next report.
  mutable std::optional<std::vector<ServingHeadroom>> headrooms;
  // Use by fillers, by image, as it shows in tails: in shares of the runner.
  std::map<std::string, double> filler_uses;
  Instant filler_uses_at;
  uint32_t failure_streak = 0;  // Failed runs since the last that was done.
  Instant suspended_until;      // Gets no new runs before.
  // How many times as long as expected its work takes, smoothed.
  double slowness = 1.0;

  Resources Used() const;
  // Millicores of fillers, which do not count as used.
  int64_t FillerMillicores() const;
  bool HasLabel(const std::string& label) const;
};

// The lives of runners that may hold runs or take new ones.
class Fleet {
 public:
  using Runners = std::map<RunnerIncarnation, Runner>;

  Runner* Find(const RunnerIncarnation& incarnation);
  const Runner* Find(const RunnerIncarnation& incarnation) const;
  // Returns the runner, adding it if need be.
  Runner& Get(const RunnerIncarnation& incarnation);
  void Remove(const RunnerIncarnation& incarnation) {
    runners_.erase(incarnation);
  }

  // Returns the other lives of the same node, which end when this one begins.
  std::vector<RunnerIncarnation> OtherIncarnations(
      const RunnerIncarnation& incarnation) const;
  // Returns whether a later life of the same node is known.
  bool IsSuperseded(const RunnerIncarnation& incarnation) const;

  Runners& runners() { return runners_; }
  const Runners& runners() const { return runners_; }

 private:
  Runners runners_;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_FLEET_H_
