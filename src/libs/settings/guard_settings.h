#ifndef PAPAYADRIFT_SETTINGS_GUARD_SETTINGS_H_
#define PAPAYADRIFT_SETTINGS_GUARD_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "settings/problem.h"
#include "settings/schema.h"

namespace papayadrift::settings {

// Settings of one guard process, which runs beside a backend server.
struct GuardSettings {
  // [process]
  WorkerId worker;
  ZoneId zone;
  std::string http_address;
  int64_t threads = 0;

  // [backend]
  std::string backend_address;
  int64_t slots = 0;
  int64_t maximum_keys = 0;

  friend bool operator==(const GuardSettings&, const GuardSettings&) = default;
};

// The sections and keys of a guard's settings file.
const Schema& GuardSettingsSchema();

// Reads the INI text of a settings file. Returns nothing, and says why in
// `problems`, when anything in it is wrong.
std::optional<GuardSettings> ReadGuardSettings(const std::string& text,
                                               std::vector<Problem>& problems);

}  // namespace papayadrift::settings

#endif  // PAPAYADRIFT_SETTINGS_GUARD_SETTINGS_H_
