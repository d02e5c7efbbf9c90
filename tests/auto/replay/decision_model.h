#ifndef PAPAYADRIFT_TESTS_AUTO_REPLAY_DECISION_MODEL_H_
#define PAPAYADRIFT_TESTS_AUTO_REPLAY_DECISION_MODEL_H_

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "records/record.h"
#include "replay/decision_state.h"

namespace papayadrift::test {

// Follows accepted records by the plainest means and notes every promise that
// they break. It shares no code with the state that it judges.
class DecisionModel {
 public:
  const std::vector<std::string>& faults() const { return faults_; }

  void OnApplied(Offset offset, const replay::AppliedProposal& applied);
  // Compares with the state once a whole record is applied.
  void OnCompleted(const replay::DecisionState& state);

 private:
  using Life = std::pair<std::string, uint64_t>;
  struct Live {
    uint64_t attempt = 0;
    Life worker;
    int64_t millicores = 0;
  };

  void Expect(bool is_kept, const std::string& promise);
  void Take(const records::JobSubmitted& record);
  void Take(Offset offset, const records::TaskClaimed& record);
  void Take(const records::TaskEnded& record);
  void Take(const records::GrantChanged& record);
  void Take(const records::WorkerAnnounced& record);
  void Take(const records::WorkerFreed& record);
  void Take(const records::KeyClaimed& record);
  void Take(const records::KeyResolved& record);
  void Free(const Life& life);
  void CheckCapacity(const std::string& worker);
  void CheckSeparation(const records::TaskClaimed& record);

  std::vector<std::string> faults_;
  std::map<records::ProposalId, bool> first_verdicts_;
  std::map<TaskId, Live> live_;
  std::map<JobId, records::JobSubmitted> jobs_;
  std::map<Life, std::string> racks_;
  std::map<TaskId, std::string> checkpoints_;  // To be resumed.
  std::map<TaskId, uint64_t> last_tokens_;
  std::set<std::pair<TaskId, std::string>> resumed_;
  std::map<Life, std::pair<int64_t, int64_t>> workers_;  // Capacity, reserved.
  std::set<std::tuple<CustomerId, ServiceId, IdempotencyKey>> keys_;
  std::set<std::tuple<CustomerId, ServiceId, IdempotencyKey>> resolved_;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_AUTO_REPLAY_DECISION_MODEL_H_
