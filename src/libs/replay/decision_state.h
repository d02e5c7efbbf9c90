#ifndef PAPAYADRIFT_REPLAY_DECISION_STATE_H_
#define PAPAYADRIFT_REPLAY_DECISION_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/identifiers.h"
#include "records/record.h"
#include "replay/entry_table.h"
#include "replay/job_table.h"
#include "replay/key_table.h"
#include "replay/knowledge_table.h"
#include "replay/proposal_memory.h"
#include "replay/quota_table.h"
#include "replay/verdict.h"
#include "replay/worker_table.h"

namespace papayadrift::replay {

// The digest of everything decided before `next_offset`.
struct DigestPoint {
  Offset next_offset;
  uint64_t digest = 0;

  friend bool operator==(const DigestPoint&, const DigestPoint&) = default;
};

// The state of one region that follows from its decision stream. Every process
// that applies the same records reaches the same state: there is no clock, no
// random number, and no I/O. Not safe to share between threads.
class DecisionState {
 public:
  static constexpr uint32_t kMaximumBatch = 65'536;
  // Of Fields(): snapshots from before knowledge was kept have no more.
  static constexpr size_t kRequiredFields = 9;

  // Returns the state that `bytes` hold, or nothing when they are not one.
  static std::optional<DecisionState> Restore(std::string_view bytes);

  // The offset of the record to apply next.
  Offset next_offset() const { return next_offset_; }
  const EntryTable& entries() const { return entries_; }
  const WorkerTable& workers() const { return workers_; }
  const JobTable& jobs() const { return jobs_; }
  const KeyTable& keys() const { return keys_; }
  const QuotaTable& quotas() const { return quotas_; }
  const ProposalMemory& proposals() const { return proposals_; }
  const KnowledgeTable& knowledge() const { return knowledge_; }

  // The running digest of all verdicts so far. Cheap.
  DigestPoint digest() const;
  // The latest digests at offsets that are multiples of the stride, for
  // comparison with a process that has read more or less. Oldest first.
  const std::vector<DigestPoint>& digest_points() const {
    return digest_points_;
  }
  // A digest of the whole state. Costs as much as a snapshot.
  uint64_t StateDigest() const;
  // The whole state as bytes, the same for equal states.
  std::string Snapshot() const;

  // Answers what Apply() would, without any effect. Of use to a proposer that
  // wants to drop what has no chance.
  Verdict Check(Offset offset,
                uint32_t index_in_batch,
                const records::Proposal& proposal) const;

  // Applies one proposal of the record at `offset`, which must not be below
  // next_offset(), and returns what became of it.
  Verdict Apply(Offset offset,
                uint32_t index_in_batch,
                const records::Proposal& proposal);

  // Ends the record at `offset`: the next one to apply follows it.
  void Complete(Offset offset);

  friend bool operator==(const DecisionState&, const DecisionState&) = default;

 private:
  friend auto Fields(DecisionState& state) {
    return std::tie(state.next_offset_, state.digest_, state.digest_points_,
                    state.entries_, state.workers_, state.jobs_, state.keys_,
                    state.quotas_, state.proposals_, state.knowledge_);
  }

  std::optional<Rejection> CheckRecord(const records::Proposal& proposal) const;
  // One for each kind of record that a table alone cannot judge.
  std::optional<Rejection> CheckBy(const EntryKey& author,
                                   const records::EntryLapsed& record) const;
  std::optional<Rejection> CheckBy(const EntryKey& author,
                                   const records::WorkerLapsed& record) const;
  std::optional<Rejection> CheckBy(const EntryKey& author,
                                   const records::TaskClaimed& record) const;
  std::optional<Rejection> CheckBy(const EntryKey& author,
                                   const records::GrantChanged& record) const;
  std::optional<Rejection> CheckBy(const EntryKey& author,
                                   const records::KeyClaimed& record) const;
  std::optional<Rejection> CheckBy(const EntryKey& author,
                                   const records::KeyResolved& record) const;
  std::optional<Rejection> CheckBy(const EntryKey& author,
                                   const records::KnowledgeNoted& record) const;

  void ApplyRecord(Offset offset,
                   uint32_t index_in_batch,
                   const records::Record& record);
  void ApplyJoint(Offset offset, const records::EntryLeft& record);
  void ApplyJoint(Offset offset, const records::EntryRetired& record);
  void ApplyJoint(Offset offset, const records::WorkerAnnounced& record);
  void ApplyJoint(Offset offset, const records::WorkerFreed& record);
  void ApplyJoint(Offset offset, const records::TaskEnded& record);
  void ApplyJoint(const records::GrantChanged& record);
  void ApplyClaim(FencingToken token, const records::TaskClaimed& record);
  // Answers whether the separations of all jobs let the claim take effect on
  // its worker, which must exist.
  std::optional<Rejection> CheckSeparation(
      const records::TaskClaimed& record) const;
  void FreeWorker(Offset offset, const WorkerKey& key);
  void ReleaseGrant(const TaskId& task);
  const TeamId& TeamOf(const TaskId& task) const;
  // Takes the workers of live tasks, as numbers in the worker table, after the
  // rest was unpacked. Returns whether they fit.
  bool SetWorkers(const std::vector<uint32_t>& numbers);
  bool Reindex();

  Offset next_offset_{1};
  uint64_t digest_ = 0;
  std::vector<DigestPoint> digest_points_;
  EntryTable entries_;
  WorkerTable workers_;
  JobTable jobs_;
  KeyTable keys_;
  QuotaTable quotas_;
  ProposalMemory proposals_;
  KnowledgeTable knowledge_;
};

// A proposal that was read, and what became of it.
struct AppliedProposal {
  records::Proposal proposal;
  Verdict verdict;

  friend bool operator==(const AppliedProposal&,
                         const AppliedProposal&) = default;
};

// Applies the bytes of the record at `offset` as a whole. Bytes that don't
// decode are a record without proposals.
std::vector<AppliedProposal> ApplyBytes(DecisionState& state,
                                        Offset offset,
                                        std::string_view bytes);

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_DECISION_STATE_H_
