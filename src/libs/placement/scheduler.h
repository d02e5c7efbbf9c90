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

// Places batch tasks on workers that also run services. The scheduler only
// proposes; the outcome is decided elsewhere and reported back as events. Does
// no I/O, reads no clock, and derives random numbers only from the seed in its
// settings. Not thread-safe.
class Scheduler {
 public:
  Scheduler(const Settings& settings,
            std::unique_ptr<UsageModel> usage,
            std::unique_ptr<InterferenceModel> interference);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Handles one event at `now`, which never decreases, and returns the actions
  // to carry out.
  std::vector<Action> Handle(Instant now, const Event& event);

  // Returns the last decision about the task.
  Decision Explain(const TaskId& task) const;
  std::optional<WorkerView> View(const WorkerId& worker) const;
  std::vector<WorkerView> workers() const;
  std::vector<TeamView> teams() const;
  const Counters& counters() const;
  // Returns what was learned of kinds and services, for later schedulers.
  records::KnowledgeNoted Knowledge() const;
  // Returns the number of tasks that were claimed and have not ended.
  size_t tasks() const;
  size_t jobs() const;

 private:
  class Handler;

  const std::unique_ptr<UsageModel> usage_;
  const std::unique_ptr<InterferenceModel> interference_;
  const std::unique_ptr<Handler> handler_;
};

// Returns a scheduler that learns usage and interference from reports.
std::unique_ptr<Scheduler> MakeLearningScheduler(const Settings& settings);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_SCHEDULER_H_
