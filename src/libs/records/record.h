#ifndef PAPAYADRIFT_RECORDS_RECORD_H_
#define PAPAYADRIFT_RECORDS_RECORD_H_

// The typed records that the system keeps in the platform's log. Three kinds
// of streams exist: configuration (one), decisions (one per region) and
// outcomes (one per region). A record states what its author proposes; whether
// it takes effect is decided by replaying the stream.

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/refusal.h"
#include "base/resources.h"
#include "base/separation.h"

namespace papayadrift::records {

// --- Membership of entries ---

// An entry asks to become a member. It has no slot shares until every other
// member has acknowledged the generation that this record starts.
struct EntryJoined {
  EntryId entry;
  Incarnation incarnation;
  ZoneId zone;
  std::string http_address;    // "ip:port" for callers, workers, operators.
  std::string stream_address;  // "ip:port" for peers.

  friend bool operator==(const EntryJoined&, const EntryJoined&) = default;
};

// A member has shrunk its slot shares to those of `generation`.
struct EntryAcknowledged {
  EntryId entry;
  Incarnation incarnation;
  Generation generation;

  friend bool operator==(const EntryAcknowledged&,
                         const EntryAcknowledged&) = default;
};

// A member leaves by itself: all its shares and leases are given up already.
struct EntryLeft {
  EntryId entry;
  Incarnation incarnation;

  friend bool operator==(const EntryLeft&, const EntryLeft&) = default;
};

// A member is suspected dead. It must stop using its shares by its own clock;
// they return only with EntryRetired.
struct EntryLapsed {
  EntryId entry;
  Incarnation incarnation;

  friend bool operator==(const EntryLapsed&, const EntryLapsed&) = default;
};

// The margins after EntryLapsed have passed on the author's clock.
struct EntryRetired {
  EntryId entry;
  Incarnation incarnation;

  friend bool operator==(const EntryRetired&, const EntryRetired&) = default;
};

// --- Workers ---

// A backend server of a service on a worker.
struct Runner {
  ServiceId service;
  std::string address;  // "ip:port" for requests.
  int32_t slots = 0;
  int32_t connections = 0;
  Resources reserved;

  friend bool operator==(const Runner&, const Runner&) = default;
};

// A worker announces itself. A new incarnation replaces the old one at once
// when it vouches that nothing of the old one still runs; otherwise the old
// one keeps its share of the VM until its lapse is complete.
struct WorkerAnnounced {
  WorkerId worker;
  Incarnation incarnation;
  ZoneId zone;
  RackId rack;
  std::string address;  // "ip:port".
  Resources capacity;
  std::vector<Runner> runners;
  bool previous_ended = false;

  friend bool operator==(const WorkerAnnounced&,
                         const WorkerAnnounced&) = default;
};

// A worker takes no new work from now on.
struct WorkerDraining {
  WorkerId worker;
  Incarnation incarnation;

  friend bool operator==(const WorkerDraining&,
                         const WorkerDraining&) = default;
};

// Leases of the worker are not renewed any more. Its tasks may still run.
struct WorkerLapsed {
  WorkerId worker;
  Incarnation incarnation;

  friend bool operator==(const WorkerLapsed&, const WorkerLapsed&) = default;
};

// The margins after WorkerLapsed have passed: nothing of it runs any more.
struct WorkerFreed {
  WorkerId worker;
  Incarnation incarnation;

  friend bool operator==(const WorkerFreed&, const WorkerFreed&) = default;
};

// A worker that fails what others run gets no tasks but probes.
struct WorkerQuarantined {
  WorkerId worker;
  Incarnation incarnation;
  bool is_quarantined = false;

  friend bool operator==(const WorkerQuarantined&,
                         const WorkerQuarantined&) = default;
};

// --- Batch work ---

struct JobSubmitted {
  static constexpr size_t kRequiredFields = 11;  // Before `separation`.

  JobId job;
  CustomerId customer;
  TeamId team;
  KindId kind;
  uint32_t tasks = 0;
  Resources declared;  // For each task.
  int32_t priority = 0;
  bool is_checkpointable = false;
  bool is_urgent = false;
  int64_t declared_run_milliseconds = 0;
  WallInstant deadline;
  Separation separation;

  friend bool operator==(const JobSubmitted&, const JobSubmitted&) = default;
};

struct JobCancelled {
  JobId job;

  friend bool operator==(const JobCancelled&, const JobCancelled&) = default;
};

// The job can't be run; its tasks that have not ended will not.
struct JobRefused {
  JobId job;
  RefusalReason reason = RefusalReason::kJobFitsNowhere;

  friend bool operator==(const JobRefused&, const JobRefused&) = default;
};

// An attempt of a task is to run on a worker. Valid only when the attempt is
// the next one, the task has no live attempt, and the grant fits.
struct TaskClaimed {
  TaskId task;
  Attempt attempt;
  WorkerId worker;
  Incarnation incarnation;
  Resources grant;
  CheckpointId resumes;  // Empty for a start from the beginning.

  friend bool operator==(const TaskClaimed&, const TaskClaimed&) = default;
};

// The enforced grant of a live attempt changes. A lower grant is proposed only
// after the worker has confirmed it.
struct GrantChanged {
  TaskId task;
  Attempt attempt;
  Resources grant;

  friend bool operator==(const GrantChanged&, const GrantChanged&) = default;
};

// The attempt is to checkpoint and stop.
struct EvictionRequested {
  TaskId task;
  Attempt attempt;

  friend bool operator==(const EvictionRequested&,
                         const EvictionRequested&) = default;
};

enum class TaskEnding {
  kFinished,
  kFailed,
  kCheckpointed,  // Stopped with a checkpoint, to be resumed.
  kStopped,       // Stopped without one; nothing of it runs.
};

// An attempt has ended by the word of its worker.
struct TaskEnded {
  TaskId task;
  Attempt attempt;
  TaskEnding ending = TaskEnding::kFinished;
  CheckpointId checkpoint;  // Set for kCheckpointed only.

  friend bool operator==(const TaskEnded&, const TaskEnded&) = default;
};

// --- Non-idempotent requests ---

// A caller's key is taken by an entry, before anything is sent.
struct KeyClaimed {
  CustomerId customer;
  ServiceId service;
  IdempotencyKey key;
  EntryId entry;
  Incarnation incarnation;
  uint64_t body_digest = 0;
  WallInstant window_ends_at;

  friend bool operator==(const KeyClaimed&, const KeyClaimed&) = default;
};

// How the request with the key ended.
struct KeyResolved {
  CustomerId customer;
  ServiceId service;
  IdempotencyKey key;
  Ran ran = Ran::kUnknown;
  int32_t status = 0;  // HTTP status of the answer; 0 when there is none.
  std::string answer;  // Empty when too large to keep.

  friend bool operator==(const KeyResolved&, const KeyResolved&) = default;
};

// --- Streams themselves ---

// Takes an offset, so that proposals can expire on an idle stream.
struct NoOperation {
  friend bool operator==(const NoOperation&, const NoOperation&) = default;
};

// One part of a snapshot of the state just before `state_offset`.
struct SnapshotChunk {
  uint64_t snapshot = 0;  // Identity, unique per author and time.
  Offset state_offset;
  uint32_t index = 0;
  uint32_t count = 0;
  uint64_t checksum = 0;  // Of the whole snapshot.
  std::string bytes;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
};

// --- Configuration stream ---

// A whole file is proposed in place of version `expected`; if accepted it is
// version `expected` + 1.
struct ConfigurationProposed {
  static constexpr size_t kRequiredFields = 3;

  ConfigurationVersion expected;
  std::string author;
  std::string text;
  // Fixed by the first file that states them; empty in records that older
  // processes wrote.
  std::vector<RegionId> home_regions;
  // Of everything in the file that the regions' parts of quotas depend on.
  uint64_t division_digest = 0;

  friend bool operator==(const ConfigurationProposed&,
                         const ConfigurationProposed&) = default;
};

// Repeats the version in force just before `as_of`, so that it outlives the
// log's retention. `author` is that of the version.
struct ConfigurationReasserted {
  static constexpr size_t kRequiredFields = 4;

  ConfigurationVersion version;
  std::string author;
  std::string text;
  Offset as_of;
  std::vector<RegionId> home_regions;  // As above.
  uint64_t division_digest = 0;
  // The version since which the regions' parts of quotas are the same.
  ConfigurationVersion division;

  friend bool operator==(const ConfigurationReasserted&,
                         const ConfigurationReasserted&) = default;
};

// --- Quotas, in the decision stream ---

// The most that the live attempts of a team may be granted, borrowed shares
// included.
struct TeamQuota {
  TeamId team;
  Resources limit;

  friend bool operator==(const TeamQuota&, const TeamQuota&) = default;
};

// Brings the quotas of a configuration version into the decision stream, so
// that claims are checked against the same table by every reader. A team that
// is not listed has no limit. Written after the jobs of the version were
// submitted: a job listed here is never submitted again by a later version.
struct QuotasSet {
  static constexpr size_t kRequiredFields = 3;

  ConfigurationVersion version;
  std::vector<TeamQuota> quotas;
  std::vector<JobId> jobs;  // Sections of the file.
  // The region's parts of the quotas, and the version since which all regions'
  // parts are the same. At once the region holds no more than these.
  ConfigurationVersion division;
  std::vector<TeamQuota> shares;

  friend bool operator==(const QuotasSet&, const QuotasSet&) = default;
};

// Every region has brought in the division, so that none holds more of a quota
// than it is to: this one may hold its whole part from now on.
struct QuotaSharesRaised {
  ConfigurationVersion division;

  friend bool operator==(const QuotaSharesRaised&,
                         const QuotaSharesRaised&) = default;
};

// This region has given away, in the division, that much of its part of a quota
// in all to another one. Valid only for what is free at its offset.
struct QuotaGiven {
  ConfigurationVersion division;
  RegionId to;
  TeamId team;
  Resources total;

  friend bool operator==(const QuotaGiven&, const QuotaGiven&) = default;
};

// This region has taken up, in the division, that much in all of what another
// one has given it.
struct QuotaTaken {
  ConfigurationVersion division;
  RegionId from;
  TeamId team;
  Resources total;

  friend bool operator==(const QuotaTaken&, const QuotaTaken&) = default;
};

// In the configuration stream: what `from` has given to `to` in all. Totals
// only grow within a division, so a repetition or a late one changes nothing.
struct QuotasOffered {
  RegionId from;
  RegionId to;
  ConfigurationVersion division;
  std::vector<TeamQuota> totals;

  friend bool operator==(const QuotasOffered&, const QuotasOffered&) = default;
};

// In the configuration stream: what the teams of a region lack, in place of
// what it said before.
struct QuotasWanted {
  RegionId region;
  std::vector<TeamQuota> wants;

  friend bool operator==(const QuotasWanted&, const QuotasWanted&) = default;
};

// In the configuration stream: the decision stream of the region holds no more
// than the region's parts of quotas in that division.
struct DivisionReached {
  RegionId region;
  ConfigurationVersion division;

  friend bool operator==(const DivisionReached&,
                         const DivisionReached&) = default;
};

// --- What entries have learned, in the decision stream ---

// What reports have shown of one quantity of a kind.
struct LearnedQuantity {
  uint32_t reports = 0;  // That it stands for.
  int64_t mean = 0;
  int64_t deviation = 0;
  int64_t highest = 0;

  friend bool operator==(const LearnedQuantity&,
                         const LearnedQuantity&) = default;
};

// What tasks of a kind use.
struct KindKnowledge {
  KindId kind;
  LearnedQuantity millicores;
  LearnedQuantity memory_mebibytes;
  // Thousandths of the logarithm of run time over declared run time.
  LearnedQuantity run_ratio;
  int32_t saturated_permille = 0;  // Part of the reports at the grant.
  int64_t least_memory_mebibytes = 0;

  friend bool operator==(const KindKnowledge&, const KindKnowledge&) = default;
};

// One coefficient of a service's pressure, in ten-thousandths.
struct CoefficientKnowledge {
  // 0 for the service itself, or the place in `neighbours`, counted from 1.
  uint32_t neighbour = 0;
  uint32_t power = 0;  // 0 counts at any load, the others grow with it.
  int32_t mean = 0;
  int32_t deviation = 0;

  friend bool operator==(const CoefficientKnowledge&,
                         const CoefficientKnowledge&) = default;
};

// How a service suffers from its load and from the kinds beside it.
struct ServiceKnowledge {
  ServiceId service;
  std::vector<CoefficientKnowledge> coefficients;

  friend bool operator==(const ServiceKnowledge&,
                         const ServiceKnowledge&) = default;
};

// What an entry has learned, for those that come after it. Shifts estimates,
// and decides nothing.
struct KnowledgeNoted {
  std::vector<KindKnowledge> kinds;
  std::vector<KindId> neighbours;
  std::vector<ServiceKnowledge> services;

  friend bool operator==(const KnowledgeNoted&,
                         const KnowledgeNoted&) = default;
};

// --- Outcomes stream ---

// How many requests or attempts ended in one way.
struct OutcomeCount {
  CustomerId customer;
  ServiceId service;
  std::string outcome;  // "answered", or the text of a RefusalReason.
  Ran ran = Ran::kNo;
  uint64_t count = 0;

  friend bool operator==(const OutcomeCount&, const OutcomeCount&) = default;
};

// All outcomes of one entry in one interval. Sequences of one incarnation
// count from 1 without gaps, so a missing one shows that a report was lost.
// Sequence 0 is written by another entry, once this one is surely gone.
struct OutcomesReported {
  EntryId entry;
  Incarnation incarnation;
  uint64_t sequence = 0;
  WallInstant from;
  WallInstant until;
  std::vector<OutcomeCount> counts;
  bool is_final = false;  // Nothing follows: the entry ended as planned.

  friend bool operator==(const OutcomesReported&,
                         const OutcomesReported&) = default;
};

// A stated promise was not kept for an interval.
struct PromiseMissed {
  std::string promise;
  WallInstant from;
  WallInstant until;

  friend bool operator==(const PromiseMissed&, const PromiseMissed&) = default;
};

// The position of an alternative is its number in the log: add only at the
// end, never remove or reorder.
using Record = std::variant<NoOperation,
                            EntryJoined,
                            EntryAcknowledged,
                            EntryLeft,
                            EntryLapsed,
                            EntryRetired,
                            WorkerAnnounced,
                            WorkerDraining,
                            WorkerLapsed,
                            WorkerFreed,
                            WorkerQuarantined,
                            JobSubmitted,
                            JobCancelled,
                            JobRefused,
                            TaskClaimed,
                            GrantChanged,
                            EvictionRequested,
                            TaskEnded,
                            KeyClaimed,
                            KeyResolved,
                            SnapshotChunk,
                            ConfigurationProposed,
                            ConfigurationReasserted,
                            OutcomesReported,
                            PromiseMissed,
                            QuotasSet,
                            QuotaSharesRaised,
                            DivisionReached,
                            QuotaGiven,
                            QuotaTaken,
                            QuotasOffered,
                            QuotasWanted,
                            KnowledgeNoted>;

// Identity of a proposal: unique for ever.
struct ProposalId {
  EntryId author;
  Incarnation incarnation;
  uint64_t sequence = 0;

  friend auto operator<=>(const ProposalId&, const ProposalId&) = default;
};

// A record on its way to the log. It has no effect at an offset above
// `last_offset`.
struct Proposal {
  ProposalId id;
  Offset last_offset;
  Record record;

  friend bool operator==(const Proposal&, const Proposal&) = default;
};

// What one append carries.
using Batch = std::vector<Proposal>;

// Returns the name of the alternative held, such as "task_claimed".
std::string_view NameOf(const Record& record);

}  // namespace papayadrift::records

#endif  // PAPAYADRIFT_RECORDS_RECORD_H_
