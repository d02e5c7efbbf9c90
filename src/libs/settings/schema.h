#ifndef PAPAYADRIFT_SETTINGS_SCHEMA_H_
#define PAPAYADRIFT_SETTINGS_SCHEMA_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "settings/problem.h"

namespace papayadrift::settings {

// How a value is written, and what it is read as.
enum class ValueKind {
  kAddress,       // "ip:port", read as text.
  kAddressList,   // Addresses with commas between them.
  kBoolean,       // "yes" or "no".
  kCores,         // "2.5 cores", read as millicores.
  kDuration,      // "250 ms", "2 s", "5 min", "1 h", "2 d", as milliseconds.
  kInteger,       // A whole number without a unit.
  kMemory,        // "512 MiB" or "4 GiB", read as MiB.
  kName,          // Letters, digits, dots, underscores and hyphens.
  kNameInRegion,  // A name, or one with "@" and the name of a region.
  kNameList,      // At most 16 names with commas between them.
  kReference,     // The name of a section of the kind in `reference`.
  kText,          // Anything.
  kTokenHash,     // As access::TokenHash is written, or nothing.
};

std::string_view ToText(ValueKind kind);

// A value that was read. Amounts are integers in the unit of their kind.
using Value =
    std::variant<std::string, int64_t, bool, std::vector<std::string>>;

struct KeySpecification {
  std::string_view key;
  ValueKind kind = ValueKind::kText;
  // As it would be written in a file; nothing where the key is required.
  std::optional<std::string_view> fallback;
  int64_t minimum = 0;  // For amounts, in the unit of the kind.
  int64_t maximum = 0;
  std::string_view reference;    // For kReference: kind of the section.
  std::string_view description;  // A whole sentence for the reference page.
};

// A section "[kind]" or, when named, sections "[kind name]".
struct SectionSpecification {
  std::string_view kind;
  bool is_named = false;
  bool is_required = false;
  std::span<const KeySpecification> keys;
  std::string_view description;
  ValueKind name_kind = ValueKind::kName;
};

struct Schema {
  std::string_view title;
  std::span<const SectionSpecification> sections;
};

// Reads `text` as a value of the key. Appends to `problems`, with `section`,
// and returns nothing when it is not one. References are checked elsewhere.
std::optional<Value> ReadValue(const KeySpecification& key,
                               std::string_view text,
                               const std::string& section,
                               std::vector<Problem>& problems);

}  // namespace papayadrift::settings

#endif  // PAPAYADRIFT_SETTINGS_SCHEMA_H_
