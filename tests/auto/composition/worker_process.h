#ifndef PAPAYADRIFT_TESTS_COMPOSITION_WORKER_PROCESS_H_
#define PAPAYADRIFT_TESTS_COMPOSITION_WORKER_PROCESS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "composition/drifting_clock.h"
#include "composition/process_runner.h"
#include "standins/worker/worker_core.h"

namespace papayadrift::test {

// A VM that runs tasks: the stand-in's core, and heartbeats on manual time.
class WorkerProcess {
 public:
  using OnAnswer = std::function<void(const worker_protocol::HeartbeatAnswer&)>;
  // How the worker meets the rest of the region.
  struct Port {
    // Brings a heartbeat to an entry; the answer may come late or never.
    std::function<void(const std::string& address,
                       const worker_protocol::Heartbeat&,
                       OnAnswer)>
        send;
    std::function<std::vector<std::string>()> start_addresses;
    // An answer was followed; `before` is how long the journal was.
    std::function<void(const worker_protocol::HeartbeatAnswer&, size_t before)>
        on_followed;
  };

  // `announcement` without an incarnation.
  WorkerProcess(records::WorkerAnnounced announcement,
                routing::SimulatedClock& timeline,
                int64_t rate_error_ppm,
                Port port);

  // Starts the agent, as a new incarnation; nothing of an old one runs.
  void Start();
  // The VM is gone, with all that ran on it.
  void Crash();
  void Pause();
  // Goes on; an answer that came meanwhile may be taken before the clock is
  // looked at.
  void Resume(bool is_reversed) { runner_->Resume(is_reversed); }
  void Drain();

  const std::string& name() const { return announcement_.worker.text(); }
  const records::WorkerAnnounced& announcement() const { return announcement_; }
  bool is_running() const { return core_.has_value(); }
  bool is_paused() const { return runner_->is_paused(); }
  // The agent has looked at the clock since the VM was suspended last.
  bool is_awake() const { return is_running() && is_awake_; }
  bool is_draining() const { return is_draining_; }
  bool IsLeaseLive() const { return core_->IsLeaseLive(clock_.Now()); }
  bool is_idle() const { return !core_ || core_->is_idle(); }
  Incarnation incarnation() const { return core_->incarnation(); }
  // What ran since the agent was started.
  const std::vector<standins::TaskRun>& journal() const {
    return core_->journal();
  }

 private:
  void Tick();
  void SendHeartbeat();
  void Take(const worker_protocol::HeartbeatAnswer& answer);
  void Learn(const worker_protocol::HeartbeatAnswer& answer);
  void GoToNext();
  void AddAddress(const std::string& address);

  const records::WorkerAnnounced announcement_;
  routing::SimulatedClock& timeline_;
  const DriftingClock clock_;
  const Port port_;
  std::shared_ptr<ProcessRunner> runner_;
  std::optional<standins::WorkerCore> core_;
  bool is_awake_ = false;
  bool is_draining_ = false;
  std::vector<std::string> addresses_;
  size_t position_ = 0;
  // The heartbeat that an answer is awaited for.
  std::optional<uint64_t> awaited_;
  Instant give_up_at_;
  Instant send_at_;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_COMPOSITION_WORKER_PROCESS_H_
