#ifndef PAPAYADRIFT_ENTRY_CONTROL_METRICS_H_
#define PAPAYADRIFT_ENTRY_CONTROL_METRICS_H_

#include <cstdint>
#include <vector>

#include "base/instant.h"
#include "logging/logger.h"
#include "metrics/registry.h"
#include "placement/counters.h"

namespace papayadrift::entry {

class RegionController;

// Brings what the controller knows into metrics: the log, the membership, the
// workers, the tasks and what placement has done. On the control thread only.
class ControlMetrics {
 public:
  explicit ControlMetrics(metrics::Registry& registry);

  // Takes the present state; costs one pass over workers and entries.
  void Sample(const RegionController& controller, Instant now);
  // Takes how complete this process's own log is.
  void SampleLines(const logging::Logger& logger);

 private:
  // A counter that follows a number which starts anew with its owner.
  struct Followed {
    metrics::Counter* counter = nullptr;
    uint64_t last = 0;

    void Follow(uint64_t value);
  };

  void SampleLog(const RegionController& controller, Instant now);
  void SampleMembers(const RegionController& controller);
  void SampleWork(const RegionController& controller);

  metrics::Gauge& is_ready_;
  metrics::Gauge& is_log_available_;
  metrics::Gauge& tail_read_age_;
  metrics::Gauge& decision_offset_;
  metrics::Gauge& unresolved_proposals_;
  metrics::Gauge& configuration_version_;
  metrics::Gauge& connected_peers_;
  metrics::Gauge& keys_;
  metrics::Gauge& waiting_tasks_;
  metrics::Gauge& running_tasks_;
  std::vector<metrics::Gauge*> entries_;  // By replay::EntryPhase.
  std::vector<metrics::Gauge*> workers_;  // By replay::WorkerPhase.
  metrics::Gauge& quarantined_workers_;
  Followed snapshots_;
  Followed missing_lines_;
  std::vector<Followed> placement_;  // In the order of kPlacementCounters.
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_CONTROL_METRICS_H_
