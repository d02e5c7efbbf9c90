#ifndef PAPAYADRIFT_TESTS_COMPOSITION_AUDITOR_H_
#define PAPAYADRIFT_TESTS_COMPOSITION_AUDITOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "log/log_port.h"
#include "replay/configuration_state.h"
#include "replay/decision_state.h"

namespace papayadrift::test {

// Replays what the log stores, at the moment at which it is stored, and holds
// it against what must always be so.
class Auditor {
 public:
  using Report = std::function<void(const std::string&)>;
  using OnWorkerLapsed = std::function<void(const records::ProposalId&,
                                            const records::WorkerLapsed&)>;

  Auditor(Report report, OnWorkerLapsed on_worker_lapsed);

  void OnStored(const log::StreamId& stream,
                Offset offset,
                const std::string& bytes);

  const replay::DecisionState& decisions() const { return decisions_; }
  const replay::Configuration& configuration() const {
    return configuration_.in_force();
  }
  // Whether a state with this digest can follow from what is stored.
  bool IsDigest(const replay::DigestPoint& point) const;
  // Whether the claim was ever accepted.
  bool WasClaimed(FencingToken token, const records::TaskClaimed& claim) const;
  bool WasInForce(const std::string& text) const {
    return texts_.contains(text);
  }
  bool WasSubmitted(const JobId& job) const { return jobs_.contains(job); }

 private:
  void OnDecision(Offset offset, const std::string& bytes);
  void OnConfiguration(Offset offset, const std::string& bytes);
  void Audit(Offset offset, uint32_t index, const records::Proposal& accepted);
  void AuditClaim(FencingToken token, const records::TaskClaimed& claim);
  void AuditCapacity(const WorkerId& worker);

  const Report report_;
  const OnWorkerLapsed on_worker_lapsed_;
  replay::DecisionState decisions_;
  replay::ConfigurationState configuration_{Offset(1)};
  std::map<Offset, uint64_t> digests_;
  std::map<FencingToken, records::TaskClaimed> claims_;
  std::set<std::pair<TaskId, CheckpointId>> resumed_;
  std::set<std::string> texts_;
  std::set<JobId> jobs_;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_COMPOSITION_AUDITOR_H_
