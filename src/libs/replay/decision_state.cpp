#include "replay/decision_state.h"

#include <array>
#include <cassert>
#include <span>
#include <type_traits>
#include <utility>
#include <variant>

#include "base/hash.h"
#include "records/codec.h"

namespace papayadrift::replay {

namespace {

constexpr uint64_t kDigestStride = 64;
constexpr size_t kKeptDigestPoints = 64;

EntryKey AuthorOf(const records::Proposal& proposal) {
  return {.entry = proposal.id.author, .incarnation = proposal.id.incarnation};
}

WorkerKey WorkerOf(const records::TaskClaimed& record) {
  return {.worker = record.worker, .incarnation = record.incarnation};
}

template <typename Record>
constexpr bool kIsOfOtherStream =
    std::is_same_v<Record, records::ConfigurationProposed> ||
    std::is_same_v<Record, records::ConfigurationReasserted> ||
    std::is_same_v<Record, records::DivisionReached> ||
    std::is_same_v<Record, records::QuotasOffered> ||
    std::is_same_v<Record, records::QuotasWanted> ||
    std::is_same_v<Record, records::OutcomesReported> ||
    std::is_same_v<Record, records::PromiseMissed>;

template <typename Record>
constexpr bool kIsNeutral = std::is_same_v<Record, records::NoOperation> ||
                            std::is_same_v<Record, records::SnapshotChunk>;

uint64_t Mix(uint64_t digest, std::span<const uint64_t> values) {
  return StableHash(
      {reinterpret_cast<const char*>(values.data()), values.size_bytes()},
      digest);
}

uint64_t NumberOf(const Verdict& verdict) {
  const std::optional<Rejection> rejection = verdict.rejection();
  return rejection ? static_cast<uint64_t>(*rejection) + 1 : 0;
}

}  // namespace

DigestPoint DecisionState::digest() const {
  return {.next_offset = next_offset_, .digest = digest_};
}

uint64_t DecisionState::StateDigest() const {
  return StableHash(Snapshot());
}

Verdict DecisionState::Check(Offset offset,
                             uint32_t index_in_batch,
                             const records::Proposal& proposal) const {
  if (offset > proposal.last_offset) {
    return Verdict::Rejected(Rejection::kExpired);
  }
  if (proposals_.Contains(proposal)) {
    return Verdict::Rejected(Rejection::kDuplicate);
  }
  if (index_in_batch >= kMaximumBatch) {
    return Verdict::Rejected(Rejection::kMalformed);
  }
  const std::optional<Rejection> rejection = CheckRecord(proposal);
  return rejection ? Verdict::Rejected(*rejection) : Verdict::Accepted();
}

Verdict DecisionState::Apply(Offset offset,
                             uint32_t index_in_batch,
                             const records::Proposal& proposal) {
  assert(offset >= next_offset_);
  const Verdict verdict = Check(offset, index_in_batch, proposal);
  const std::array<uint64_t, 4> values = {
      offset.value(), index_in_batch, proposal.id.sequence, NumberOf(verdict)};
  digest_ = Mix(digest_, values);
  if (offset <= proposal.last_offset) {
    proposals_.Add(offset, proposal);
  }
  if (verdict.is_accepted()) {
    ApplyRecord(offset, index_in_batch, proposal.record);
  }
  return verdict;
}

void DecisionState::Complete(Offset offset) {
  assert(offset >= next_offset_);
  next_offset_ = offset.Next();
  proposals_.ForgetBefore(next_offset_);
  if (next_offset_.value() % kDigestStride != 0) {
    return;
  }
  digest_points_.push_back(digest());
  if (digest_points_.size() > kKeptDigestPoints) {
    digest_points_.erase(digest_points_.begin());
  }
}

std::optional<Rejection> DecisionState::CheckRecord(
    const records::Proposal& proposal) const {
  const EntryKey author = AuthorOf(proposal);
  return std::visit(
      [&](const auto& record) -> std::optional<Rejection> {
        using Record = std::remove_cvref_t<decltype(record)>;
        if constexpr (kIsOfOtherStream<Record>) {
          return Rejection::kWrongStream;
        } else if constexpr (kIsNeutral<Record>) {
          return std::nullopt;
        } else if constexpr (requires { CheckBy(author, record); }) {
          return CheckBy(author, record);
        } else if constexpr (requires { entries_.Check(record); }) {
          return entries_.Check(record);
        } else if constexpr (requires { workers_.Check(record); }) {
          return workers_.Check(record);
        } else if constexpr (requires { quotas_.Check(record); }) {
          return quotas_.Check(record);
        } else {
          return jobs_.Check(record);
        }
      },
      proposal.record);
}

std::optional<Rejection> DecisionState::CheckBy(
    const EntryKey& author,
    const records::EntryLapsed& record) const {
  if (!entries_.IsActive(author)) {
    return Rejection::kAuthorNotMember;
  }
  return entries_.Check(record);
}

std::optional<Rejection> DecisionState::CheckBy(
    const EntryKey& author,
    const records::WorkerLapsed& record) const {
  if (!entries_.IsActive(author)) {
    return Rejection::kAuthorNotMember;
  }
  return workers_.Check(record);
}

std::optional<Rejection> DecisionState::CheckBy(
    const EntryKey& /*author*/,
    const records::TaskClaimed& record) const {
  if (const auto rejection = jobs_.Check(record)) {
    return rejection;
  }
  if (const auto rejection =
          workers_.CheckClaim(WorkerOf(record), record.grant)) {
    return rejection;
  }
  if (const auto rejection = CheckSeparation(record)) {
    return rejection;
  }
  return quotas_.CheckGrant(TeamOf(record.task), Resources(), record.grant);
}

std::optional<Rejection> DecisionState::CheckBy(
    const EntryKey& /*author*/,
    const records::GrantChanged& record) const {
  if (const auto rejection = jobs_.Check(record)) {
    return rejection;
  }
  const TaskState& task = *jobs_.FindTask(record.task);
  if (const auto rejection =
          workers_.CheckGrant(task.worker, task.grant, record.grant)) {
    return rejection;
  }
  return quotas_.CheckGrant(TeamOf(record.task), task.grant, record.grant);
}

std::optional<Rejection> DecisionState::CheckBy(
    const EntryKey& /*author*/,
    const records::KeyClaimed& record) const {
  const EntryKey claimant = {.entry = record.entry,
                             .incarnation = record.incarnation};
  if (!entries_.IsActive(claimant)) {
    return Rejection::kAuthorNotMember;
  }
  return keys_.Check(record);
}

std::optional<Rejection> DecisionState::CheckBy(
    const EntryKey& author,
    const records::KeyResolved& record) const {
  return keys_.Check(author, record);
}

std::optional<Rejection> DecisionState::CheckBy(
    const EntryKey& author,
    const records::KnowledgeNoted& record) const {
  if (!entries_.IsActive(author)) {
    return Rejection::kAuthorNotMember;
  }
  return knowledge_.Check(record);
}

void DecisionState::ApplyRecord(Offset offset,
                                uint32_t index_in_batch,
                                const records::Record& record) {
  std::visit(
      [&](const auto& held) {
        using Record = std::remove_cvref_t<decltype(held)>;
        if constexpr (kIsOfOtherStream<Record> || kIsNeutral<Record>) {
          return;
        } else if constexpr (std::is_same_v<Record, records::TaskClaimed>) {
          ApplyClaim(TokenOf(offset, index_in_batch), held);
        } else if constexpr (requires { ApplyJoint(held); }) {
          ApplyJoint(held);
        } else if constexpr (requires { ApplyJoint(offset, held); }) {
          ApplyJoint(offset, held);
        } else if constexpr (requires { entries_.Apply(offset, held); }) {
          entries_.Apply(offset, held);
        } else if constexpr (requires { workers_.Apply(offset, held); }) {
          workers_.Apply(offset, held);
        } else if constexpr (requires { jobs_.Apply(offset, held); }) {
          jobs_.Apply(offset, held);
        } else if constexpr (requires { jobs_.Apply(held); }) {
          jobs_.Apply(held);
        } else if constexpr (requires { keys_.Apply(held); }) {
          keys_.Apply(held);
        } else if constexpr (requires { knowledge_.Apply(offset, held); }) {
          knowledge_.Apply(offset, held);
        } else {
          quotas_.Apply(held);
        }
      },
      record);
}

void DecisionState::ApplyJoint(Offset offset,
                               const records::EntryLeft& record) {
  entries_.Apply(offset, record);
  keys_.ResolveAsUnknown(
      {.entry = record.entry, .incarnation = record.incarnation});
}

void DecisionState::ApplyJoint(Offset offset,
                               const records::EntryRetired& record) {
  entries_.Apply(offset, record);
  keys_.ResolveAsUnknown(
      {.entry = record.entry, .incarnation = record.incarnation});
}

void DecisionState::ApplyJoint(Offset offset,
                               const records::WorkerAnnounced& record) {
  for (const WorkerKey& key : workers_.EndedBy(record)) {
    FreeWorker(offset, key);
  }
  workers_.Apply(offset, record);
}

void DecisionState::ApplyJoint(Offset offset,
                               const records::WorkerFreed& record) {
  FreeWorker(offset,
             {.worker = record.worker, .incarnation = record.incarnation});
}

void DecisionState::ApplyJoint(Offset offset,
                               const records::TaskEnded& record) {
  ReleaseGrant(record.task);
  jobs_.Apply(offset, record);
}

void DecisionState::ApplyJoint(const records::GrantChanged& record) {
  const TaskState& task = *jobs_.FindTask(record.task);
  workers_.ChangeGrant(task.worker, task.grant, record.grant);
  quotas_.ChangeGrant(TeamOf(record.task), task.grant, record.grant);
  jobs_.Apply(record);
}

void DecisionState::ApplyClaim(FencingToken token,
                               const records::TaskClaimed& record) {
  workers_.AddGrant(WorkerOf(record), record.task, record.grant);
  quotas_.ChangeGrant(TeamOf(record.task), Resources(), record.grant);
  const WorkerState& worker = *workers_.Find(WorkerOf(record));
  jobs_.EnterDomain(record.task.job, worker.zone, worker.rack);
  jobs_.Apply(token, record);
}

std::optional<Rejection> DecisionState::CheckSeparation(
    const records::TaskClaimed& record) const {
  const JobId& job = record.task.job;
  const WorkerState& worker = *workers_.Find(WorkerOf(record));
  if (!jobs_.HasRoomIn(job, worker.zone, worker.rack)) {
    return Rejection::kDomainFull;
  }
  const bool is_apart =
      jobs_.HasApartKinds() &&
      jobs_.IsApartFromAny(job, workers_.LiveTasksOn(record.worker));
  return is_apart ? std::optional(Rejection::kKindsApart) : std::nullopt;
}

void DecisionState::FreeWorker(Offset offset, const WorkerKey& key) {
  // A copy: losing an attempt changes the set.
  const std::set<TaskId> live_tasks = workers_.Find(key)->live_tasks;
  for (const TaskId& task : live_tasks) {
    ReleaseGrant(task);
    jobs_.LoseAttempt(offset, task);
  }
  workers_.Remove(offset, key);
}

void DecisionState::ReleaseGrant(const TaskId& task) {
  const TaskState& state = *jobs_.FindTask(task);
  const WorkerState& worker = *workers_.Find(state.worker);
  jobs_.LeaveDomain(task.job, worker.zone, worker.rack);
  workers_.RemoveGrant(state.worker, task, state.grant);
  quotas_.ChangeGrant(TeamOf(task), state.grant, Resources());
}

const TeamId& DecisionState::TeamOf(const TaskId& task) const {
  return jobs_.FindJob(task.job)->submitted.team;
}

std::vector<AppliedProposal> ApplyBytes(DecisionState& state,
                                        Offset offset,
                                        std::string_view bytes) {
  std::vector<AppliedProposal> applied;
  uint32_t i = 0;
  for (records::Proposal& proposal :
       records::Decode(bytes).value_or(records::Batch())) {
    const Verdict verdict = state.Apply(offset, i++, proposal);
    applied.push_back({.proposal = std::move(proposal), .verdict = verdict});
  }
  state.Complete(offset);
  return applied;
}

}  // namespace papayadrift::replay
