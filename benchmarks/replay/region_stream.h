#ifndef PAPAYADRIFT_BENCHMARKS_REPLAY_REGION_STREAM_H_
#define PAPAYADRIFT_BENCHMARKS_REPLAY_REGION_STREAM_H_

#include <cstdint>
#include <deque>
#include <string>
#include <utility>

#include "records/record.h"
#include "replay/decision_state.h"

namespace papayadrift::replay {

// Writes the stream of a region as its entries would, and keeps the state.
class RegionStream {
 public:
  const DecisionState& state() const { return state_; }
  // Jobs that have ended, forgotten ones included.
  uint64_t ended_jobs() const { return ended_tasks_ / kTasksPerJob; }

  // Fills the region with workers, teams' quotas and running tasks.
  void Fill(uint32_t workers, uint32_t teams, uint32_t running_tasks);

  // Returns one append in which that many tasks end and as many start, with
  // the jobs that this needs, and applies it.
  std::string Turn(uint32_t starts);

 private:
  static constexpr uint32_t kTasksPerJob = 25;

  void Add(records::Record record);
  void Start(const TaskId& task);
  TaskId NextTask();
  // Applies and returns what was added.
  std::string Append();

  DecisionState state_;
  records::Batch batch_;
  uint64_t sequence_ = 0;
  uint32_t workers_ = 0;
  uint32_t teams_ = 0;
  uint32_t jobs_ = 0;
  uint32_t tasks_left_ = 0;
  uint64_t starts_ = 0;
  uint64_t ended_tasks_ = 0;
  std::deque<TaskId> running_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_BENCHMARKS_REPLAY_REGION_STREAM_H_
