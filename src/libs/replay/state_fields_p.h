#ifndef PAPAYADRIFT_REPLAY_STATE_FIELDS_P_H_
#define PAPAYADRIFT_REPLAY_STATE_FIELDS_P_H_

// The members of the states that a snapshot holds, in their order in it; see
// records/packing.h. What follows from others is left out, and so is the worker
// of a task, which is packed apart.

#include <tuple>

#include "replay/decision_state.h"

namespace papayadrift::replay {

inline auto Fields(EntryKey& s) {
  return std::tie(s.entry, s.incarnation);
}
inline auto Fields(EntryState& s) {
  return std::tie(s.zone, s.http_address, s.stream_address, s.phase, s.was_full,
                  s.joined, s.acknowledged, s.phase_since);
}
inline auto Fields(WorkerKey& s) {
  return std::tie(s.worker, s.incarnation);
}
inline auto Fields(WorkerState& s) {
  return std::tie(s.zone, s.rack, s.address, s.capacity, s.runners, s.phase,
                  s.is_quarantined, s.phase_since, s.reserved);
}
inline auto Fields(TaskState& s) {
  return std::tie(s.attempt, s.failures, s.is_live, s.is_evicting, s.checkpoint,
                  s.token, s.grant);
}
inline auto Fields(TaskCounts& s) {
  return std::tie(s.waiting, s.live, s.finished, s.dropped, s.failed_attempts);
}
inline auto Fields(JobState& s) {
  return std::tie(s.submitted, s.submitted_at, s.phase, s.refusal, s.ended_at,
                  s.counts, s.task_phases, s.first_waiting, s.tasks);
}
inline auto Fields(RequestKey& s) {
  return std::tie(s.customer, s.service, s.key);
}
inline auto Fields(KeyAnswer& s) {
  return std::tie(s.ran, s.status, s.answer);
}
inline auto Fields(KeyState& s) {
  return std::tie(s.claimant, s.body_digest, s.window_ends_at, s.answer);
}
inline auto Fields(KindEntry& s) {
  return std::tie(s.knowledge, s.noted_at);
}
inline auto Fields(CoefficientKey& s) {
  return std::tie(s.neighbour, s.power);
}
inline auto Fields(CoefficientEntry& s) {
  return std::tie(s.mean, s.deviation, s.noted_at);
}
inline auto Fields(ServiceEntry& s) {
  return std::tie(s.coefficients, s.noted_at);
}
inline auto Fields(DigestPoint& s) {
  return std::tie(s.next_offset, s.digest);
}

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_STATE_FIELDS_P_H_
