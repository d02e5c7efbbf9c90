#ifndef PAPAYADRIFT_PEER_PROTOCOL_MESSAGE_FIELDS_P_H_
#define PAPAYADRIFT_PEER_PROTOCOL_MESSAGE_FIELDS_P_H_

// The members of each message in their order on the wire; see
// records/packing.h.

#include <tuple>

#include "lease/subjects.h"
#include "membership/slot_loans.h"
#include "peer_protocol/messages.h"

namespace papayadrift::lease {

inline auto Fields(MemberKey& m) {
  return std::tie(m.entry, m.incarnation);
}
inline auto Fields(WorkerKey& m) {
  return std::tie(m.worker, m.incarnation);
}
inline auto Fields(JoinerNotice& m) {
  return std::tie(m.joiner, m.joined_at);
}
inline auto Fields(JoinerAcknowledgement& m) {
  return std::tie(m.member, m.joiner, m.is_full);
}
inline auto Fields(FreezeRequest& m) {
  return std::tie(m.requester, m.sequence, m.applied, m.announced_joiners,
                  m.most_exclusions);
}
inline auto Fields(FreezeAnswer& m) {
  return std::tie(m.responder, m.sequence, m.refusal, m.excluded);
}

}  // namespace papayadrift::lease

namespace papayadrift::membership {

inline auto Fields(SlotLoanRequest& m) {
  return std::tie(m.borrower, m.sequence, m.runner, m.slots);
}
inline auto Fields(SlotLoan& m) {
  return std::tie(m.lender, m.sequence, m.slots);
}
inline auto Fields(SlotLoanReturn& m) {
  return std::tie(m.borrower, m.sequence);
}

}  // namespace papayadrift::membership

namespace papayadrift::peer_protocol {

inline auto Fields(PeerHello& m) {
  return std::tie(m.protocol_version, m.key, m.address, m.nonce);
}
inline auto Fields(PeerChallenge& m) {
  return std::tie(m.key, m.address, m.nonce, m.tag);
}
inline auto Fields(PeerProof& m) {
  return std::tie(m.tag);
}
inline auto Fields(HomeLoad& m) {
  return std::tie(m.workers, m.running_tasks, m.waiting_tasks, m.capacity,
                  m.granted);
}
inline auto Fields(PeerHeartbeat& m) {
  return std::tie(m.key, m.address, m.configuration, m.applied, m.digest_offset,
                  m.digest, m.load);
}
inline auto Fields(ConfigurationPush& m) {
  return std::tie(m.version, m.author, m.text, m.home_regions,
                  m.division_digest, m.division);
}
inline auto Fields(StateRequest& m) {
  return std::tie(m.state_offset, m.index);
}
inline auto Fields(StateChunk& m) {
  return std::tie(m.state_offset, m.index, m.count, m.checksum,
                  m.tail_read_age_milliseconds, m.bytes);
}
inline auto Fields(WorkersHeard& m) {
  return std::tie(m.workers);
}
inline auto Fields(GuardHello& m) {
  return std::tie(m.protocol_version, m.worker, m.address);
}
inline auto Fields(AttemptUse& m) {
  return std::tie(m.task, m.attempt, m.enforced, m.used);
}
inline auto Fields(GuardReport& m) {
  return std::tie(m.worker, m.sequence, m.attempts);
}
inline auto Fields(GuardGrant& m) {
  return std::tie(m.task, m.attempt, m.token, m.grant);
}
inline auto Fields(ClaimedKey& m) {
  return std::tie(m.customer, m.service, m.key, m.claimant);
}
inline auto Fields(GuardGrants& m) {
  return std::tie(m.worker, m.sequence, m.renewal_milliseconds, m.state_offset,
                  m.grants, m.keys);
}

}  // namespace papayadrift::peer_protocol

#endif  // PAPAYADRIFT_PEER_PROTOCOL_MESSAGE_FIELDS_P_H_
