// The part of JobScheduler that keeps places for large tasks. Answers
// long-running work that requests nearly all processors: short tasks and
// fillers take each piece of a large place as it becomes free.

#include <algorithm>
#include <optional>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

#include "base/lookup.h"
#include "jobs/backfill.h"
#include "jobs/capacity_forecast.h"
#include "jobs/job_scheduler.h"
#include "jobs/ready_step.h"
#include "jobs/runner_choice.h"

namespace papayadrift::jobs {
namespace {

// How long a step for which no runner could be reserved isn't considered again,
// so that steps that fit nowhere don't take the turns of others.
constexpr milliseconds kRetryPeriod(1000);

// Returns the runner's capacity without what serving tasks hold: an upper bound
// of what its short runs can free.
bool CouldFit(const Runner& runner, const Resources& need) {
  Resources available = runner.report.capacity;
  available.millicores -= runner.runs.totals().serving_millicores;
  return FitsIn(need, available);
}

bool IsLarge(const Step& step, const Resources& capacity, double min_share) {
  const auto is_share = [min_share](int64_t need, int64_t all) {
    return static_cast<double>(need) >= min_share * static_cast<double>(all);
  };
  return step.is_long_running ||
         is_share(step.need.millicores, capacity.millicores) ||
         is_share(step.need.memory_mebibytes, capacity.memory_mebibytes);
}

}  // namespace

BackfillClaim JobScheduler::ClaimOf(const ReadyStep& ready,
                                    const WaitingStep& waiting,
                                    Instant now) const {
  const Step& step = ready.entry->job.steps[ready.step];
  BackfillClaim claim;
  claim.priority = ready.queue->priority;
  if (!step.is_long_running) {
    claim.expected =
        milliseconds(ready.entry->means[ready.step]->Expect(step.estimated_ms));
    claim.is_urgent = !step.is_filler &&
                      now - waiting.since >=
                          settings_.policy.scarcity.reservations.urgent_wait;
  }
  return claim;
}

void JobScheduler::NoteLargeSizes(const std::vector<ReadyStep>& ready,
                                  Instant now) {
  const FragmentationPolicy& policy = settings_.policy.scarcity.fragmentation;
  if (!policy.is_enabled) {
    return;
  }
  for (const ReadyStep& it : ready) {
    const Step& step = it.entry->job.steps[it.step];
    if (!step.is_filler && !it.rank.is_past_cutoff) {
      large_sizes_[it.queue->service].Add(step.need, now);
    }
  }
  for (LargeSizes& sizes : large_sizes_ | std::views::values) {
    sizes.RemoveBefore(now - policy.retention);
  }
}

void JobScheduler::OnHeldBack(const TaskKey& task,
                              const Runner& runner,
                              WaitingStep& waiting) {
  if (std::exchange(waiting.is_held_back, true)) {
    return;
  }
  ++reservation_counts_.held_back;
  Emit(JobSchedulerEvent::Kind::kTaskHeldBack, ToText(task), 0,
       ToText(runner.report.incarnation),
       "The runner has room that is reserved for " +
           ToText(runner.capacity_reservation->step) + ".");
}

void JobScheduler::EndReservation(Runner& runner,
                                  uint64_t ReservationCounts::* count,
                                  std::string reason) {
  const TaskKey step = runner.capacity_reservation->step;
  runner.capacity_reservation.reset();
  fleet_.MarkChanged(runner);
  ++(reservation_counts_.*count);
  if (Entry* entry = FindOrNull(jobs_, step.job)) {
    WaitingStep* waiting =
        FindOrNull(entry->waiting, {step.occurrence, step.step});
    if (waiting != nullptr && waiting->reservations > 0) {
      --waiting->reservations;
    }
  }
  Emit(count == &ReservationCounts::used
           ? JobSchedulerEvent::Kind::kReservationUsed
           : JobSchedulerEvent::Kind::kReservationEnded,
       ToText(step), 0, ToText(runner.report.incarnation), std::move(reason));
}

void JobScheduler::GiveUpReservation(Runner& runner,
                                     std::string reason,
                                     Instant now) {
  runner.unreserved_step = runner.capacity_reservation->step;
  runner.unreserved_until = now + settings_.policy.scarcity.reservations.pause;
  EndReservation(runner, &ReservationCounts::given_up, std::move(reason));
}

void JobScheduler::OnClaimBesideReservation(Runner& runner,
                                            const TaskKey& task,
                                            const ReadyStep& ready,
                                            const BackfillClaim& claim,
                                            Instant now) {
  CapacityReservation& reservation = *runner.capacity_reservation;
  if (StepOf(task) == reservation.step) {
    const auto waited =
        std::chrono::floor<milliseconds>(now - reservation.made_at);
    EndReservation(
        runner, &ReservationCounts::used,
        "It was reserved for " + std::to_string(waited.count()) + " ms.");
    return;
  }
  ++reservation_counts_.backfilled;
  OnBackfilled(reservation, ReservableNeed(ready.entry->job.steps[ready.step]),
               claim, now);
}

void JobScheduler::ReviewReservation(Runner& runner, Instant now) {
  CapacityReservation& reservation = *runner.capacity_reservation;
  const TaskKey& step = reservation.step;
  Entry* entry = FindOrNull(jobs_, step.job);
  const bool is_kept = entry != nullptr && open_.contains(step.job) &&
                       IsKept(entry->progress, step.occurrence);
  const uint32_t waiting =
      is_kept ? OccurrenceTallyOf(*entry, step.occurrence)[step.step].waiting
              : 0;
  if (waiting == 0 ||
      entry->waiting[{step.occurrence, step.step}].reservations > waiting) {
    EndReservation(runner, &ReservationCounts::released,
                   "The task waits no longer.");
    return;
  }
  if (!AcceptsRuns(runner, runner.report.service, now)) {
    GiveUpReservation(runner, "The runner accepts no runs.", now);
    return;
  }
  if (now >= reservation.expires_at) {
    GiveUpReservation(runner, "The capacity has not become free in time.", now);
    return;
  }
  const CapacityForecast forecast = ForecastOf(runner, now);
  ++reservation_counts_.forecasts;
  const std::optional<CapacityStep> fit =
      EarliestFit(forecast, reservation.need);
  if (!fit) {
    GiveUpReservation(runner, "The task will not fit on the runner.", now);
    return;
  }
  reservation.due = std::min(reservation.due, fit->at);
  reservation.spare = FreeAt(forecast, reservation.due) - reservation.need;
}

void JobScheduler::ReviewReservations(Instant now) {
  const ReservationPolicy& policy = settings_.policy.scarcity.reservations;
  if (!policy.is_enabled || now - reviewed_at_ < policy.period) {
    return;
  }
  reviewed_at_ = now;
  for (Runner& runner : fleet_.runners() | std::views::values) {
    if (runner.capacity_reservation) {
      ReviewReservation(runner, now);
    }
  }
}

JobScheduler::ReservableFleet JobScheduler::ReservableFleetOf(
    const std::string& service,
    Instant now) const {
  size_t all = 0;
  size_t reserved = 0;
  ReservableFleet result;
  for (const Runner& runner : fleet_.runners() | std::views::values) {
    if (AcceptsRuns(runner, service, now)) {
      ++all;
      reserved += runner.capacity_reservation ? 1 : 0;
      result.mean_capacity = result.mean_capacity + runner.report.capacity;
    }
  }
  if (all == 0) {
    return result;
  }
  const auto count = static_cast<int64_t>(all);
  result.mean_capacity.millicores /= count;
  result.mean_capacity.memory_mebibytes /= count;
  result.mean_capacity.accelerators /= count;
  const auto allowed = std::max<size_t>(
      1, static_cast<size_t>(
             settings_.policy.scarcity.reservations.max_reserved_part *
             static_cast<double>(all)));
  result.reservations_left = allowed > reserved ? allowed - reserved : 0;
  return result;
}

size_t JobScheduler::ReserveCapacity(const ReadyStep& ready,
                                     size_t max_count,
                                     WaitingStep& waiting,
                                     Instant now) {
  struct Candidate {
    Runner* runner = nullptr;
    CapacityStep fit;
    int64_t delay = 0;  // After the earliest, in units of equal times.
    double cost = 0;
  };
  const ReservationPolicy& policy = settings_.policy.scarcity.reservations;
  const Step& step = ready.entry->job.steps[ready.step];
  const PlacementRequest request{{*ready.id, ready.occurrence, ready.step, 0},
                                 &step,
                                 ready.queue->service,
                                 std::nullopt};
  std::vector<Candidate> candidates;
  for (Runner& runner : fleet_.runners() | std::views::values) {
    const bool is_paused =
        runner.unreserved_step == request.task && now < runner.unreserved_until;
    if (runner.capacity_reservation || is_paused ||
        !AcceptsRuns(runner, request.service, now) ||
        (!step.required_label.empty() &&
         !runner.HasLabel(step.required_label)) ||
        !CouldFit(runner, step.need) ||
        (step.max_per_runner > 0 &&
         runner.runs.CountOfStep(request.task) >= step.max_per_runner)) {
      continue;
    }
    ++reservation_counts_.forecasts;
    const auto fit = EarliestFit(ForecastOf(runner, now), step.need);
    if (fit && fit->at <= now + policy.horizon) {
      candidates.push_back({&runner, *fit, 0, 0});
    }
  }
  if (candidates.empty()) {
    return 0;
  }
  const auto time_of = [](const Candidate& it) { return it.fit.at; };
  const Instant earliest =
      std::ranges::min(candidates | std::views::transform(time_of));
  for (Candidate& it : candidates) {
    it.delay = (it.fit.at - earliest) / policy.equal_times;
    it.cost =
        PlacementCost(*it.runner, interference_, settings_.policy, request);
  }
  std::ranges::stable_sort(candidates, {}, [](const Candidate& it) {
    return std::pair(it.delay, it.cost);
  });
  candidates.resize(std::min(candidates.size(), max_count));
  for (const Candidate& it : candidates) {
    const Instant latest = it.fit.at + policy.max_delay;
    it.runner->capacity_reservation =
        CapacityReservation{request.task,
                            step.need,
                            ready.queue->priority,
                            now,
                            it.fit.at,
                            it.fit.free - step.need,
                            latest,
                            latest + policy.max_overdue};
    ++waiting.reservations;
    ++reservation_counts_.made;
    Emit(JobSchedulerEvent::Kind::kCapacityReserved, ToText(request.task), 0,
         ToText(it.runner->report.incarnation),
         ToText(step.need) + " are expected to be free in " +
             std::to_string(
                 std::chrono::ceil<milliseconds>(it.fit.at - now).count()) +
             " ms.");
  }
  return candidates.size();
}

void JobScheduler::MakeReservations(const std::vector<ReadyStep>& ready,
                                    Instant now) {
  const ReservationPolicy& policy = settings_.policy.scarcity.reservations;
  if (!policy.is_enabled || now - reserved_at_ < policy.period) {
    return;
  }
  reserved_at_ = now;
  std::map<std::string, ReservableFleet> fleets;
  uint32_t considered = 0;
  for (const ReadyStep& it : ready) {
    const Step& step = it.entry->job.steps[it.step];
    WaitingStep* waiting =
        FindOrNull(it.entry->waiting, {it.occurrence, it.step});
    if (step.is_filler || step.is_gang || it.rank.is_past_cutoff ||
        it.tally.has_crashed || waiting == nullptr ||
        now - waiting->since < policy.min_wait ||
        now < waiting->reservable_at) {
      continue;
    }
    const uint32_t tasks =
        OccurrenceTallyOf(*it.entry, it.occurrence)[it.step].waiting;
    if (tasks <= waiting->reservations) {
      continue;
    }
    const auto [found, is_new] = fleets.try_emplace(it.queue->service);
    ReservableFleet& fleet = found->second;
    if (is_new) {
      fleet = ReservableFleetOf(it.queue->service, now);
    }
    if (fleet.reservations_left == 0 ||
        !IsLarge(step, fleet.mean_capacity, policy.min_share)) {
      continue;
    }
    const size_t made =
        ReserveCapacity(it,
                        std::min<size_t>(fleet.reservations_left,
                                         tasks - waiting->reservations),
                        *waiting, now);
    fleet.reservations_left -= made;
    if (made == 0) {
      waiting->reservable_at = now + kRetryPeriod;
    }
    if (++considered >= policy.steps_per_pass) {
      return;
    }
  }
}

}  // namespace papayadrift::jobs
