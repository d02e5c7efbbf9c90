#ifndef PAPAYADRIFT_TESTS_ROUTING_FAKE_RUNNERS_H_
#define PAPAYADRIFT_TESTS_ROUTING_FAKE_RUNNERS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include <pcg_random.hpp>

#include "routing/actions.h"
#include "routing/events.h"
#include "simulated_clock.h"

namespace papayadrift::routing {

// How a fake runner handles one send.
enum class FakeBehavior {
  kServe,
  kFailFast,  // Immediate complete response with status 500; not executed.
  kNotConnected,
  kDisconnectBefore,  // Connection lost before execution.
  kDisconnectDuring,  // Executed, connection lost halfway through.
  kTruncate,          // Executed, response body truncated.
  // Executed, but the response has the identity of another request.
  kWrongIdentity,
  kDuplicateAnswer,  // Executed once, response sent twice.
  kNoAnswer,         // Executed, no response.
  kStopAtDeadline,   // Started, stopped at the deadline with status 504.
};

// Work executed for a send: the response contains `name`; executions of both
// names are counted.
struct FakeWork {
  std::string name;
  std::string request_name;
  ZoneId from;  // Availability zone of the sending entry.
};

struct FakeRunner {
  ZoneId zone;
  int slots = 8;
  double mean_microseconds = 10'000;  // Mean of the log-normal service time.
  double sigma = 0.5;
  int busy = 0;
  int peak_busy = 0;
  int connections = 0;
  int peak_connections = 0;
  size_t peak_backlog = 0;
  Instant last_arrival;
  int64_t busy_microseconds = 0;
  std::deque<std::function<void()>> backlog;
};

// Runners that execute requests in simulated time and record the executions.
class FakeRunners {
 public:
  using Report = std::function<void(Event)>;
  using Choose = std::function<FakeBehavior(const Send&)>;

  FakeRunners(SimulatedClock& clock, uint64_t seed);

  FakeRunner& runner(const std::string& address) { return runners_[address]; }
  const std::map<std::string, FakeRunner>& runners() const { return runners_; }

  // Sets the function that selects the behavior for each send; by default all
  // are served.
  void SetBehavior(Choose choose) { choose_ = std::move(choose); }

  // Sets the factor on all service times from now on.
  void SetServiceTimeFactor(double factor) { service_time_factor_ = factor; }

  // Sets a function that returns a factor on the service time of each request.
  void SetOutlierFactor(std::function<double()> factor) {
    outlier_factor_ = std::move(factor);
  }

  // Sets whether runners stop processing a request at its deadline and respond
  // with status 504.
  void SetEnforcesDeadlines(bool enforces) { enforces_deadlines_ = enforces; }

  // Sets the one-way delay between availability zones.
  void SetZoneDelay(microseconds delay) { zone_delay_ = delay; }

  // Transmits a send over the network; reports its result once, or more often
  // for kDuplicateAnswer.
  void Take(const Send& send, const FakeWork& work, const Report& report);

  // Returns the number of executions of the work with this name or request
  // name.
  int executions(const std::string& name) const;
  int total_sends() const { return total_sends_; }

 private:
  void Execute(const Send& send,
               const FakeWork& work,
               FakeBehavior behavior,
               const Report& report);
  void Start(const std::string& address,
             microseconds length,
             std::function<void()> done);
  void Finish(const std::string& address);
  void ReportEnd(const Send& send,
                 const FakeWork& work,
                 FakeBehavior behavior,
                 const Report& report);
  microseconds OneWay(const std::string& address, const FakeWork& work);
  microseconds ServiceTime(const FakeRunner& runner);

  SimulatedClock& clock_;
  pcg32 random_;
  std::map<std::string, FakeRunner> runners_;
  std::map<std::string, int> executions_;
  Choose choose_ = [](const Send&) { return FakeBehavior::kServe; };
  double service_time_factor_ = 1;
  std::function<double()> outlier_factor_ = [] { return 1; };
  bool enforces_deadlines_ = false;
  microseconds zone_delay_{500};
  int total_sends_ = 0;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_TESTS_ROUTING_FAKE_RUNNERS_H_
