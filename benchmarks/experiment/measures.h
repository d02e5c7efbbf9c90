#ifndef PAPAYADRIFT_BENCHMARKS_EXPERIMENT_MEASURES_H_
#define PAPAYADRIFT_BENCHMARKS_EXPERIMENT_MEASURES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/instant.h"
#include "jobs/job.h"
#include "jobs/job_scheduler.h"

namespace papayadrift::experiment {

// Results of the jobs of one queue, weighted by their work.
struct QueueResult {
  double in_time = 0;
  double late = 0;  // Done within three times the allowed time.
  double all = 0;

  double share_in_time() const { return all > 0 ? in_time / all : 0; }
  double share_late() const { return all > 0 ? late / all : 0; }

  friend bool operator==(const QueueResult&, const QueueResult&) = default;
};

// Results of one simulation.
class Measures {
 public:
  void OnServing(milliseconds step, bool is_over);
  void OnFiller(const jobs::TaskKey& task, milliseconds step, double speed);
  void OnLostWork(milliseconds work) { lost_work_ms_ += work.count(); }
  void OnSchedulerEvent(const jobs::JobSchedulerEvent& event);
  void OnOrder(const jobs::Order& order);
  // A job, or else the simulation, ended after `ratio` of the allowed time.
  void OnJob(const std::string& queue, double work, double ratio, bool is_done);

  const std::map<std::string, QueueResult>& queues() const { return queues_; }
  // Share of the serving tasks' time that was over their target.
  double over_target() const;
  // Mean speed of fillers while they ran.
  double filler_pace() const;
  double pace_orders_per_filler() const;
  uint64_t moves() const { return moves_; }
  uint64_t orders() const { return orders_; }

 private:
  std::map<std::string, QueueResult> queues_;
  int64_t serving_ms_ = 0;
  int64_t over_ms_ = 0;
  double filler_ms_ = 0;
  double filler_work_ms_ = 0;
  int64_t lost_work_ms_ = 0;
  std::set<jobs::TaskKey> fillers_;
  uint64_t pace_orders_ = 0;
  uint64_t orders_ = 0;
  uint64_t moves_ = 0;
};

}  // namespace papayadrift::experiment

#endif  // PAPAYADRIFT_BENCHMARKS_EXPERIMENT_MEASURES_H_
