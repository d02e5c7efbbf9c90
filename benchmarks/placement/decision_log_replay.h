#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_DECISION_LOG_REPLAY_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_DECISION_LOG_REPLAY_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "placement/scheduler.h"
#include "replay/decision_state.h"

namespace papayadrift::placement {

// Content of the decision stream of a run, for a scheduler that replaces
// another.
class DecisionLogReplay {
 public:
  DecisionLogReplay();

  void Note(const Event& event);
  // Records new knowledge of the scheduler and counts its cost.
  void NoteKnowledge(const Scheduler& scheduler, bool is_refresh);

  // Returns the events that initialize a new scheduler, except those of
  // workers.
  std::vector<Event> Jobs() const;
  KnowledgeNoted Knowledge() const { return state_.knowledge().All(); }
  // Returns the claim with the correct next attempt and checkpoint, or nullopt
  // if the task has ended.
  std::optional<Claim> Corrected(const Claim& claim) const;

  size_t knowledge_records() const { return records_; }
  size_t knowledge_bytes() const { return bytes_; }
  size_t knowledge_appends() const { return appends_; }
  size_t snapshot_bytes() const { return state_.Snapshot().size(); }

 private:
  void Note(const TaskEnded& ended);
  void Append(std::vector<records::Record> records);

  std::map<JobId, JobSubmitted> jobs_;
  std::map<TaskId, ClaimAccepted> live_;
  std::map<TaskId, Attempt> attempts_;
  std::map<TaskId, CheckpointId> checkpoints_;
  std::set<TaskId> ended_;
  replay::DecisionState state_;
  uint64_t sequence_ = 0;
  size_t records_ = 0;
  size_t appends_ = 0;
  size_t bytes_ = 0;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_BENCHMARKS_PLACEMENT_DECISION_LOG_REPLAY_H_
