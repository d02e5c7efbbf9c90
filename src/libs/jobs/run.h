#ifndef PAPAYADRIFT_JOBS_RUN_H_
#define PAPAYADRIFT_JOBS_RUN_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/instant.h"
#include "base/resources.h"
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
  Instant claimed_at;          // By this leader or, at the latest, the last.
  Instant send_due;            // Of the next order for it.
  Instant first_sent_at;       // When its start was sent first.
  int64_t accepted_at_ms = 0;  // On the agent's clock.
  // Time on the agent's clock by which the run had started; 0: unknown.
  int64_t started_by_ms = 0;
  int64_t stop_accepted_at_ms = 0;  // The first, on the agent's clock.
  // From then on, on the agent's clock, no start that was sent can take effect
  // any more; 0: none has been sent.
  int64_t void_at_ms = 0;
  Instant progressed_at;  // When `percent` was last seen to change.
  int64_t gauge = 0;      // See ActiveRun.
  std::string checkpoint;
  std::string image;
  int64_t tail_target_ms = 0;
  uint32_t percent = 0;
  // When the run was first listed, and its progress then: a resumed run starts
  // with that of its checkpoint.
  Instant listed_since;
  uint32_t first_percent = 0;
  uint32_t pace_percent = 100;  // As last sent in an order.
  // The last leader may have slowed it, and no order on its pace has been
  // executed since.
  bool is_pace_unknown = false;
  Instant paced_at;
  // An unanswered pace order may take effect late and override later ones; the
  // pace is resent until then.
  Instant pace_uncertain_until;
  // The pace of the last order that was not executed, if none has been since,
  // and until when an earlier one may slow the run instead.
  std::optional<uint32_t> unconfirmed_pace;
  Instant pace_may_change_until;
  double smoothed_gauge = 0;  // Of a serving task; single gauges are noisy.
  // Since when the smoothed tail latency of a serving task has been at or above
  // its target.
  std::optional<Instant> over_target_since;
  Instant slow_since;  // Since when the pace has been below `slow_percent`.
  Instant started_at;  // When its start was accepted.
  // Expected duration of the whole task, when it was claimed; 0: not known.
  int64_t expected_ms = 0;
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
  // Stops that the runner has executed; the first suffices.
  uint32_t accepted_stops = 0;
  std::optional<OrderVerdict> last_verdict;  // On the last order for it.
  bool is_stop_overdue = false;
  // The runner has listed it after its start could have crashed the runner.
  bool has_survived_start = false;

  bool IsSettled(Instant now) const { return settles_at && now >= *settles_at; }
  // Whether a start that was sent may be executed only after the runner has
  // ended the run, or by a process that the runner starts under the same name.
  bool MayStartLate() const {
    return sends > 1 || (sends == 1 && listed_since == Instant());
  }
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_RUN_H_
