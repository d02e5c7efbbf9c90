#include "lease/lease_settings.h"

#include <algorithm>
#include <array>

namespace papayadrift::lease {
namespace {

constexpr int kPeriodsPerLease = 3;

bool AreDurationsPositive(const LeaseSettings& settings) {
  const std::array durations = {
      settings.heartbeat_period, settings.renewal,
      settings.tail_freshness,   settings.promise,
      settings.promise_period,   settings.outage_cap,
      settings.pause_margin,     settings.maximum_request,
      settings.loan_term};
  return std::ranges::all_of(durations,
                             [](milliseconds d) { return d.count() > 0; });
}

}  // namespace

std::optional<LeaseSettingsFault> Check(const LeaseSettings& settings) {
  if (!AreDurationsPositive(settings)) {
    return LeaseSettingsFault::kNotPositive;
  }
  if (settings.renewal < kPeriodsPerLease * settings.heartbeat_period) {
    return LeaseSettingsFault::kRenewalTooShort;
  }
  if (settings.tail_freshness > settings.renewal) {
    return LeaseSettingsFault::kFreshnessTooLong;
  }
  if (settings.promise < kPeriodsPerLease * settings.promise_period) {
    return LeaseSettingsFault::kPromiseTooShort;
  }
  if (settings.outage_cap <
      std::max(settings.promise, settings.tail_freshness)) {
    return LeaseSettingsFault::kCapTooShort;
  }
  if (settings.clock_rate_error_ppm < 0 ||
      settings.clock_rate_error_ppm > kMaximumClockRateErrorPpm) {
    return LeaseSettingsFault::kClockRateErrorOutOfRange;
  }
  return std::nullopt;
}

}  // namespace papayadrift::lease
