#ifndef PAPAYADRIFT_SETTINGS_ENTRY_SETTINGS_H_
#define PAPAYADRIFT_SETTINGS_ENTRY_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "settings/problem.h"
#include "settings/schema.h"

namespace papayadrift::settings {

// Settings of one entry process.
struct EntrySettings {
  // [process]
  EntryId entry;
  RegionId region;
  ZoneId zone;
  std::string http_address;
  std::string stream_address;
  int64_t threads = 0;

  // [peers]
  std::vector<std::string> peer_addresses;  // Stream addresses.
  std::string peer_secret_path;

  // [log]
  std::string log_address;
  int64_t appends_per_second = 0;
  milliseconds commit_interval{0};
  milliseconds log_timeout{0};
  int64_t snapshot_interval_records = 0;
  milliseconds reassert_interval{0};

  // [lease]
  milliseconds lease_length{0};
  milliseconds tail_freshness{0};
  milliseconds promise_length{0};
  milliseconds pause_margin{0};
  int64_t clock_rate_error_permille = 0;
  milliseconds renewal_cap{0};
  milliseconds worker_suspicion{0};
  milliseconds peer_suspicion{0};

  // [requests]
  int64_t maximum_body_bytes = 0;
  int64_t maximum_requests_in_flight = 0;
  milliseconds default_deadline{0};
  milliseconds maximum_deadline{0};

  // [regions]
  milliseconds cut_off_after{0};
  milliseconds quota_patience{0};
  milliseconds quota_hold_off{0};

  // [access]
  bool has_open_doors = false;
  std::string operator_token_hash;
  std::string worker_token_hash;

  // [tls]
  std::string certificate_chain_path;
  std::string private_key_path;

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

// The sections and keys of an entry's settings file.
const Schema& EntrySettingsSchema();

// Reads the INI text of a settings file. Returns nothing, and says why in
// `problems`, when anything in it is wrong.
std::optional<EntrySettings> ReadEntrySettings(const std::string& text,
                                               std::vector<Problem>& problems);

}  // namespace papayadrift::settings

#endif  // PAPAYADRIFT_SETTINGS_ENTRY_SETTINGS_H_
