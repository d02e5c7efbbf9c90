#ifndef PAPAYADRIFT_PLACEMENT_SCHEDULER_H_
#define PAPAYADRIFT_PLACEMENT_SCHEDULER_H_

#include <memory>
#include <optional>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "placement/action.h"
#include "placement/counters.h"
#include "placement/decision.h"
#include "placement/event.h"
#include "placement/interference_model.h"
#include "placement/settings.h"
#include "placement/usage_model.h"
#include "placement/views.h"

namespace papayadrift::placement {

// Places batch work on workers beside services. It only proposes: what took
// effect is decided elsewhere and told back as events. Does no I/O, reads no
// clock, and draws random numbers only from the seed of its settings. Not for
// use by several threads at once.
class Scheduler {
 public:
  Scheduler(const Settings& settings,
            std::unique_ptr<UsageModel> usage,
            std::unique_ptr<InterferenceModel> interference);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Takes in one event at `now`, which never falls, and returns what to do.
  std::vector<Action> Handle(Instant now, const Event& event);

  // Returns why the task is where it is.
  Decision Explain(const TaskId& task) const;
  std::optional<WorkerView> View(const WorkerId& worker) const;
  std::vector<WorkerView> workers() const;
  std::vector<TeamView> teams() const;
  const Counters& counters() const;
  // Returns what was learned of kinds and services, for schedulers that come
  // after this one.
  records::KnowledgeNoted Knowledge() const;
  // Returns how many tasks were claimed and have not ended.
  size_t tasks() const;
  size_t jobs() const;

 private:
  class Handler;

  const std::unique_ptr<UsageModel> usage_;
  const std::unique_ptr<InterferenceModel> interference_;
  const std::unique_ptr<Handler> handler_;
};

// Returns a scheduler that learns use and interference from reports.
std::unique_ptr<Scheduler> MakeLearningScheduler(const Settings& settings);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_SCHEDULER_H_
