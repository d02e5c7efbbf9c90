#include "jobs/runner_choice.h"

#include <algorithm>
#include <ranges>

#include "jobs/pace_plan.h"
#include "jobs/serving_groups.h"

namespace papayadrift::jobs {
namespace {

// Slowness up to this factor is within the normal variation of task durations.
constexpr double kToleratedSlowness = 1.4;

double CapacityOf(const Runner& runner) {
  return static_cast<double>(
      std::max<int64_t>(1, runner.report.capacity.millicores));
}

double Excess(const Runner& runner,
              const Interference& interference,
              const PaceSettings& pacing,
              const Step& step) {
  return ExcessWithFiller(
      runner, interference, pacing, step.image,
      static_cast<double>(step.need.millicores) / CapacityOf(runner));
}

// Returns whether the runner has the capacity that the step needs.
bool HasRoom(const Runner& runner, const Step& step, bool has_waited) {
  Resources need = step.need;
  const Resources free = runner.report.capacity - runner.Used();
  if (!step.is_filler) {
    return FitsIn(need, free);
  }
  need.millicores = 0;
  return FitsIn(need, free) &&
         (has_waited || step.need.millicores <= MillicoresForFillers(runner));
}

// Returns the part of the cost of a task that is not serving that depends on
// the load of the runner; the other parts only add to it.
double LoadCost(const Runner& runner, const Step& step) {
  const int64_t load = runner.Used().millicores + runner.FillerMillicores() +
                       step.need.millicores;
  return static_cast<double>(load) / CapacityOf(runner);
}

double ServingCost(const Runner& runner,
                   const Interference& interference,
                   const PlacementCosts& costs,
                   const Step& step) {
  const double capacity = CapacityOf(runner);
  const int64_t serving = runner.runs.totals().serving_millicores;
  const bool has_same_image = std::ranges::any_of(
      runner.runs | std::views::values, [&](const Run& run) {
        return run.is_serving && run.image == step.image;
      });
  const double fillers =
      static_cast<double>(runner.FillerMillicores()) / capacity;
  double cost = costs.slowed_fillers * fillers;
  if (serving == 0) {
    cost += costs.first_serving;
  } else if (!has_same_image && !interference.HasEvidenceOf(step.image)) {
    cost += costs.other_image;
  }
  cost += costs.lost_to_fillers *
          (UsableByFillers(runner, interference) -
           UsableByFillersWith(runner, interference, step.image, step.need));
  return cost -
         costs.serving_share_gain * static_cast<double>(serving) / capacity;
}

// Returns whether a crash after the start of the task could be put down to the
// task, and one after an isolated start on the runner to that.
bool CanAttributeCrash(const Runner& runner,
                       const PlacementRequest& request,
                       Instant now) {
  if (!request.is_isolated && !runner.IsIsolating(now)) {
    return true;
  }
  const TaskKey record = CrashRecordOf(request.task, request.step->is_gang);
  if (runner.IsReservedForOther(record, now)) {
    return false;
  }
  if (request.may_wait_for_isolation) {
    return true;
  }
  return std::ranges::none_of(runner.runs, [&](const auto& item) {
    const auto& [task, run] = item;
    return (request.is_isolated || run.is_isolated) && !run.IsSettled(now) &&
           CrashRecordOf(task, run.is_gang) != record;
  });
}

// Returns the cost of places for large tasks that a short task takes away. That
// of fillers and long-running tasks is 0: interference decides where they go.
double FragmentationCost(const Runner& runner,
                         const FragmentationPolicy& policy,
                         const PlacementRequest& request) {
  const Step& step = *request.step;
  if (request.large_sizes == nullptr || step.is_filler ||
      step.is_long_running) {
    return 0;
  }
  return policy.lost_place *
         static_cast<double>(LostPlaces(*request.large_sizes,
                                        runner.report.capacity - runner.Used(),
                                        step.need, policy.min_ratio));
}

double Cost(const Runner& runner,
            const Interference& interference,
            const PolicySettings& policy,
            const PlacementRequest& request,
            uint32_t same_step) {
  const PlacementCosts& costs = policy.placement;
  const Step& step = *request.step;
  double cost = 0;
  if (step.tail_target_ms > 0) {
    cost += ServingCost(runner, interference, costs, step);
  } else {
    cost += LoadCost(runner, step);
    cost += FragmentationCost(runner, policy.scarcity.fragmentation, request);
  }
  cost += costs.same_step * same_step;
  cost += costs.failure * runner.failure_streak;
  cost += costs.slowness * std::max(0.0, runner.slowness - kToleratedSlowness);
  if (!step.preferred_rack.empty() && !runner.HasLabel(step.preferred_rack)) {
    cost += costs.wrong_rack;
  }
  if (request.avoided == runner.report.incarnation) {
    cost += costs.avoided;
  }
  if (step.is_filler) {
    cost += costs.excess * Excess(runner, interference, policy.pacing, step);
  }
  return cost;
}

// Returns whether the runner's capacity is reserved for another step.
bool IsHeldBack(const Runner& runner,
                const PlacementRequest& request,
                Instant now) {
  return runner.capacity_reservation &&
         !MayUseReserved(*runner.capacity_reservation, request.task,
                         ReservableNeed(*request.step), request.claim, now);
}

// Returns whether the runner may have room for a task that it had none for at
// the time of `attempt`.
bool MayHaveOpened(const Runner& runner, const PlacementAttempt& attempt) {
  return runner.changed_at > attempt.fleet_changes ||
         runner.suspended_until > attempt.at ||
         runner.failing_until > attempt.at ||
         runner.reserved_until > attempt.at || runner.capacity_reservation ||
         runner.runs.totals().has_isolated;
}

}  // namespace

bool AcceptsRuns(const Runner& runner,
                 const std::string& service,
                 Instant now) {
  return runner.has_report && runner.report.service == service &&
         runner.report.state == RunnerState::kReady && !runner.is_evacuated &&
         now - runner.reported_at <= kMaxReportAge &&
         runner.lease_expires_at > now && now >= runner.suspended_until &&
         now >= runner.failing_until && runner.released.empty() &&
         runner.lease_refusal != LeaseRefusal::kOldLists &&
         runner.lease_refusal != LeaseRefusal::kUnreachable &&
         runner.lease_refusal != LeaseRefusal::kUnconfirmedStop;
}

double PlacementCost(const Runner& runner,
                     const Interference& interference,
                     const PolicySettings& policy,
                     const PlacementRequest& request) {
  return Cost(runner, interference, policy, request,
              runner.runs.CountOfStep(request.task));
}

const Runner* ChooseRunner(const Fleet& fleet,
                           const Interference& interference,
                           const PolicySettings& policy,
                           const PlacementRequest& request,
                           Instant now) {
  const Step& step = *request.step;
  const Runner* best = nullptr;
  double best_cost = 0;
  for (const Runner& runner : fleet.runners() | std::views::values) {
    if (request.failed_attempt &&
        !MayHaveOpened(runner, *request.failed_attempt)) {
      continue;
    }
    ++runner.considerations;
    if (!AcceptsRuns(runner, request.service, now) ||
        (!step.required_label.empty() &&
         !runner.HasLabel(step.required_label)) ||
        !HasRoom(runner, step, request.has_waited) ||
        (best != nullptr && step.tail_target_ms == 0 &&
         LoadCost(runner, step) >= best_cost) ||
        (step.is_filler &&
         (StopsAllFillers(runner, policy.pacing, now) ||
          (!request.has_waited &&
           Excess(runner, interference, policy.pacing, step) > 0))) ||
        !CanAttributeCrash(runner, request, now)) {
      continue;
    }
    const uint32_t same_step = runner.runs.CountOfStep(request.task);
    if (step.max_per_runner > 0 && same_step >= step.max_per_runner) {
      continue;
    }
    if (IsHeldBack(runner, request, now)) {
      if (request.held_back_from != nullptr) {
        *request.held_back_from = &runner;
      }
      continue;
    }
    const double cost = Cost(runner, interference, policy, request, same_step);
    if (best == nullptr || cost < best_cost) {
      best = &runner;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace papayadrift::jobs
