#include "entry/control_metrics.h"

#include <array>
#include <string>
#include <string_view>

#include "entry/region_controller.h"

namespace papayadrift::entry {

namespace {

struct PlacementCounter {
  std::string_view what;
  uint64_t placement::Counters::* value;
};

constexpr auto kPlacementCounters = std::to_array<PlacementCounter>({
    {"claim", &placement::Counters::claims},
    {"claim_rejected", &placement::Counters::claims_rejected},
    {"grant_raised", &placement::Counters::grants_raised},
    {"grant_lowered", &placement::Counters::grants_lowered},
    {"throttle", &placement::Counters::throttles},
    {"reservation", &placement::Counters::reservations},
    {"move", &placement::Counters::moves},
    {"eviction_for_service", &placement::Counters::evictions_for_services},
    {"eviction_for_urgent_work", &placement::Counters::evictions_for_urgent},
    {"eviction_for_owed_quota", &placement::Counters::evictions_for_quota},
    {"eviction_for_runner", &placement::Counters::evictions_for_runners},
    {"stop_of_closed_job", &placement::Counters::stops_of_closed_jobs},
    {"quarantine", &placement::Counters::quarantines},
    {"release", &placement::Counters::releases},
    {"job_refused", &placement::Counters::jobs_refused},
});

constexpr auto kEntryPhases =
    std::to_array<std::string_view>({"joining", "full", "lapsed"});
constexpr auto kWorkerPhases =
    std::to_array<std::string_view>({"live", "draining", "lapsed"});

std::vector<metrics::Gauge*> AddByState(
    metrics::Registry& registry,
    const std::string& name,
    const std::string& help,
    std::span<const std::string_view> states) {
  std::vector<metrics::Gauge*> gauges;
  for (const std::string_view state : states) {
    gauges.push_back(
        &registry.AddGauge(name, help, {{"state", std::string(state)}}));
  }
  return gauges;
}

// Counts the members of a map by their phase into one gauge each.
template <typename Map>
void CountPhases(const Map& members,
                 const std::vector<metrics::Gauge*>& gauges) {
  std::vector<int64_t> counts(gauges.size());
  for (const auto& [key, member] : members) {
    ++counts[static_cast<size_t>(member.phase)];
  }
  for (size_t i = 0; i < gauges.size(); ++i) {
    gauges[i]->Set(counts[i]);
  }
}

int64_t ToGauge(uint64_t value) {
  return static_cast<int64_t>(value);
}

}  // namespace

ControlMetrics::ControlMetrics(metrics::Registry& registry)
    : is_ready_(registry.AddGauge("papayadrift_ready",
                                  "1 while requests are served.")),
      is_log_available_(
          registry.AddGauge("papayadrift_log_available",
                            "1 while the platform's log can be reached.")),
      tail_read_age_(registry.AddGauge(
          "papayadrift_log_tail_age_milliseconds",
          "Time since the last read began that reached the end of the log.")),
      decision_offset_(registry.AddGauge("papayadrift_decision_offset",
                                         "Next decision record to replay.")),
      unresolved_proposals_(
          registry.AddGauge("papayadrift_unresolved_proposals",
                            "Proposals whose outcome is not known yet.")),
      configuration_version_(
          registry.AddGauge("papayadrift_configuration_version",
                            "Version of the configuration in force.")),
      connected_peers_(registry.AddGauge(
          "papayadrift_connected_peers",
          "Other entries that a trusted connection leads to.")),
      keys_(registry.AddGauge("papayadrift_idempotency_keys",
                              "Idempotency keys inside their window.")),
      waiting_tasks_(registry.AddGauge("papayadrift_tasks",
                                       "Tasks of the region, by state.",
                                       {{"state", "waiting"}})),
      running_tasks_(registry.AddGauge("papayadrift_tasks",
                                       "Tasks of the region, by state.",
                                       {{"state", "running"}})),
      entries_(AddByState(registry,
                          "papayadrift_entries",
                          "Entries of the region, by state.",
                          kEntryPhases)),
      workers_(AddByState(registry,
                          "papayadrift_workers",
                          "Workers of the region, by state.",
                          kWorkerPhases)),
      quarantined_workers_(
          registry.AddGauge("papayadrift_quarantined_workers",
                            "Workers that get nothing but probes.")),
      snapshots_{&registry.AddCounter("papayadrift_snapshots_total",
                                      "Snapshots that this entry wrote.")},
      missing_lines_{&registry.AddCounter(
          "papayadrift_log_lines_missing_total",
          "Lines of the process's own log that were left out or dropped.")} {
  for (const PlacementCounter& it : kPlacementCounters) {
    placement_.push_back(
        {&registry.AddCounter("papayadrift_placement_total",
                              "Decisions of this entry about placement.",
                              {{"decision", std::string(it.what)}})});
  }
}

void ControlMetrics::Sample(const RegionController& controller, Instant now) {
  SampleLog(controller, now);
  SampleMembers(controller);
  SampleWork(controller);
}

void ControlMetrics::SampleLines(const logging::Logger& logger) {
  missing_lines_.Follow(logger.missing_count());
}

void ControlMetrics::Followed::Follow(uint64_t value) {
  counter->Add(value >= last ? value - last : value);
  last = value;
}

void ControlMetrics::SampleLog(const RegionController& controller,
                               Instant now) {
  const DecisionStream& decisions = controller.decisions();
  is_ready_.Set(controller.is_ready() ? 1 : 0);
  is_log_available_.Set(decisions.is_log_available() ? 1 : 0);
  if (const auto began_at = decisions.tail_read_began_at()) {
    tail_read_age_.Set(
        std::chrono::floor<milliseconds>(now - *began_at).count());
  }
  decision_offset_.Set(ToGauge(decisions.state().next_offset().value()));
  unresolved_proposals_.Set(ToGauge(decisions.unresolved_count()));
  configuration_version_.Set(
      ToGauge(controller.configuration().in_force().version.value()));
  snapshots_.Follow(controller.snapshots().written_count());
}

void ControlMetrics::SampleMembers(const RegionController& controller) {
  const replay::DecisionState& state = controller.decisions().state();
  const PeerDriver* peers = controller.peers();
  connected_peers_.Set(peers == nullptr ? 0
                                        : ToGauge(peers->connected_count()));
  CountPhases(state.entries().entries(), entries_);
  CountPhases(state.workers().workers(), workers_);
  quarantined_workers_.Set(std::ranges::count_if(
      state.workers().workers(),
      [](const auto& it) { return it.second.is_quarantined; }));
}

void ControlMetrics::SampleWork(const RegionController& controller) {
  const replay::DecisionState& state = controller.decisions().state();
  keys_.Set(ToGauge(state.keys().keys().size()));
  waiting_tasks_.Set(ToGauge(state.jobs().totals().waiting));
  running_tasks_.Set(ToGauge(state.jobs().totals().live));
  const placement::Counters& counters =
      controller.placement().scheduler().counters();
  for (size_t i = 0; i < placement_.size(); ++i) {
    placement_[i].Follow(counters.*kPlacementCounters[i].value);
  }
}

}  // namespace papayadrift::entry
