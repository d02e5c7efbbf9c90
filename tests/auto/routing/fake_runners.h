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

// What a fake runner does with one send.
enum class FakeBehavior {
  kServe,
  kFailFast,  // A whole answer with status 500 at once; nothing executed.
  kNotConnected,
  kDisconnectBefore,  // Connection lost before anything was executed.
  kDisconnectDuring,  // Executed, connection lost half-way.
  kTruncate,          // Executed, body truncated.
  kWrongIdentity,     // Executed, but answers with another request's identity.
  kDuplicateAnswer,   // Executed once, answers twice.
  kNoAnswer,          // Executed, never answers.
  kStopAtDeadline,    // Begun, stopped at the deadline with an answer of status
                      // 504.
};

// What a send is to execute: `name` is answered, both are counted.
struct FakeWork {
  std::string name;
  std::string request_name;
  ZoneId from;  // Zone of the entry that sends it.
};

struct FakeRunner {
  ZoneId zone;
  int slots = 8;
  double mean_microseconds = 10'000;  // Lognormal service time.
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

// Runners that execute requests in manual time and remember what they did.
class FakeRunners {
 public:
  using Report = std::function<void(Event)>;
  using Choose = std::function<FakeBehavior(const Send&)>;

  FakeRunners(SimulatedClock& clock, uint64_t seed);

  FakeRunner& runner(const std::string& address) { return runners_[address]; }
  const std::map<std::string, FakeRunner>& runners() const { return runners_; }

  // Says what each send meets; all are served at first.
  void SetBehavior(Choose choose) { choose_ = std::move(choose); }

  // Multiplies all service times from now on.
  void SetServiceTimeFactor(double factor) { service_time_factor_ = factor; }

  // Multiplies the time of single requests by what `factor` returns.
  void SetOutlierFactor(std::function<double()> factor) {
    outlier_factor_ = std::move(factor);
  }

  // Has runners stop work at its deadline and answer with status 504 then.
  void SetEnforcesDeadlines(bool enforces) { enforces_deadlines_ = enforces; }

  // Sets the delay one way between availability zones.
  void SetZoneDelay(microseconds delay) { zone_delay_ = delay; }

  // Takes a send over the network; reports its end once, or more for
  // kDuplicateAnswer.
  void Take(const Send& send, const FakeWork& work, const Report& report);

  // Returns how often work of that name or sending was executed.
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
