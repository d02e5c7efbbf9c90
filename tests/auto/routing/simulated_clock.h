#ifndef PAPAYADRIFT_TESTS_ROUTING_SIMULATED_CLOCK_H_
#define PAPAYADRIFT_TESTS_ROUTING_SIMULATED_CLOCK_H_

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "base/instant.h"
#include "routing/events.h"

namespace papayadrift::routing {

// Simulated time: runs scheduled functions in order of time.
class SimulatedClock {
 public:
  Instant now() const { return now_; }
  EventTime event_time() const {
    return {now_, WallInstant(std::chrono::duration_cast<milliseconds>(
                      now_.time_since_epoch()))};
  }

  void At(Instant at, std::function<void()> run) {
    scheduled_.emplace(std::max(at, now_), std::move(run));
  }

  // Runs everything that is scheduled up to `until`.
  void RunUntil(Instant until) {
    while (!scheduled_.empty() && scheduled_.begin()->first <= until) {
      const auto next = scheduled_.extract(scheduled_.begin());
      now_ = next.key();
      next.mapped()();
    }
    now_ = std::max(now_, until);
  }

 private:
  Instant now_{seconds(1000)};
  std::multimap<Instant, std::function<void()>> scheduled_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_TESTS_ROUTING_SIMULATED_CLOCK_H_
