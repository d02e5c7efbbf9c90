#include "placement/decision.h"

#include <fmt/format.h>

namespace papayadrift::placement {

namespace {

std::string_view SentenceOf(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNotTriedYet:
      return "It waits for its turn.";
    case WaitReason::kNoWorkerFits:
      return "It waits because no examined worker has enough free capacity.";
    case WaitReason::kServicesNearTarget:
      return "It waits because only workers with services close to their "
             "latency target have free capacity.";
    case WaitReason::kTeamOverQuota:
      return "It waits because its team has used up its quota.";
    case WaitReason::kClaimRejected:
      return "It waits because its last claim was rejected.";
    case WaitReason::kCapacityReserved:
      return "It waits for tasks to end on a worker whose capacity is "
             "reserved for it.";
    case WaitReason::kPreempting:
      return "It waits for preempted tasks to stop.";
    case WaitReason::kRetryBackoff:
      return "It waits for the retry delay after a failed attempt.";
    case WaitReason::kHarmsServices:
      return "It waits because on all workers with free capacity the harm "
             "to services would exceed the value of its work to their "
             "customers.";
    case WaitReason::kDomainsFull:
      return "It waits because all racks or availability zones with free "
             "capacity have reached the task limit of its job.";
    case WaitReason::kKindsApart:
      return "It waits because all workers with free capacity run kinds of "
             "tasks that it must not share a worker with.";
  }
  return "It waits.";
}

std::string_view ClauseOf(PlacementReason reason) {
  switch (reason) {
    case PlacementReason::kLeastCost:
      return "it had the lowest expected cost";
    case PlacementReason::kTightestFit:
      return "it left the least capacity over";
    case PlacementReason::kUrgent:
      return "the task is urgent and the worker had capacity for it";
    case PlacementReason::kProbe:
      return "the task probes whether the quarantined worker works again";
    case PlacementReason::kReserved:
      return "its capacity was reserved for the task";
    case PlacementReason::kMoved:
      return "a service on its last worker was above its latency target";
  }
  return "it was chosen";
}

std::string_view ClauseOf(EvictionReason reason) {
  switch (reason) {
    case EvictionReason::kServiceAboveTarget:
      return "a service there was above its latency target";
    case EvictionReason::kUrgentWork:
      return "urgent work needed its capacity";
    case EvictionReason::kQuotaReclaimed:
      return "its team had borrowed capacity from the quota of another team";
    case EvictionReason::kRunnerNeedsCapacity:
      return "a backend server needed its capacity";
    case EvictionReason::kJobCancelled:
      return "its job was cancelled";
    case EvictionReason::kJobRefused:
      return "its job was refused";
  }
  return "it was asked to stop";
}

std::string_view ClauseOf(GrantReason reason) {
  switch (reason) {
    case GrantReason::kUsesLess:
      return "it uses less";
    case GrantReason::kUsesMore:
      return "the old grant limited it";
    case GrantReason::kServiceAboveTarget:
      return "a service there is above its latency target";
    case GrantReason::kServiceRecovered:
      return "the services there have recovered";
    case GrantReason::kUrgentWork:
      return "urgent work needs capacity";
  }
  return "its use changed";
}

struct DecisionFormatter {
  std::string operator()(const NotDecided& /*unused*/) const {
    return "Nothing is known of it.";
  }
  std::string operator()(const Waiting& wait_state) const {
    return std::string(SentenceOf(wait_state.reason));
  }
  std::string operator()(const Placed& placed) const {
    return fmt::format(
        "It was placed on worker {} with {} because {} of {} examined; the "
        "highest expected p99 there is {:.2f} of its target.",
        placed.worker.text(), papayadrift::ToText(placed.grant),
        ClauseOf(placed.reason), placed.examined, placed.pressure);
  }
  std::string operator()(const GrantAdjusted& adjusted) const {
    return fmt::format("Its grant on worker {} was changed to {} because {}.",
                       adjusted.worker.text(),
                       papayadrift::ToText(adjusted.grant),
                       ClauseOf(adjusted.reason));
  }
  std::string operator()(const Evicted& evicted) const {
    constexpr double kMicrosecondsPerSecond = 1e6;
    const std::string destination =
        evicted.moves_to.is_empty()
            ? ""
            : fmt::format(" Capacity is reserved for it on worker {}.",
                          evicted.moves_to.text());
    return fmt::format(
        "It was stopped on worker {} because {}; {:.0f} s of its work "
        "are repeated.{}",
        evicted.worker.text(), ClauseOf(evicted.reason),
        static_cast<double>(evicted.lost.count()) / kMicrosecondsPerSecond,
        destination);
  }
  std::string operator()(const Refused& refused) const {
    return fmt::format("Its job was refused: {}.",
                       papayadrift::ToText(refused.reason));
  }
};

}  // namespace

std::string ToText(const Decision& decision) {
  return std::visit(DecisionFormatter(), decision);
}

}  // namespace papayadrift::placement
