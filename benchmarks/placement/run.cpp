#include "run.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>

#include "fake_fleet.h"
#include "replayed.h"

namespace papayadrift::placement {

namespace {

constexpr microseconds kStep = seconds(5);
constexpr int kSteps = 1440;
constexpr int kHalf = kSteps / 2;
constexpr int kStepsPerWave = 240;
constexpr double kStepsPerHour = 720;
constexpr int kStepsPerLook = 12;      // A minute.
constexpr int kStepsPerRefresh = 120;  // Ten minutes.
constexpr double kSecondsPerHour = 3600;
constexpr std::array<double, 4> kZoneLoads = {0.85, 0.5, 0.25, 0.12};
constexpr double kPeakLoad = 0.85;
constexpr uint32_t kTasksPerJob = 4;
constexpr size_t kMaximumWaiting = 60;  // Jobs; more are not submitted.

// One run: the scheduler, the fake fleet, and the jobs that come in.
class Course {
 public:
  Course(Contender contender,
         const CustomerTruth& truth,
         const Scenario& scenario,
         uint64_t seed)
      : truth_(truth),
        scenario_(scenario),
        random_(seed),
        contender_(contender),
        seed_(seed),
        fleet_(truth, scenario, seed, contender == Contender::kOracle),
        scheduler_(Make(contender, truth, kPeakLoad, seed)) {}

  Measures Go() {
    Begin();
    for (int step = 0; step < kSteps; ++step) {
      now_ += kStep;
      Disturb(step);
      ReplaceEntries(step);
      SetLoads(step);
      SubmitJobs(step);
      Tell(fleet_.Step(now_, kStep));
      Tell({Tick()});
    }
    return Result();
  }

 private:
  void Begin() {
    TellPolicy();
    AnnounceWorkers();
  }

  void TellPolicy() {
    const TeamPolicy team = {TeamId("team"), {}, 1.0};
    const ServicePolicy service = {
        ServiceId("service"), CustomerId(truth_.name),
        microseconds(std::llround(10'000 * kTargetSlowdown))};
    const CustomerPolicy customer = {
        CustomerId(truth_.name), truth_.tail_weight, truth_.throughput_weight};
    Tell({PolicyChanged{{{team}, {service}, {customer}}}});
  }

  void AnnounceWorkers() {
    for (size_t i = 0; i < fleet_.workers().size(); ++i) {
      Tell({fleet_.Announcement(i)});
    }
  }

  // The scheduler is replaced by one that is told what the decision stream
  // holds, in the order of an entry that joins.
  void ReplaceEntries(int step) {
    if (!scenario_.replaces_entries) {
      return;
    }
    if (scenario_.keeps_knowledge && step % kStepsPerLook == 0 && step > 0) {
      replayed_.NoteKnowledge(*scheduler_, step % kStepsPerRefresh == 0);
    }
    if (step != kHalf) {
      return;
    }
    scheduler_ = Make(contender_, truth_, kPeakLoad, seed_ + 1);
    fleet_.DropOrders();
    fleet_.MeasureAnew();
    start_seconds_.clear();
    TellPolicy();
    Tell({replayed_.Knowledge()});
    AnnounceWorkers();
    AssignWorkers(false);
    Tell(replayed_.Jobs());
    AssignWorkers(true);
  }

  void AssignWorkers(bool is_assigned) {
    for (const FakeWorker& worker : fleet_.workers()) {
      Tell({WorkerAssigned{worker.id, is_assigned}});
    }
  }

  std::vector<Event> Obey(const Action& action) {
    const auto* claim = std::get_if<Claim>(&action);
    if (claim == nullptr) {
      return fleet_.Obey(now_, action);
    }
    const auto corrected = replayed_.Corrected(*claim);
    if (!corrected) {
      return {ClaimRejected{claim->task, claim->attempt,
                            ClaimRejection::kTaskEnded}};
    }
    std::vector<Event> answers = fleet_.Obey(now_, Action(*corrected));
    for (Event& answer : answers) {
      if (auto* rejected = std::get_if<ClaimRejected>(&answer)) {
        rejected->attempt = claim->attempt;
      }
    }
    return answers;
  }

  void Tell(std::vector<Event> events) {
    std::deque<Event> queue(events.begin(), events.end());
    while (!queue.empty()) {
      Event event = std::move(queue.front());
      queue.pop_front();
      replayed_.Note(event);
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
        const auto answers = Obey(action);
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

  void Disturb(int step) {
    if (scenario_.cancels_most && step == kHalf) {
      for (const auto& [job, at] : submitted_at_) {
        if (random_(10) < 7) {
          Tell({JobCancelled{job}});
        }
      }
    }
    if (scenario_.loses_rack && step == kHalf) {
      Tell(fleet_.LoseRack(1));
    }
    if (scenario_.loses_rack && step == kHalf + kStepsPerWave) {
      Tell(fleet_.ReturnRack(1));
    }
    if (scenario_.has_failing_worker) {
      fleet_.SetFailing(5, step >= kHalf / 2 && step < kHalf + kHalf / 2);
    }
  }

  // Work comes in at the offered rate, in jobs of a few tasks.
  void SubmitJobs(int step) {
    const Resources room = truth_.worker - truth_.reserved;
    const double offered = truth_.offered * kWorkers *
                           static_cast<double>(room.millicores) / 1000.0 *
                           (static_cast<double>(kStep.count()) / 1e6);
    owed_core_seconds_ += offered;
    while (owed_core_seconds_ > 0) {
      const KindTruth& kind =
          truth_.kinds[random_(static_cast<uint32_t>(truth_.kinds.size()))];
      owed_core_seconds_ -= kTasksPerJob * kind.cores * kind.run_seconds;
      Submit(kind, kTasksPerJob, 0);
    }
    if (scenario_.has_noisy_waves && step % kStepsPerWave == kHalf / 4) {
      const KindTruth& noisy =
          *std::ranges::max_element(truth_.kinds, {}, &KindTruth::harm);
      Submit(noisy, 40, 1);
    }
  }

  void Submit(const KindTruth& kind, uint32_t tasks, int priority) {
    if (scheduler_->jobs() > kMaximumWaiting + 40) {
      return;
    }
    const JobId job(kind.kind.text() + ":" + std::to_string(next_job_++));
    submitted_at_[job] = now_;
    const double part = kind.declared_part;
    // No job declares more than half a worker.
    const auto most = static_cast<double>(truth_.worker.millicores) / 2;
    const auto most_memory =
        static_cast<double>(truth_.worker.memory_mebibytes) / 2;
    const Resources declared = {
        std::llround(std::min(most, 1000 * kind.cores * part)),
        std::llround(std::min(most_memory, kind.memory_mebibytes * part * 1.3)),
        0};
    Tell({JobSubmitted{.job = job,
                       .customer = CustomerId(truth_.name),
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

  const CustomerTruth& truth_;
  const Scenario& scenario_;
  pcg64 random_;
  const Contender contender_;
  const uint64_t seed_;
  FakeFleet fleet_;
  Replayed replayed_;
  std::unique_ptr<Scheduler> scheduler_;
  Instant now_{seconds(1)};
  std::map<JobId, Instant> submitted_at_;
  std::vector<double> start_seconds_;
  double owed_core_seconds_ = 0;
  int next_job_ = 0;
};

}  // namespace

Measures Run(Contender contender,
             const CustomerTruth& truth,
             const Scenario& scenario,
             uint64_t seed) {
  return Course(contender, truth, scenario, seed).Go();
}

}  // namespace papayadrift::placement
