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

// Returns the service over its runners, with this entry's share of the slots.
ServiceRoute FakeService(const std::string& name, int slot_share);

// Returns the service with the share that one of `entries` entries has: shares
// of all entries add up to the slots.
ServiceRoute SharedService(const std::string& name, int entry, int entries);

// Entries that share the runners of two services.
class FakeCluster {
 public:
  FakeCluster(int entry_count, RoutingSettings settings, uint64_t seed);

  // Schedules arrivals at an even rate, in turn at all entries.
  void ScheduleArrivals(const std::string& service,
                        double requests_per_second,
                        microseconds length,
                        microseconds time_allowed);

  void RunFor(microseconds length);

  // Compares what callers were told with what the runners executed; returns
  // a sentence for each broken promise.
  std::vector<std::string> FindViolations() const;

  // Returns how many callers had a whole good answer, and a refusal.
  int answered() const;
  int refused(RefusalReason reason) const;

  // Returns all sends over the requests that were sent at all.
  double sends_per_request() const;

  SimulatedClock clock;
  FakeRunners runners;
  FakeKeyStore keys;
  std::vector<std::unique_ptr<FakeEntry>> entries;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_TESTS_ROUTING_FAKE_CLUSTER_H_
