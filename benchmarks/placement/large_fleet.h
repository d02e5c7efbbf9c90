#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_LARGE_FLEET_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_LARGE_FLEET_H_

#include <deque>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

#include "placement/scheduler.h"

namespace papayadrift::placement {

// Many workers that execute actions at once or after a fixed delay, to measure
// the cost of decisions. Simulates neither work nor interference.
class LargeFleet {
 public:
  LargeFleet(size_t workers, uint64_t seed);

  // Fills the fleet: each worker has runners and about 11 batch tasks.
  void Fill();
  // Advances time in steps of 100 ms; in each step tasks end, others are
  // started, and reports arrive at the usual rate.
  void Churn(int steps, size_t ends_per_step);
  // Submits enough work to leave no free capacity.
  void Saturate();
  // Submits one urgent task per step of 100 ms; returns the waits in seconds.
  std::vector<double> Urgent(int steps);

  // Destroys the scheduler; no other member may be called afterwards.
  void DropScheduler() { scheduler_.reset(); }

  const Scheduler& scheduler() const { return *scheduler_; }
  size_t running() const { return running_.size(); }

 private:
  struct Running {
    TaskId task;
    Attempt attempt;
    Resources grant;
  };
  struct Delayed {
    Instant due;
    Event event;
  };

  void Deliver(const Event& event);
  void Execute(const Action& action);
  void Submit(uint32_t tasks, bool is_urgent, const Resources& declared);
  void EndOne();
  void Report();
  void Advance();

  pcg64 random_;
  const size_t workers_;
  Instant now_{seconds(1)};
  std::unique_ptr<Scheduler> scheduler_;
  std::vector<Running> running_;
  std::map<TaskId, size_t> positions_;
  std::deque<Delayed> delayed_;
  std::map<JobId, Instant> urgent_since_;
  std::vector<double> urgent_waits_;
  size_t next_job_ = 0;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_BENCHMARKS_PLACEMENT_LARGE_FLEET_H_
