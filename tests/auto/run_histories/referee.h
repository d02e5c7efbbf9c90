#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_REFEREE_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_REFEREE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/instant.h"
#include "jobs/directory.h"
#include "jobs/job.h"
#include "jobs/runner.h"
#include "network.h"
#include "workload.h"

namespace papayadrift::run_histories {

// Checks what runners and callers see against the users' rules, at each change.
// Keeps the first violation.
class Referee {
 public:
  explicit Referee(const Simulation& simulation) : simulation_(simulation) {}

  // A runner has begun a run on an order that was sent to it at `sent_at`, and
  // so much of its capacity is in use by now.
  void OnStart(size_t runner,
               const jobs::TaskKey& task,
               uint32_t run,
               Instant sent_at);
  void OnCapacity(size_t runner, Instant sent_at, bool is_exceeded);
  void OnShrunk(size_t runner);
  // The runner's agent knows its present capacity.
  void OnCapacityKnown(size_t runner);
  void OnEnd(size_t runner,
             uint64_t number,
             const jobs::TaskKey& task,
             uint32_t run,
             jobs::RunEnd end);
  // The runner has forgotten its ends up to `number`.
  void OnNoted(size_t runner, uint64_t number);
  void OnLapse(size_t runner);
  // The runner's process has ended; nothing runs on it.
  void OnRunnerEnded(size_t runner);

  void OnSubmitted(size_t job);
  void OnAccepted(size_t job);
  // A submission was answered as not stored.
  void OnRejected(size_t job);
  void OnCancelSent(size_t job);
  // The cancellation was certainly not stored.
  void OnCancelRefused(size_t job);
  void OnCancelled(size_t job);
  // A caller that asked at `asked_at` is told this state, or that there is no
  // such job.
  void OnShown(size_t job,
               std::optional<jobs::JobState> state,
               Instant asked_at);
  // Something did not happen in time.
  void OnOverdue(const std::string& what);

  // The rule and what broke it.
  const std::optional<std::string>& violation() const { return violation_; }
  bool IsCancelled(size_t job) const {
    return jobs_.at(job).cancelled_at.has_value();
  }
  bool IsCancelSent(size_t job) const { return jobs_.at(job).cancels_sent > 0; }
  bool IsAccepted(size_t job) const {
    return jobs_.at(job).accepted_at.has_value();
  }
  bool HasFailed(size_t job) const;
  bool IsDone(const jobs::TaskKey& task) const;

 private:
  struct Place {
    size_t runner = 0;
    uint32_t run = 0;
  };
  struct End {
    size_t runner = 0;
    uint64_t number = 0;
    jobs::RunEnd end = jobs::RunEnd::kDone;
    Instant at;
    bool is_noted = false;
    // Whether the lease lapsed, or the runner ended, before it was noted.
    bool is_void = false;
  };
  struct Task {
    std::vector<Place> places;
    std::vector<End> ends;
    std::vector<Instant> starts;
  };
  struct JobFacts {
    size_t submissions = 0;
    size_t rejected = 0;  // Of these.
    bool has_started = false;
    size_t cancels_sent = 0;  // That may be stored.
    std::optional<Instant> accepted_at;
    std::optional<Instant> cancelled_at;
    std::optional<Instant> shown_completed_at;
  };

  void Break(const std::string& rule, const std::string& how);
  void CheckOrder(const jobs::TaskKey& task);
  void CheckJob(const jobs::TaskKey& task, Instant sent_at);
  // Checks that a job that was rejected at each attempt has not started.
  void CheckRejected(size_t job);
  // Checks starts of the task against its ends that have been noted.
  void CheckNotedEnds(const jobs::TaskKey& task, const Task& facts);

  const Simulation& simulation_;
  std::map<jobs::TaskKey, Task> tasks_;
  std::array<JobFacts, kJobs> jobs_;
  // Until then, orders may rest on a capacity that has shrunk.
  std::array<Instant, kLinksOfKind> capacity_news_until_;
  uint32_t crashes_ = 0;  // Of any runner.
  std::optional<std::string> violation_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_REFEREE_H_
