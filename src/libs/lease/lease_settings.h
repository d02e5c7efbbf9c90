#ifndef PAPAYADRIFT_LEASE_LEASE_SETTINGS_H_
#define PAPAYADRIFT_LEASE_LEASE_SETTINGS_H_

// The durations of the lease rule. They must be the same at every entry of a
// region, or differ only as described in docs/operations/leases.md.

#include <cstdint>
#include <optional>

#include "base/instant.h"

namespace papayadrift::lease {

struct LeaseSettings {
  // How often a worker sends a heartbeat.
  milliseconds heartbeat_period{1000};
  // How long a lease runs after the worker sent the heartbeat (L).
  milliseconds renewal{8000};
  // How old the begin of a read of the log's tail may be for an entry to rely
  // on what it showed (F).
  milliseconds tail_freshness{2000};
  // How long a freeze promise holds (V).
  milliseconds promise{6000};
  // How often an entry asks its peers for freeze promises.
  milliseconds promise_period{1500};
  // How long an entry renews without the log, after its last read.
  milliseconds outage_cap{2 * 60 * 60 * 1000};
  // The longest time from the end of a lease, by the holder's clock, until
  // all that it covers has stopped.
  milliseconds pause_margin{2000};
  // The longest time that a request occupies a slot of a runner.
  milliseconds maximum_request{30000};
  // How long a loan of slots takes new requests after the borrower asked.
  milliseconds loan_term{1000};
  // How much faster or slower than true time a clock may run, in millionths.
  int64_t clock_rate_error_ppm = 1000;

  friend bool operator==(const LeaseSettings&, const LeaseSettings&) = default;
};

enum class LeaseSettingsFault {
  kNotPositive,              // A duration is zero or negative.
  kRenewalTooShort,          // Under three heartbeat periods.
  kFreshnessTooLong,         // Over the renewal.
  kPromiseTooShort,          // Under three promise periods.
  kCapTooShort,              // Under the promise or the freshness.
  kClockRateErrorOutOfRange  // Not within 0 and kMaximumClockRateErrorPpm.
};

inline constexpr int64_t kMaximumClockRateErrorPpm = 500'000;

// Returns the first relation between the settings that does not hold, if any.
std::optional<LeaseSettingsFault> Check(const LeaseSettings& settings);

}  // namespace papayadrift::lease

#endif  // PAPAYADRIFT_LEASE_LEASE_SETTINGS_H_
