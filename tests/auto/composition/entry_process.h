#ifndef PAPAYADRIFT_TESTS_COMPOSITION_ENTRY_PROCESS_H_
#define PAPAYADRIFT_TESTS_COMPOSITION_ENTRY_PROCESS_H_

#include <memory>
#include <string>

#include "composition/drifting_clock.h"
#include "composition/log_service.h"
#include "composition/peer_network.h"
#include "composition/process_runner.h"
#include "entry/region_controller.h"

namespace papayadrift::test {

// One life of an entry: its controller and what moves it. It stays in memory
// after its end, as calls to the log and to peers may still lead to it.
class EntryProcess {
 public:
  EntryProcess(const entry::RegionControllerSettings& settings,
               routing::SimulatedClock& timeline,
               LogService& log,
               PeerNetwork& network,
               int64_t rate_error_ppm);

  void Start();
  void Crash();

  entry::RegionController& controller() { return controller_; }
  const entry::RegionController& controller() const { return controller_; }
  ProcessRunner& runner() { return *runner_; }
  // The entry is not crashed; it may be paused.
  bool is_running() const { return !runner_->is_stopped(); }
  bool is_ready() const { return is_running() && controller_.is_ready(); }
  const std::string& name() const { return settings_.self.entry.text(); }
  const records::EntryJoined& self() const { return settings_.self; }
  const routing::RoutingTable& routes() const { return routes_; }
  Instant Now() const { return clock_.Now(); }

 private:
  void Tick();

  const entry::RegionControllerSettings settings_;
  routing::SimulatedClock& timeline_;
  const DriftingClock clock_;
  const std::shared_ptr<ProcessRunner> runner_;
  const std::unique_ptr<log::LogPort> log_;
  const std::unique_ptr<NetworkTransport> transport_;
  routing::RoutingTable routes_;
  entry::RegionController controller_;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_COMPOSITION_ENTRY_PROCESS_H_
