#include "composition/auditor.h"

#include <algorithm>
#include <utility>

#include "records/codec.h"

namespace papayadrift::test {

Auditor::Auditor(Report report, OnWorkerLapsed on_worker_lapsed)
    : report_(std::move(report)),
      on_worker_lapsed_(std::move(on_worker_lapsed)) {}

void Auditor::OnStored(const log::StreamId& stream,
                       Offset offset,
                       const std::string& bytes) {
  if (stream.text() == "configuration") {
    OnConfiguration(offset, bytes);
  } else {
    OnDecision(offset, bytes);
  }
}

bool Auditor::IsDigest(const replay::DigestPoint& point) const {
  const auto it = digests_.find(point.next_offset);
  return it == digests_.end() ? point.next_offset <= Offset(1)
                              : it->second == point.digest;
}

bool Auditor::WasClaimed(FencingToken token,
                         const records::TaskClaimed& claim) const {
  const auto it = claims_.find(token);
  return it != claims_.end() && it->second.task == claim.task &&
         it->second.attempt == claim.attempt &&
         it->second.worker == claim.worker &&
         it->second.incarnation == claim.incarnation &&
         it->second.resumes == claim.resumes;
}

void Auditor::OnDecision(Offset offset, const std::string& bytes) {
  uint32_t index = 0;
  for (const replay::AppliedProposal& applied :
       replay::ApplyBytes(decisions_, offset, bytes)) {
    if (applied.verdict.is_accepted()) {
      Audit(offset, index, applied.proposal);
    }
    ++index;
  }
  digests_[decisions_.next_offset()] = decisions_.digest().digest;
}

void Auditor::OnConfiguration(Offset offset, const std::string& bytes) {
  for (const records::Proposal& proposal :
       records::Decode(bytes).value_or(records::Batch())) {
    configuration_.Apply(offset, proposal);
    texts_.insert(configuration_.in_force().text);
  }
  configuration_.Complete(offset);
}

void Auditor::Audit(Offset offset,
                    uint32_t index,
                    const records::Proposal& accepted) {
  const records::Record& record = accepted.record;
  if (const auto* claim = std::get_if<records::TaskClaimed>(&record)) {
    AuditClaim(replay::TokenOf(offset, index), *claim);
    AuditCapacity(claim->worker);
  }
  if (const auto* job = std::get_if<records::JobSubmitted>(&record)) {
    jobs_.insert(job->job);
  }
  if (const auto* lapsed = std::get_if<records::WorkerLapsed>(&record)) {
    on_worker_lapsed_(accepted.id, *lapsed);
  }
  if (std::holds_alternative<records::GrantChanged>(record) ||
      std::holds_alternative<records::WorkerAnnounced>(record)) {
    for (const auto& [key, worker] : decisions_.workers().workers()) {
      AuditCapacity(key.worker);
    }
  }
}

void Auditor::AuditClaim(FencingToken token,
                         const records::TaskClaimed& claim) {
  claims_.emplace(token, claim);
  if (!claim.resumes.is_empty() &&
      !resumed_.emplace(claim.task, claim.resumes).second) {
    report_("The checkpoint " + claim.resumes.text() + " is resumed twice.");
  }
}

void Auditor::AuditCapacity(const WorkerId& worker) {
  const Resources used = decisions_.workers().UsedOn(worker);
  for (const auto& [key, state] : decisions_.workers().workers()) {
    if (key.worker == worker && !FitsIn(used, state.capacity)) {
      report_("The log gives " + worker.text() + " " + ToText(used) + ".");
    }
  }
}

}  // namespace papayadrift::test
