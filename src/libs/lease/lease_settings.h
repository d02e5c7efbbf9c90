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
  // The duration of a lease, counted from when the worker sent the heartbeat
  // (L).
  milliseconds renewal{8000};
  // The maximum age of a read of the log's tail, counted from its start, for an
  // entry to rely on the result (F).
  milliseconds tail_freshness{2000};
  // How long a freeze promise holds (V).
  milliseconds promise{6000};
  // How often an entry asks its peers for freeze promises.
  milliseconds promise_period{1500};
  // How long an entry renews leases without the log, after its last read.
  milliseconds outage_cap{2 * 60 * 60 * 1000};
  // The maximum time from the end of a lease, on the holder's clock, until
  // everything that runs under it has stopped.
  milliseconds pause_margin{2000};
  // The maximum time that a request occupies a slot of a runner.
  milliseconds maximum_request{30000};
  // How long a loan of slots may be used for new requests, counted from when
  // the borrower requested it.
  milliseconds loan_term{1000};
  // The maximum deviation of a clock's rate from true time, in parts per
  // million.
  int64_t clock_rate_error_ppm = 1000;

  friend bool operator==(const LeaseSettings&, const LeaseSettings&) = default;
};

enum class LeaseSettingsFault {
  kNotPositive,              // A duration is zero or negative.
  kRenewalTooShort,          // Less than three heartbeat periods.
  kFreshnessTooLong,         // Greater than the renewal.
  kPromiseTooShort,          // Less than three promise periods.
  kCapTooShort,              // Less than the promise or the freshness.
  kClockRateErrorOutOfRange  // Not between 0 and kMaximumClockRateErrorPpm.
};

inline constexpr int64_t kMaximumClockRateErrorPpm = 500'000;

// Returns the first relation between the settings that is violated, if any.
std::optional<LeaseSettingsFault> Check(const LeaseSettings& settings);

}  // namespace papayadrift::lease

#endif  // PAPAYADRIFT_LEASE_LEASE_SETTINGS_H_
