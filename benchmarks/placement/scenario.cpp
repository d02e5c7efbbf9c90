#include "scenario.h"

#include <array>

namespace papayadrift::placement {

namespace {

constexpr auto kScenarios = std::to_array<Scenario>({
    {.name = "calm"},
    {.name = "load_shift", .shifts_load = true},
    {.name = "noisy_waves", .has_noisy_waves = true},
    {.name = "sizes_off_10x", .declared_spread = 10},
    {.name = "late_lost_reports",
     .report_lag = seconds(120),
     .reports_lost_percent = 30,
     .reports_wrong_percent = 1},
    {.name = "mass_cancellation", .cancels_most = true},
    {.name = "rack_loss", .loses_rack = true},
    {.name = "failing_worker", .has_failing_worker = true},
});

}  // namespace

std::span<const Scenario> AllScenarios() {
  return kScenarios;
}

}  // namespace papayadrift::placement
