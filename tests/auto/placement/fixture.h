#ifndef PAPAYADRIFT_TESTS_PLACEMENT_FIXTURE_H_
#define PAPAYADRIFT_TESTS_PLACEMENT_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "placement/scheduler.h"

namespace papayadrift::placement {

// A scheduler with a manual clock and helpers to deliver events.
class Fixture {
 public:
  explicit Fixture(const Settings& settings = {});

  std::vector<Action> Handle(const Event& event);
  std::vector<Action> Pass(
      microseconds step);  // Advances the clock, then ticks.
  std::vector<Action> AddWorker(const std::string& worker,
                                const Resources& capacity,
                                const Resources& reserved = {});
  std::vector<Action> Submit(const JobSubmitted& job);
  // Accepts the claim and starts it.
  void Start(const Claim& claim);

  const Scheduler& scheduler() const { return *scheduler_; }
  Instant now() const { return now_; }

 private:
  Instant now_{seconds(1)};
  std::unique_ptr<Scheduler> scheduler_;
};

// Returns a job of team "team" and kind "kind" with default values.
JobSubmitted SomeJob(const std::string& id, uint32_t tasks, Resources declared);

template <typename T>
std::vector<T> Only(const std::vector<Action>& actions) {
  std::vector<T> held;
  for (const Action& action : actions) {
    if (const T* it = std::get_if<T>(&action)) {
      held.push_back(*it);
    }
  }
  return held;
}

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_TESTS_PLACEMENT_FIXTURE_H_
