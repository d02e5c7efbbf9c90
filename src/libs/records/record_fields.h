#ifndef PAPAYADRIFT_RECORDS_RECORD_FIELDS_H_
#define PAPAYADRIFT_RECORDS_RECORD_FIELDS_H_

// The members of each record in their order on the wire; see packing.h.

#include <cstddef>
#include <tuple>

#include "records/record.h"

namespace papayadrift::records {

inline auto Fields(EntryJoined& r) {
  return std::tie(r.entry, r.incarnation, r.zone, r.http_address,
                  r.stream_address);
}
inline auto Fields(EntryAcknowledged& r) {
  return std::tie(r.entry, r.incarnation, r.generation);
}
inline auto Fields(EntryLeft& r) {
  return std::tie(r.entry, r.incarnation);
}
inline auto Fields(EntryLapsed& r) {
  return std::tie(r.entry, r.incarnation);
}
inline auto Fields(EntryRetired& r) {
  return std::tie(r.entry, r.incarnation);
}
inline auto Fields(Runner& r) {
  return std::tie(r.service, r.address, r.slots, r.connections, r.reserved);
}
inline auto Fields(WorkerAnnounced& r) {
  return std::tie(r.worker, r.incarnation, r.zone, r.rack, r.address,
                  r.capacity, r.runners, r.previous_ended);
}
inline auto Fields(WorkerDraining& r) {
  return std::tie(r.worker, r.incarnation);
}
inline auto Fields(WorkerLapsed& r) {
  return std::tie(r.worker, r.incarnation);
}
inline auto Fields(WorkerFreed& r) {
  return std::tie(r.worker, r.incarnation);
}
inline auto Fields(WorkerQuarantined& r) {
  return std::tie(r.worker, r.incarnation, r.is_quarantined);
}
inline auto Fields(JobSubmitted& r) {
  return std::tie(r.job, r.customer, r.team, r.kind, r.tasks, r.declared,
                  r.priority, r.is_checkpointable, r.is_urgent,
                  r.declared_run_milliseconds, r.deadline, r.separation);
}
inline auto Fields(JobCancelled& r) {
  return std::tie(r.job);
}
inline auto Fields(JobRefused& r) {
  return std::tie(r.job, r.reason);
}
inline auto Fields(TaskClaimed& r) {
  return std::tie(r.task, r.attempt, r.worker, r.incarnation, r.grant,
                  r.resumes);
}
inline auto Fields(GrantChanged& r) {
  return std::tie(r.task, r.attempt, r.grant);
}
inline auto Fields(EvictionRequested& r) {
  return std::tie(r.task, r.attempt);
}
inline auto Fields(TaskEnded& r) {
  return std::tie(r.task, r.attempt, r.ending, r.checkpoint);
}
inline auto Fields(KeyClaimed& r) {
  return std::tie(r.customer, r.service, r.key, r.entry, r.incarnation,
                  r.body_digest, r.window_ends_at);
}
inline auto Fields(KeyResolved& r) {
  return std::tie(r.customer, r.service, r.key, r.ran, r.status, r.answer);
}
inline auto Fields(NoOperation&) {
  return std::tuple<>();
}
inline auto Fields(SnapshotChunk& r) {
  return std::tie(r.snapshot, r.state_offset, r.index, r.count, r.checksum,
                  r.bytes);
}
inline auto Fields(ConfigurationProposed& r) {
  return std::tie(r.expected, r.author, r.text, r.home_regions,
                  r.division_digest);
}
inline auto Fields(ConfigurationReasserted& r) {
  return std::tie(r.version, r.author, r.text, r.as_of, r.home_regions,
                  r.division_digest, r.division);
}
inline auto Fields(TeamQuota& r) {
  return std::tie(r.team, r.limit);
}
inline auto Fields(QuotasSet& r) {
  return std::tie(r.version, r.quotas, r.jobs, r.division, r.shares);
}
inline auto Fields(QuotaSharesRaised& r) {
  return std::tie(r.division);
}
inline auto Fields(DivisionReached& r) {
  return std::tie(r.region, r.division);
}
inline auto Fields(QuotaGiven& r) {
  return std::tie(r.division, r.to, r.team, r.total);
}
inline auto Fields(QuotaTaken& r) {
  return std::tie(r.division, r.from, r.team, r.total);
}
inline auto Fields(QuotasOffered& r) {
  return std::tie(r.from, r.to, r.division, r.totals);
}
inline auto Fields(QuotasWanted& r) {
  return std::tie(r.region, r.wants);
}
inline auto Fields(LearnedQuantity& r) {
  return std::tie(r.reports, r.mean, r.deviation, r.highest);
}
inline auto Fields(KindKnowledge& r) {
  return std::tie(r.kind, r.millicores, r.memory_mebibytes, r.run_ratio,
                  r.saturated_permille, r.least_memory_mebibytes);
}
inline auto Fields(CoefficientKnowledge& r) {
  return std::tie(r.neighbour, r.power, r.mean, r.deviation);
}
inline auto Fields(ServiceKnowledge& r) {
  return std::tie(r.service, r.coefficients);
}
inline auto Fields(KnowledgeNoted& r) {
  return std::tie(r.kinds, r.neighbours, r.services);
}
inline auto Fields(OutcomeCount& r) {
  return std::tie(r.customer, r.service, r.outcome, r.ran, r.count);
}
inline auto Fields(OutcomesReported& r) {
  return std::tie(r.entry, r.incarnation, r.sequence, r.from, r.until, r.counts,
                  r.is_final);
}
inline auto Fields(PromiseMissed& r) {
  return std::tie(r.promise, r.from, r.until);
}
inline auto Fields(ProposalId& r) {
  return std::tie(r.author, r.incarnation, r.sequence);
}
inline auto Fields(Proposal& r) {
  return std::tie(r.id, r.last_offset, r.record);
}

}  // namespace papayadrift::records

#endif  // PAPAYADRIFT_RECORDS_RECORD_FIELDS_H_
