#include "run.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>

#include "decision_log_replay.h"
#include "fake_fleet.h"

namespace papayadrift::placement {

namespace {

constexpr microseconds kStep = seconds(5);
constexpr int kSteps = 1440;
constexpr int kHalf = kSteps / 2;
constexpr int kStepsPerWave = 240;
constexpr double kStepsPerHour = 720;
constexpr int kStepsPerKnowledgeCheck = 12;  // A minute.
constexpr int kStepsPerRefresh = 120;        // Ten minutes.
constexpr double kSecondsPerHour = 3600;
constexpr std::array<double, 4> kZoneLoads = {0.85, 0.5, 0.25, 0.12};
constexpr double kPeakLoad = 0.85;
constexpr uint32_t kTasksPerJob = 4;
constexpr size_t kMaximumWaiting = 60;  // Jobs; more are not submitted.

// One run: the scheduler, the simulated fleet and the submitted jobs.
class SimulatedRun {
 public:
  SimulatedRun(SchedulerVariant variant,
               const CustomerWorkload& workload,
               const Scenario& scenario,
               uint64_t seed)
      : workload_(workload),
        scenario_(scenario),
        random_(seed),
        variant_(variant),
        seed_(seed),
        fleet_(workload, scenario, seed, variant == SchedulerVariant::kOracle),
        scheduler_(Make(variant, workload, kPeakLoad, seed)) {}

  Measures RunAllSteps() {
    Begin();
    for (int step = 0; step < kSteps; ++step) {
      now_ += kStep;
      InjectFaults(step);
      ReplaceEntries(step);
      SetLoads(step);
      SubmitJobs(step);
      Deliver(fleet_.Step(now_, kStep));
      Deliver({Tick()});
    }
    return Result();
  }

 private:
  void Begin() {
    DeliverPolicy();
    AnnounceWorkers();
  }

  void DeliverPolicy() {
    const TeamPolicy team = {TeamId("team"), {}, 1.0};
    const ServicePolicy service = {
        ServiceId("service"), CustomerId(workload_.name),
        microseconds(std::llround(10'000 * kTargetSlowdown))};
    const CustomerPolicy customer = {CustomerId(workload_.name),
                                     workload_.tail_weight,
                                     workload_.throughput_weight};
    Deliver({PolicyChanged{{{team}, {service}, {customer}}}});
  }

  void AnnounceWorkers() {
    for (size_t i = 0; i < fleet_.workers().size(); ++i) {
      Deliver({fleet_.Announcement(i)});
    }
  }

  // Replaces the scheduler by one initialized from the decision stream, in the
  // same order as in an entry that joins.
  void ReplaceEntries(int step) {
    if (!scenario_.replaces_entries) {
      return;
    }
    if (scenario_.keeps_knowledge && step % kStepsPerKnowledgeCheck == 0 &&
        step > 0) {
      log_replay_.NoteKnowledge(*scheduler_, step % kStepsPerRefresh == 0);
    }
    if (step != kHalf) {
      return;
    }
    scheduler_ = Make(variant_, workload_, kPeakLoad, seed_ + 1);
    fleet_.DropPendingGrants();
    fleet_.ResetMeasurements();
    start_seconds_.clear();
    DeliverPolicy();
    Deliver({log_replay_.Knowledge()});
    AnnounceWorkers();
    AssignWorkers(false);
    Deliver(log_replay_.Jobs());
    AssignWorkers(true);
  }

  void AssignWorkers(bool is_assigned) {
    for (const FakeWorker& worker : fleet_.workers()) {
      Deliver({WorkerAssigned{worker.id, is_assigned}});
    }
  }

  std::vector<Event> Execute(const Action& action) {
    const auto* claim = std::get_if<Claim>(&action);
    if (claim == nullptr) {
      return fleet_.Execute(now_, action);
    }
    const auto corrected = log_replay_.Corrected(*claim);
    if (!corrected) {
      return {ClaimRejected{claim->task, claim->attempt,
                            ClaimRejection::kTaskEnded}};
    }
    std::vector<Event> answers = fleet_.Execute(now_, Action(*corrected));
    for (Event& answer : answers) {
      if (auto* rejected = std::get_if<ClaimRejected>(&answer)) {
        rejected->attempt = claim->attempt;
      }
    }
    return answers;
  }

  void Deliver(std::vector<Event> events) {
    std::deque<Event> queue(events.begin(), events.end());
    while (!queue.empty()) {
      Event event = std::move(queue.front());
      queue.pop_front();
      log_replay_.Note(event);
      if (const auto* it = std::get_if<GrantConfirmed>(&event)) {
        event = GrantRecorded{it->task, it->attempt, it->grant};
      }
      if (const auto* started = std::get_if<TaskStarted>(&event);
          started != nullptr && started->attempt == Attempt(1)) {
        const auto it = submitted_at_.find(started->task.job);
        const microseconds waited = now_ - it->second;
        start_seconds_.push_back(static_cast<double>(waited.count()) / 1e6);
      }
      for (const Action& action : scheduler_->Handle(now_, event)) {
        const auto answers = Execute(action);
        queue.insert(queue.end(), answers.begin(), answers.end());
      }
    }
  }

  void SetLoads(int step) {
    constexpr int kShiftSteps = 120;
    const double shifted =
        scenario_.shifts_load
            ? std::clamp(double(step - kHalf) / kShiftSteps, 0.0, 1.0)
            : 0.0;
    for (size_t i = 0; i < fleet_.workers().size(); ++i) {
      const auto zone = static_cast<size_t>(fleet_.workers()[i].rack);
      const double before = kZoneLoads[zone];
      const double after = kZoneLoads[kZoneLoads.size() - 1 - zone];
      fleet_.SetLoad(i, before + shifted * (after - before));
    }
  }

  void InjectFaults(int step) {
    if (scenario_.cancels_most && step == kHalf) {
      for (const auto& [job, at] : submitted_at_) {
        if (random_(10) < 7) {
          Deliver({JobCancelled{job}});
        }
      }
    }
    if (scenario_.loses_rack && step == kHalf) {
      Deliver(fleet_.LoseRack(1));
    }
    if (scenario_.loses_rack && step == kHalf + kStepsPerWave) {
      Deliver(fleet_.ReturnRack(1));
    }
    if (scenario_.has_failing_worker) {
      fleet_.SetFailing(5, step >= kHalf / 2 && step < kHalf + kHalf / 2);
    }
  }

  // Submits work at the offered rate, in jobs of a few tasks.
  void SubmitJobs(int step) {
    const Resources room = workload_.worker - workload_.reserved;
    const double offered = workload_.offered * kWorkers *
                           static_cast<double>(room.millicores) / 1000.0 *
                           (static_cast<double>(kStep.count()) / 1e6);
    unsubmitted_core_seconds_ += offered;
    while (unsubmitted_core_seconds_ > 0) {
      const KindProfile& kind =
          workload_
              .kinds[random_(static_cast<uint32_t>(workload_.kinds.size()))];
      unsubmitted_core_seconds_ -= kTasksPerJob * kind.cores * kind.run_seconds;
      Submit(kind, kTasksPerJob, 0);
    }
    if (scenario_.has_noisy_waves && step % kStepsPerWave == kHalf / 4) {
      const KindProfile& noisy =
          *std::ranges::max_element(workload_.kinds, {}, &KindProfile::harm);
      Submit(noisy, 40, 1);
    }
  }

  void Submit(const KindProfile& kind, uint32_t tasks, int priority) {
    if (scheduler_->jobs() > kMaximumWaiting + 40) {
      return;
    }
    const JobId job(kind.kind.text() + ":" + std::to_string(next_job_++));
    submitted_at_[job] = now_;
    const double part = kind.declared_part;
    // No job declares more than half a worker.
    const auto most = static_cast<double>(workload_.worker.millicores) / 2;
    const auto most_memory =
        static_cast<double>(workload_.worker.memory_mebibytes) / 2;
    const Resources declared = {
        std::llround(std::min(most, 1000 * kind.cores * part)),
        std::llround(std::min(most_memory, kind.memory_mebibytes * part * 1.3)),
        0};
    Deliver({JobSubmitted{.job = job,
                          .customer = CustomerId(workload_.name),
                          .team = TeamId("team"),
                          .kind = kind.kind,
                          .tasks = tasks,
                          .declared = declared,
                          .declared_run = microseconds(
                              std::llround(1e6 * kind.run_seconds * part)),
                          .priority = priority,
                          .is_checkpointable = kind.is_checkpointable}});
  }

  Measures Result() {
    Measures result;
    const int measured = scenario_.replaces_entries ? kSteps - kHalf : kSteps;
    const double hours = measured / kStepsPerHour;
    result.p50_slowdown = fleet_.latencies().Slowdown(0.5);
    result.p99_slowdown = fleet_.latencies().Slowdown(0.99);
    result.p999_slowdown = fleet_.latencies().Slowdown(0.999);
    result.core_hours_per_hour =
        fleet_.finished_core_seconds() / kSecondsPerHour / hours;
    result.evictions_per_hour = static_cast<double>(fleet_.evictions()) / hours;
    result.lost_core_hours = fleet_.lost_core_seconds() / kSecondsPerHour;
    std::ranges::sort(start_seconds_);
    result.median_start_seconds =
        start_seconds_.empty() ? 0 : start_seconds_[start_seconds_.size() / 2];
    result.violations = fleet_.violations();
    return result;
  }

  const CustomerWorkload& workload_;
  const Scenario& scenario_;
  pcg64 random_;
  const SchedulerVariant variant_;
  const uint64_t seed_;
  FakeFleet fleet_;
  DecisionLogReplay log_replay_;
  std::unique_ptr<Scheduler> scheduler_;
  Instant now_{seconds(1)};
  std::map<JobId, Instant> submitted_at_;
  std::vector<double> start_seconds_;
  double unsubmitted_core_seconds_ = 0;
  int next_job_ = 0;
};

}  // namespace

Measures Run(SchedulerVariant variant,
             const CustomerWorkload& workload,
             const Scenario& scenario,
             uint64_t seed) {
  return SimulatedRun(variant, workload, scenario, seed).RunAllSteps();
}

}  // namespace papayadrift::placement
