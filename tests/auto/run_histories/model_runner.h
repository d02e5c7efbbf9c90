#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_RUNNER_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_RUNNER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/resources.h"
#include "cluster/runner_api.h"
#include "jobs/runner.h"
#include "referee.h"
#include "simulation.h"

namespace papayadrift::run_histories {

struct ModelRunnerSettings {
  size_t index = 0;
  // Of the runner's clock against the true one, in percent.
  int64_t clock_rate_percent = 100;
  Resources capacity{2000, 2000, 0};
  // As the lease that leaders grant.
  milliseconds longest_lease{6000};
  milliseconds stop_time{150};
  size_t ends_in_list = 1;  // Small, so that lists are incomplete.

  friend bool operator==(const ModelRunnerSettings&,
                         const ModelRunnerSettings&) = default;
};

// A runner as the users' pages describe it under "Running tasks". It takes
// whatever it is told to start, and tells the referee.
class ModelRunner {
 public:
  using OnHeld = std::function<void(const cluster::LeaseRenewalResult&)>;

  // `wall_lead` is how much the time of day on its VM is ahead.
  ModelRunner(const ModelRunnerSettings& settings,
              const milliseconds& wall_lead,
              Simulation& simulation,
              Referee& referee);

  // Begins a process under this name.
  void Start(const std::string& instance);
  void Crash();
  // Ends the first run that is active, if there is one.
  void EndRun(jobs::RunEnd end);
  void set_capacity(const Resources& capacity);
  const Resources& capacity() const { return capacity_; }

  bool is_up() const { return is_up_; }
  // Number of its process, counted up at each start and crash.
  uint64_t life() const { return life_; }
  const std::string& instance() const { return instance_; }
  // What its next heartbeat says.
  cluster::Announcement Announce();

  // A call has arrived. If it is held up, the process that is up by then
  // executes it.
  void Receive(microseconds held_up, Simulation::Action execute);
  // Executes a call. Its sender learns of the answer only if it still waits.
  jobs::OrderVerdict Execute(const std::string& instance,
                             const jobs::Order& order,
                             uint64_t fencing_token,
                             int64_t lease_until_ms,
                             Instant sent_at);
  void Hold(const std::string& instance,
            const cluster::LeaseRenewalRequest& call,
            OnHeld done);

  // For checks of what should have happened.
  const std::map<jobs::TaskKey, uint32_t>& runs() const { return numbers_; }
  size_t unseen_ends() const { return ended_.size(); }
  Resources Free() const;

 private:
  struct ActiveRun {
    uint32_t number = 0;
    Instant started_at;
    bool is_stopping = false;
  };

  int64_t ClockMs() const;
  void ExtendLease(int64_t deadline_ms);
  bool HasLease() const { return lease_until_ms_ > ClockMs(); }
  void OnLeaseExpired();
  jobs::OrderVerdict StartRun(const jobs::StartOrder& start,
                              int64_t lease_until_ms,
                              Instant sent_at);
  void StopRun(const jobs::StopOrder& stop);
  void End(const jobs::TaskKey& task, uint32_t number, jobs::RunEnd end);
  void Forget(uint64_t last_seen);
  static void AnswerHold(OnHeld& hold,
                         const cluster::LeaseRenewalResult& result);
  cluster::LeaseRenewalResponse List() const;
  Resources Used() const;

  const ModelRunnerSettings settings_;
  const milliseconds& wall_lead_;
  Simulation& simulation_;
  Referee& referee_;
  bool is_up_ = false;
  std::string instance_;
  uint64_t life_ = 0;  // Number of the process.
  Instant started_at_;
  int64_t born_ms_ = 0;
  uint64_t announcements_ = 0;
  Resources capacity_;
  uint64_t fencing_token_ = 0;  // The highest one seen.
  int64_t lease_until_ms_ = 0;
  std::map<jobs::TaskKey, ActiveRun> active_;
  std::map<jobs::TaskKey, uint32_t> numbers_;  // Of the active ones.
  std::map<jobs::TaskKey, uint32_t> floors_;
  std::vector<jobs::EndedRun> ended_;
  uint64_t end_count_ = 0;
  std::vector<std::shared_ptr<OnHeld>> waiting_holds_;
  Timer lease_timer_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_RUNNER_H_
