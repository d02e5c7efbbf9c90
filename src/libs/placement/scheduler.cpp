#include "placement/scheduler.h"

#include <algorithm>
#include <utility>

#include "placement/event_handler_p.h"
#include "placement/knowledge_p.h"
#include "placement/learned_interference.h"
#include "placement/learned_usage.h"
#include "placement/scheduler_core_p.h"

namespace papayadrift::placement {

namespace {

int UrgentClaimsInFlight(const WorkerState& worker) {
  return static_cast<int>(
      std::ranges::count_if(worker.tasks, [](const TaskState* task) {
        return task->is_in_flight && task->job->is_urgent;
      }));
}

WorkerView ViewOf(const WorkerState& worker) {
  return {.worker = worker.id,
          .incarnation = worker.incarnation,
          .capacity = worker.capacity,
          .reserved = worker.reserved,
          .committed = worker.committed,
          .held = worker.held,
          .tasks = worker.tasks.size(),
          .claims_in_flight = worker.claims_in_flight,
          .urgent_claims_in_flight = UrgentClaimsInFlight(worker),
          .is_up = worker.phase == WorkerPhase::kUp,
          .is_quarantined = worker.health.is_quarantined(),
          .failure_evidence = worker.health.evidence()};
}

}  // namespace

class Scheduler::Handler {
 public:
  Handler(const Settings& settings,
          UsageModel& usage,
          InterferenceModel& interference)
      : core(settings, usage, interference), events(core) {}

  SchedulerCore core;
  EventHandler events;
};

Scheduler::Scheduler(const Settings& settings,
                     std::unique_ptr<UsageModel> usage,
                     std::unique_ptr<InterferenceModel> interference)
    : usage_(std::move(usage)),
      interference_(std::move(interference)),
      handler_(std::make_unique<Handler>(settings, *usage_, *interference_)) {}

Scheduler::~Scheduler() = default;

std::vector<Action> Scheduler::Handle(Instant now, const Event& event) {
  SchedulerCore& core = handler_->core;
  core.now = std::max(core.now, now);
  ++core.counters.events;
  handler_->events.Handle(event);
  return std::exchange(core.actions, {});
}

Decision Scheduler::Explain(const TaskId& task) const {
  const SchedulerCore& core = handler_->core;
  if (const TaskState* state = core.jobs.Find(task)) {
    const bool is_waiting = state->phase == TaskPhase::kPending;
    return is_waiting ? Decision(state->job->wait_state) : state->decision;
  }
  const JobState* job = core.jobs.Find(task.job);
  const bool is_fresh = job != nullptr &&
                        task.index < job->was_claimed.size() &&
                        !job->was_claimed[task.index];
  return is_fresh ? Decision(job->wait_state) : Decision(NotDecided());
}

std::optional<WorkerView> Scheduler::View(const WorkerId& worker) const {
  const WorkerState* state = std::as_const(handler_->core).fleet.Find(worker);
  return state == nullptr ? std::nullopt : std::optional(ViewOf(*state));
}

std::vector<WorkerView> Scheduler::workers() const {
  std::vector<WorkerView> views;
  std::ranges::transform(handler_->core.fleet.workers(),
                         std::back_inserter(views),
                         [](const auto& worker) { return ViewOf(*worker); });
  return views;
}

std::vector<TeamView> Scheduler::teams() const {
  return handler_->core.teams.Views();
}

const Counters& Scheduler::counters() const {
  return handler_->core.counters;
}

records::KnowledgeNoted Scheduler::Knowledge() const {
  return ExportKnowledge(handler_->core);
}

size_t Scheduler::tasks() const {
  return handler_->core.jobs.tasks();
}

size_t Scheduler::jobs() const {
  return handler_->core.jobs.jobs().size();
}

std::unique_ptr<Scheduler> MakeLearningScheduler(const Settings& settings) {
  return std::make_unique<Scheduler>(settings, std::make_unique<LearnedUsage>(),
                                     std::make_unique<LearnedInterference>());
}

}  // namespace papayadrift::placement
