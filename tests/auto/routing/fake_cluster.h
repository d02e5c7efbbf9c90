#ifndef PAPAYADRIFT_TESTS_ROUTING_FAKE_CLUSTER_H_
#define PAPAYADRIFT_TESTS_ROUTING_FAKE_CLUSTER_H_

#include <memory>
#include <string>
#include <vector>

#include "fake_entry.h"
#include "fake_key_store.h"
#include "fake_runners.h"
#include "simulated_clock.h"

namespace papayadrift::routing {

inline const std::string kChecks = "checks";
inline const std::string kDispatches = "dispatches";
inline constexpr int kRunnerCount = 11;
inline constexpr int kSlots = 8;
inline constexpr int kConnections = 64;

// Returns the service with its runners and the slot share of this entry.
ServiceRoute FakeService(const std::string& name, int slot_share);

// Returns the service with the slot share of one of `entries` entries; the
// shares of all entries add up to the slots.
ServiceRoute SharedService(const std::string& name, int entry, int entries);

// Entries that share the runners of two services.
class FakeCluster {
 public:
  FakeCluster(int entry_count, RoutingSettings settings, uint64_t seed);

  // Schedules arrivals at a constant rate, round robin over all entries.
  void ScheduleArrivals(const std::string& service,
                        double requests_per_second,
                        microseconds length,
                        microseconds time_allowed);

  void RunFor(microseconds length);

  // Compares the outcomes reported to callers with what the runners executed;
  // returns a message for each violated invariant.
  std::vector<std::string> FindViolations() const;

  // Return the number of successful and of refused requests.
  int answered() const;
  int refused(RefusalReason reason) const;

  // Returns the number of sends per request that was sent at all.
  double sends_per_request() const;

  SimulatedClock clock;
  FakeRunners runners;
  FakeKeyStore keys;
  std::vector<std::unique_ptr<FakeEntry>> entries;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_TESTS_ROUTING_FAKE_CLUSTER_H_
