#ifndef PAPAYADRIFT_CLUSTER_RUNNER_SESSION_H_
#define PAPAYADRIFT_CLUSTER_RUNNER_SESSION_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/instant.h"
#include "cluster/fencing_token.h"
#include "cluster/runner_agent_settings.h"
#include "cluster/runner_api.h"
#include "jobs/leader_record.h"
#include "jobs/runner.h"

namespace papayadrift::cluster {

enum class AnnouncementVerdict {
  kNotNewer,  // Or of another service.
  // Can't be a true one. It is not used: all true ones would look older.
  kImplausible,
  kStarted,    // Another process of the runner, or one again that had ended.
  kChanged,    // The known process has another state or capacity.
  kUnchanged,  // The known process is as it was.
};

// A lease renewal on its way to the runner.
struct RenewalCall {
  LeaseRenewalRequest request;
  uint64_t generation = 0;
  Instant sent_at;

  friend bool operator==(const RenewalCall&, const RenewalCall&) = default;
};

// What follows from the answer to a lease renewal.
struct RenewalOutcome {
  bool has_runner_ended = false;
  // Whether the runner can be reached, if that has changed.
  std::optional<bool> is_reachable;
  bool is_superseded = false;  // There is a leader of a later term.
  bool is_report_due = false;
  // Delay before the next renewal; unset if there is none, or if the answer is
  // one to a call to an earlier process.
  std::optional<milliseconds> next_renewal;

  friend bool operator==(const RenewalOutcome&,
                         const RenewalOutcome&) = default;
};

// Identifies a report on its way to the leader.
struct ReportTicket {
  uint64_t number = 0;
  uint64_t generation = 0;
  uint64_t last_end = 0;  // The highest number of an end in it.

  friend bool operator==(const ReportTicket&, const ReportTicket&) = default;
};

struct ReportCall {
  ReportTicket ticket;
  jobs::RunnerReport report;

  friend bool operator==(const ReportCall&, const ReportCall&) = default;
};

// What follows from the answer to a report.
struct ReportOutcome {
  // Whether it was an answer, and not one of a former leader.
  bool is_accepted = false;
  bool is_end_recorded = false;  // The leader knows that the runner has ended.
  // The runner may be called from now on, or may drop more ends.
  bool is_renewal_due = false;
  // A count of recorded ends that is not used, since the leader was not told of
  // that many; set once for each such count.
  std::optional<uint64_t> ignored_ends;

  friend bool operator==(const ReportOutcome&, const ReportOutcome&) = default;
};

// What an agent knows of its runner and of the leader, and all decisions that
// rest on it. Does no I/O and reads no clock; times are the agent's.
//
// The leader starts the runs of an ended process elsewhere, so that only these
// count as evidence that a process has ended:
// - the announcement of a later process of the runner;
// - its own announcement that it is leaving, after it has announced that it
//   drains or while its address refuses connections. A departure tells the name
//   of the runner only: right after a process has announced itself, that of an
//   earlier one of its name may arrive late, and ends nothing;
// - the end of its lease, which the leader keeps.
// A refused connection shows only that nobody listens at the address at that
// moment. The process may be alive behind a cut path, and so may its runs. It
// is reported as unreachable then: it gets no starts and its lease isn't
// extended.
class RunnerSession {
 public:
  // Delay before a lease renewal that failed or was not possible is repeated.
  static constexpr milliseconds kRetryDelay{150};

  // `agent_start_unix_ms` is the agent's start by its VM's time of day.
  RunnerSession(const RunnerAgentSettings& settings,
                int64_t agent_start_unix_ms);

  // `wall_now` is the VM's time of day.
  AnnouncementVerdict OnAnnouncement(const Announcement& announcement,
                                     Instant now,
                                     WallInstant wall_now);
  // Returns whether the announced process has ended: a planned end comes after
  // it has announced that it drains. Otherwise, and where it may be an earlier
  // one of the same name that left, calls will show.
  bool OnRunnerLeaving(const std::string& instance, Instant now);
  // Takes over `leader` and returns true if its term is later than that of the
  // known one, whose answer is then no longer waited for.
  bool OnLeader(const jobs::LeaderRecord& leader);
  // To be called with the term of each batch of orders.
  void OnTerm(uint64_t term);

  // Whether the runner may be called: a leader has answered a report and has
  // said from which call epoch on.
  bool CanCallRunner() const { return fencing_token_.term > 0; }
  // Returns the fencing token of a call that is sent now.
  FencingToken NextFencingToken(Instant now);
  // That of the last call, or a lower bound for the first one.
  const FencingToken& fencing_token() const { return fencing_token_; }

  // Whether a lease renewal may be sent once the runner may be called.
  bool CanRenewLease() const;
  // Requires CanRenewLease() and CanCallRunner().
  RenewalCall StartRenewal(Instant now);
  RenewalOutcome OnLeaseRenewed(const RenewalCall& call,
                                LeaseRenewalResult result,
                                Instant now);

  // Whether a report may be sent: one at a time, to a known leader.
  bool CanReport() const;
  // Requires CanReport().
  ReportCall StartReport(Instant now);
  // Whether the answer to the report is still waited for.
  bool IsAwaited(const ReportTicket& ticket) const;
  // `answer` is unset if there was none. Requires IsAwaited().
  ReportOutcome OnReported(const ReportTicket& ticket,
                           const std::optional<jobs::ReportAnswer>& answer);

  // Verdict on an order as far as it is known without asking the runner;
  // nothing if the runner is to be asked. Nothing is sent after `deadline`.
  std::optional<jobs::OrderVerdict> VerdictOn(const jobs::OrderBatch& batch,
                                              const jobs::Order& order,
                                              Instant deadline,
                                              Instant now) const;
  // `generation` is that at which the order was sent to the runner.
  void OnOrderAnswered(uint64_t generation,
                       jobs::OrderVerdict verdict,
                       Instant now);

  bool HasLease(Instant now) const;
  // End of the lease on the runner's clock; 0 while that is not known.
  int64_t LeaseEndOnRunnerClock() const;
  // Whether the announced process is not known to have ended.
  bool IsRunnerUp() const { return announced_ && !has_ended_; }
  // Whether the leader has to be told yet that the runner has ended.
  bool IsEndUnrecorded() const { return has_ended_ && !is_end_recorded_; }
  // Requires an announcement, as does incarnation().
  const Announcement& announced() const { return *announced_; }
  jobs::RunnerIncarnation incarnation() const;
  const jobs::LeaderRecord& leader() const { return leader_; }
  // Incremented when a process of the runner starts or ends, to recognize
  // answers to calls made before.
  uint64_t generation() const { return generation_; }
  uint64_t term() const { return term_; }  // The highest seen; 0: none.
  bool is_reporting() const { return is_reporting_; }
  int64_t agent_start_unix_ms() const { return agent_start_unix_ms_; }

 private:
  bool IsPlausible(const Announcement& announcement,
                   WallInstant wall_now) const;
  // Whether this is a late announcement of a process before the announced one.
  bool IsFormer(const Announcement& announcement) const;
  // Whether the announced process is gone and this may be the one after it,
  // although it has not started later by the VM's time of day, which may have
  // been set back.
  bool HasReplacedAnnounced(const Announcement& announcement) const;
  void OnRunnerStarted(const Announcement& announcement, Instant now);
  void OnRunnerEnded();
  // Whether a departure under the name of the announced process that arrives
  // `at` that time can't be one of an earlier process.
  bool IsOwnDeparture(Instant at) const;
  // When the announced process may have crashed; nothing if it announced that
  // it drains or leaves.
  std::optional<jobs::CrashTime> SuspectedCrash() const;
  RenewalOutcome OnRenewalFailed(RunnerFailure failure,
                                 Instant sent_at,
                                 Instant now);
  void UpdateFencingToken(const jobs::ReportAnswer& answer);
  // Takes over what the leader of the latest term says of recorded ends.
  // Returns the count if it is to be ignored and was not so before.
  std::optional<uint64_t> OnEndsRecorded(const jobs::ReportAnswer& answer,
                                         uint64_t last_reported_end);
  // The number up to which the runner may drop its ends.
  uint64_t RecordedEnds() const;
  // Whether a call now reaches the announced process, if any, and not a later
  // one of the same name.
  bool IsProcessConfirmed(Instant now) const;
  // Returns when the runner crashed if a call to it that was sent at `sent_at`
  // failed as the first one.
  jobs::CrashTime CrashTimeFor(RunnerFailure failure,
                               Instant sent_at,
                               Instant now) const;
  // Verdict on starts whose leader knew the jobs as of `viewed_at_ms`; nothing
  // if they may be carried out.
  std::optional<jobs::OrderVerdict> ViewVerdict(int64_t viewed_at_ms,
                                                Instant now) const;

  // What the leader of a term has said of the ends of the announced process.
  struct TermEnds {
    uint64_t term = 0;
    uint64_t reported = 0;  // The leader was told of ends up to this number.
    uint64_t recorded = 0;

    friend bool operator==(const TermEnds&, const TermEnds&) = default;
  };

  RunnerAgentSettings settings_;
  int64_t agent_start_unix_ms_;
  std::optional<Announcement> announced_;
  Instant announced_at_;  // When this agent heard of that process first.
  // Processes before it, the last ones.
  std::deque<jobs::RunnerIncarnation> former_processes_;
  bool has_ended_ = false;  // Whether the announced process has ended.
  bool is_end_recorded_ = false;
  uint64_t generation_ = 0;
  uint32_t refused_calls_ = 0;
  bool is_unreachable_ = false;  // See jobs::RunnerReport.
  int64_t answered_at_ms_ = 0;   // When the runner answered last.
  // When the runner crashed, if calls to it fail.
  std::optional<jobs::CrashTime> suspected_crash_;
  std::optional<jobs::CrashTime> earlier_crash_;  // See jobs::RunnerReport.
  // When a process of this name left, if none has answered a later call.
  std::optional<Instant> left_at_;
  // When the last call that the announced process has answered was sent, if
  // none has failed since.
  std::optional<Instant> confirmed_at_;
  // Start of the process that has answered a call in place of the announced
  // one, by its VM's time of day; 0: not reported.
  std::optional<int64_t> replaced_by_start_ms_;
  // Time on the runner's clock, and on the agent's clock when it was read.
  std::optional<int64_t> runner_clock_ms_;
  int64_t runner_clock_read_ms_ = 0;
  int64_t listed_at_ms_ = 0;
  std::vector<jobs::ActiveRun> active_;
  std::vector<jobs::EndedRun> ended_;
  bool has_all_ends_ = true;
  TermEnds ends_;
  uint64_t dropped_ends_ = 0;  // The runner was told, and has answered.
  uint64_t ignored_ends_ = 0;
  uint64_t term_ = 0;
  FencingToken fencing_token_;
  // Whether a call of this epoch may have reached the announced process.
  bool is_epoch_used_ = false;
  bool is_fenced_ = false;      // The runner has got a higher token.
  int64_t lease_until_ms_ = 0;  // On the agent's clock.
  jobs::LeaderRecord leader_;
  bool is_renewing_ = false;
  bool is_reporting_ = false;
  uint64_t reports_ = 0;  // To recognize answers to reports given up.
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_RUNNER_SESSION_H_
