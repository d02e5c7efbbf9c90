#include "reference_model.h"

#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <limits>

namespace papayadrift::placement {

namespace {

constexpr Resources kCapacity = {8000, 8192, 2};
constexpr Resources kReserved = {1000, 1024, 0};
constexpr uint32_t kWorkers = 6;
constexpr uint32_t kTeams = 2;

WorkerId WorkerOf(uint32_t which) {
  return WorkerId("w" + std::to_string(which % kWorkers));
}

uint32_t NumberOf(const WorkerId& worker) {
  return static_cast<uint32_t>(std::stoul(worker.text().substr(1)));
}

// Three workers per zone, two of which share a rack.
uint32_t ZoneNumber(const WorkerId& worker) {
  return NumberOf(worker) / 3;
}

uint32_t RackNumber(const WorkerId& worker) {
  return NumberOf(worker) % 3 / 2;
}

Separation SeparationOf(uint32_t which) {
  Separation separation;
  separation.most_per_rack = which % 4 == 0 ? 1 + which % 2 : 0;
  separation.most_per_zone = which % 5 == 0 ? 1 + which % 3 : 0;
  if (which % 6 == 0) {
    separation.apart_from = {KindId("k" + std::to_string(which / 6 % 5))};
  }
  return separation;
}

bool MustBeApart(const KindId& kind, const Separation& separation) {
  return std::ranges::find(separation.apart_from, kind) !=
         separation.apart_from.end();
}

template <typename Map>
typename Map::iterator Pick(Map& map, uint32_t which) {
  return std::next(map.begin(), static_cast<int>(which % map.size()));
}

TeamId TeamOf(uint32_t which) {
  return TeamId("t" + std::to_string(which % kTeams));
}

}  // namespace

ReferenceModel::ReferenceModel(Scheduler& scheduler) : scheduler_(scheduler) {
  Policy policy;
  for (uint32_t i = 0; i < kTeams; ++i) {
    policy.teams.push_back({TeamOf(i), {8000, 9000, 2}, 1.0 + i});
  }
  policy.services = {{ServiceId("s"), CustomerId("c"), milliseconds(20)}};
  policy.customers = {{CustomerId("c"), 1.0, 1.0}};
  Deliver(PolicyChanged{policy});
  StartWorker(0);
  StartWorker(1);
}

void ReferenceModel::Apply(const Step& step) {
  choice_ = step.which;
  switch (step.operation % 14) {
    case 0:
    case 1:
      return SubmitJob(step.which);
    case 2:
      return CloseJob(step.which);
    case 3:
    case 4:
      now_ += milliseconds(step.which % 40'000);
      return Deliver(Tick());
    case 5:
    case 6:
      return DeliverPooledEvent(step.which);
    case 7:
      return EndRandomAttempt(step.which);
    case 8:
      return step.which % 4 == 0 ? KillWorker(step.which / 4)
                                 : DeliverPooledEvent(step.which);
    case 9:
      return StartWorker(step.which);
    case 10:
      return ReportInvalidMeasurements(step.which);
    case 11:
      return QuarantineElsewhere(step.which);
    case 12:
      return NoteInvalidKnowledge(step.which);
    default:
      return step.which % 4 == 0 ? ToggleCutOff()
                                 : DeliverPooledEvent(step.which);
  }
}

void ReferenceModel::Deliver(const Event& event) {
  const std::vector<Action> actions = scheduler_.Handle(now_, event);
  std::ranges::for_each(actions, [this](const Action& it) { Check(it); });
  CheckSums();
  CheckQuotas(actions);
}

void ReferenceModel::DeliverPooledEvent(uint32_t which) {
  if (event_pool_.empty()) {
    return;
  }
  const size_t position = which % event_pool_.size();
  const Event event = event_pool_[position];
  const bool is_delivered_once = std::holds_alternative<ClaimRejected>(event) ||
                                 std::holds_alternative<GrantRefused>(event);
  if (is_delivered_once || which % 3 != 0) {
    event_pool_[position] = event_pool_.back();
    event_pool_.pop_back();
  }
  Deliver(event);
}

void ReferenceModel::Check(const Action& action) {
  if (const auto* claim = std::get_if<Claim>(&action)) {
    CheckClaim(*claim);
  } else if (const auto* change = std::get_if<ChangeGrant>(&action)) {
    ChangeGrantOf(*change);
  } else if (const auto* refusal = std::get_if<RefuseJob>(&action)) {
    closed_.insert(refusal->job);
  } else if (const auto* quarantine = std::get_if<Quarantine>(&action)) {
    quarantined_.insert(quarantine->worker);
  } else if (const auto* release = std::get_if<Release>(&action)) {
    quarantined_.erase(release->worker);
  }
}

void ReferenceModel::CheckClaim(const Claim& claim) {
  RC_ASSERT(!live_.contains(claim.task));
  RC_ASSERT(!closed_.contains(claim.task.job));
  RC_ASSERT(IsNonNegative(claim.grant));
  RC_ASSERT(!quarantined_.contains(claim.worker) ||
            claim.reason == PlacementReason::kProbe);
  CheckSeparation(claim);
  const Worker& worker = workers_[claim.worker];
  if (!worker.is_up || worker.incarnation != claim.incarnation) {
    event_pool_.emplace_back(
        ClaimRejected{claim.task, claim.attempt, ClaimRejection::kWorkerGone});
    return;
  }
  if (choice_ % 5 == 0) {
    const auto reason = static_cast<ClaimRejection>(choice_ / 5 % 2 * 2);
    event_pool_.emplace_back(ClaimRejected{claim.task, claim.attempt, reason});
    return;
  }
  live_[claim.task] = {claim.attempt, claim.worker, claim.grant};
  event_pool_.emplace_back(ClaimAccepted{
      claim.task, claim.attempt, claim.worker, claim.incarnation, claim.grant});
  event_pool_.emplace_back(TaskStarted{claim.task, claim.attempt});
}

void ReferenceModel::CheckSeparation(const Claim& claim) const {
  const Job& own = jobs_.at(claim.task.job);
  uint32_t in_rack = 1;
  uint32_t in_zone = 1;
  for (const auto& [task, live] : live_) {
    const Job& other = jobs_.at(task.job);
    const bool is_same_zone =
        ZoneNumber(live.worker) == ZoneNumber(claim.worker);
    const bool is_same_rack =
        is_same_zone && RackNumber(live.worker) == RackNumber(claim.worker);
    in_zone += task.job == claim.task.job && is_same_zone ? 1 : 0;
    in_rack += task.job == claim.task.job && is_same_rack ? 1 : 0;
    RC_ASSERT(live.worker != claim.worker ||
              (!MustBeApart(other.kind, own.separation) &&
               !MustBeApart(own.kind, other.separation)));
  }
  const Separation& most = own.separation;
  RC_ASSERT(most.most_per_rack == 0 || in_rack <= most.most_per_rack);
  RC_ASSERT(most.most_per_zone == 0 || in_zone <= most.most_per_zone);
}

void ReferenceModel::CheckSums() const {
  std::map<WorkerId, Resources> sums;
  for (const auto& [task, live] : live_) {
    sums[live.worker] = sums[live.worker] + live.grant;
  }
  for (const auto& [worker, sum] : sums) {
    RC_ASSERT(FitsIn(sum + kReserved, kCapacity));
  }
  for (const WorkerView& view : scheduler_.workers()) {
    RC_ASSERT(FitsIn(view.committed + view.reserved, view.capacity));
    RC_ASSERT(IsNonNegative(view.committed));
    RC_ASSERT(IsNonNegative(view.held));
    RC_ASSERT(view.claims_in_flight >= 0);
  }
}

void ReferenceModel::CheckQuotas(const std::vector<Action>& actions) const {
  const bool has_claim = std::ranges::any_of(actions, [](const Action& it) {
    return std::holds_alternative<Claim>(it);
  });
  if (!is_cut_off_ || !has_claim) {
    return;
  }
  std::set<TeamId> claimants;
  for (const Action& it : actions) {
    if (const auto* claim = std::get_if<Claim>(&it)) {
      claimants.insert(TeamOf(
          static_cast<uint32_t>(std::stoul(claim->task.job.text()) / 2)));
    }
  }
  for (const TeamView& team : scheduler_.teams()) {
    RC_ASSERT(!claimants.contains(team.team) || FitsIn(team.used, team.quota));
  }
}

void ReferenceModel::ChangeGrantOf(const ChangeGrant& change) {
  const auto it = live_.find(change.task);
  if (it == live_.end() || it->second.attempt != change.attempt) {
    return;
  }
  if (choice_ % 7 == 0) {
    event_pool_.emplace_back(
        GrantRefused{change.task, change.attempt, change.grant});
    return;
  }
  it->second.grant = change.grant;
  event_pool_.emplace_back(
      GrantConfirmed{change.task, change.attempt, change.grant});
}

void ReferenceModel::SubmitJob(uint32_t which) {
  const uint32_t job = next_job_++;
  const KindId kind("k" + std::to_string(which % 5));
  const Separation separation = SeparationOf(which / 5);
  jobs_[JobId(std::to_string(job))] = {kind, separation};
  Deliver(JobSubmitted{
      .job = JobId(std::to_string(job)),
      .customer = CustomerId("c"),
      .team = TeamOf(job / 2),
      .kind = kind,
      .tasks = 1 + which % 6,
      .declared = {which % 9000, which % 7000, which % 11 == 0 ? 1 : 0},
      .declared_run = seconds(which % 100),
      .is_urgent = which % 3 == 0,
      .is_checkpointable = which % 2 == 0,
      .separation = separation});
}

void ReferenceModel::CloseJob(uint32_t which) {
  if (next_job_ == 0) {
    return;
  }
  const JobId job(std::to_string(which % next_job_));
  closed_.insert(job);
  if (which % 2 == 0) {
    Deliver(JobCancelled{job});
  } else {
    Deliver(JobRefused{job, RefusalReason::kJobFailedEverywhere});
  }
}

void ReferenceModel::EndRandomAttempt(uint32_t which) {
  if (live_.empty()) {
    return;
  }
  const auto it = Pick(live_, which);
  const auto ending = static_cast<records::TaskEnding>(which / 7 % 4);
  const bool is_saved = ending == records::TaskEnding::kCheckpointed;
  event_pool_.emplace_back(TaskEnded{it->first, it->second.attempt, ending,
                                     CheckpointId(is_saved ? "saved" : "")});
  live_.erase(it);
}

void ReferenceModel::KillWorker(uint32_t which) {
  const WorkerId id = WorkerOf(which);
  Worker& worker = workers_[id];
  if (!worker.is_up) {
    return;
  }
  worker.is_up = false;
  std::erase_if(live_, [&](const auto& it) { return it.second.worker == id; });
  event_pool_.emplace_back(WorkerLapsed{id, worker.incarnation});
  event_pool_.emplace_back(WorkerFreed{id, worker.incarnation});
}

void ReferenceModel::StartWorker(uint32_t which) {
  const WorkerId id = WorkerOf(which);
  Worker& worker = workers_[id];
  if (!worker.is_up) {
    worker.is_up = true;
    worker.incarnation = worker.incarnation.Next();
  }
  event_pool_.emplace_back(
      WorkerUp{.worker = id,
               .incarnation = worker.incarnation,
               .zone = ZoneId("z" + std::to_string(ZoneNumber(id))),
               .rack = RackId("r" + std::to_string(RackNumber(id))),
               .capacity = kCapacity,
               .runners = {{ServiceId("s"), kReserved}}});
  DeliverPooledEvent(static_cast<uint32_t>(event_pool_.size() - 1));
}

void ReferenceModel::ReportInvalidMeasurements(uint32_t which) {
  if (!live_.empty()) {
    const auto it = Pick(live_, which);
    const int64_t amount = static_cast<int64_t>(which % 30'000) - 5'000;
    Deliver(UsageReported{it->first,
                          it->second.attempt,
                          {amount, amount / 3, 0},
                          amount,
                          now_ - milliseconds(which % 5000)});
  }
  const Instant until = now_ - milliseconds(which % 90'000);
  Deliver(LatencyReported{WorkerOf(which), ServiceId("s"), milliseconds(1),
                          milliseconds(which % 100), which % 5000,
                          until - seconds(which % 12), until});
}

void ReferenceModel::QuarantineElsewhere(uint32_t which) {
  const WorkerId id = WorkerOf(which);
  const auto view = scheduler_.View(id);
  const WorkerQuarantined record = {id, workers_[id].incarnation,
                                    which / kWorkers % 3 != 0};
  if (view && view->incarnation == record.incarnation) {
    if (record.is_quarantined) {
      quarantined_.insert(id);
    } else {
      quarantined_.erase(id);
    }
  }
  Deliver(record);
}

void ReferenceModel::NoteInvalidKnowledge(uint32_t which) {
  // Includes values that are invalid in records, and unknown kinds and indexes.
  constexpr int64_t kExtremes[] = {
      std::numeric_limits<int64_t>::min(), -1, 0, 1, 4096,
      std::numeric_limits<int64_t>::max()};
  const auto extreme = [&](uint32_t shift) {
    return kExtremes[(which >> shift) % std::size(kExtremes)];
  };
  const records::LearnedQuantity quantity = {which % 2'000, extreme(0),
                                             extreme(3), extreme(6)};
  const KindId kind("k" + std::to_string(which % 7));
  const auto coefficient = [&](uint32_t shift) {
    return records::CoefficientKnowledge{
        (which >> shift) % 4, (which >> shift) % 5,
        static_cast<int32_t>(extreme(shift)),
        static_cast<int32_t>(extreme(shift + 2))};
  };
  KnowledgeNoted note;
  note.kinds = {{kind, quantity, quantity, quantity,
                 static_cast<int32_t>(extreme(9)), extreme(12)}};
  note.neighbours = {kind, KindId("unheard-of")};
  note.services = {{ServiceId(which % 5 == 0 ? "other" : "s"),
                    {coefficient(1), coefficient(4), coefficient(8)}}};
  if (which % 3 == 0) {
    event_pool_.emplace_back(
        note);  // Delivered later, possibly more than once.
  } else {
    Deliver(note);
  }
}

void ReferenceModel::ToggleCutOff() {
  is_cut_off_ = !is_cut_off_;
  if (is_cut_off_) {
    Deliver(RegionCutOff());
  } else {
    Deliver(RegionRejoined());
  }
}

}  // namespace papayadrift::placement
