#include "settings/schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include "access/token_hash.h"

namespace papayadrift::settings {

namespace {

struct Unit {
  std::string_view name;
  int64_t factor;
};

constexpr auto kDurationUnits = std::to_array<Unit>({
    {"ms", 1},
    {"s", 1000},
    {"min", 60'000},
    {"h", 3'600'000},
    {"d", 86'400'000},
});
constexpr auto kMemoryUnits = std::to_array<Unit>({
    {"MiB", 1},
    {"GiB", 1024},
    {"TiB", 1024 * 1024},
});
constexpr auto kCoreUnits = std::to_array<Unit>({
    {"cores", 1000},
    {"core", 1000},
    {"millicores", 1},
});
constexpr auto kNoUnits = std::to_array<Unit>({{"", 1}});

constexpr size_t kMaximumNameBytes = 64;
constexpr size_t kMaximumNames = 16;

std::span<const Unit> UnitsOf(ValueKind kind) {
  switch (kind) {
    case ValueKind::kDuration:
      return kDurationUnits;
    case ValueKind::kMemory:
      return kMemoryUnits;
    case ValueKind::kCores:
      return kCoreUnits;
    default:
      return kNoUnits;
  }
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t\r";
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::string NamesOf(std::span<const Unit> units) {
  std::string names;
  for (const Unit& unit : units) {
    names += (names.empty() ? "" : ", ") + std::string(unit.name);
  }
  return names;
}

// Reads one value; each function returns nothing after noting a problem.
class ValueReader {
 public:
  ValueReader(const KeySpecification& key,
              const std::string& section,
              std::vector<Problem>& problems)
      : key_(key), section_(section), problems_(problems) {}

  std::optional<Value> Read(std::string_view text) {
    switch (key_.kind) {
      case ValueKind::kBoolean:
        return ReadBoolean(text);
      case ValueKind::kCores:
      case ValueKind::kDuration:
      case ValueKind::kInteger:
      case ValueKind::kMemory:
        return ReadAmount(text);
      case ValueKind::kAddress:
        return ReadAddress(text);
      case ValueKind::kAddressList:
        return ReadAddressList(text);
      case ValueKind::kName:
      case ValueKind::kReference:
        return ReadName(text);
      case ValueKind::kNameList:
        return ReadNameList(text);
      case ValueKind::kNameInRegion:
        return ReadNameInRegion(text);
      case ValueKind::kText:
        return Value(std::string(text));
      case ValueKind::kTokenHash:
        return ReadTokenHash(text);
    }
    return std::nullopt;
  }

 private:
  std::optional<Value> Refuse(ProblemKind kind, std::string detail) {
    problems_.push_back(
        {kind, section_, std::string(key_.key), 0, std::move(detail)});
    return std::nullopt;
  }

  std::optional<Value> ReadBoolean(std::string_view text) {
    if (text != "yes" && text != "no") {
      return Refuse(ProblemKind::kBadValue, "Expected yes or no.");
    }
    return Value(text == "yes");
  }

  std::optional<Value> ReadAmount(std::string_view text) {
    double number = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, ec] =
        std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (ec != std::errc() || !std::isfinite(number)) {
      return Refuse(ProblemKind::kBadValue, "Expected a number.");
    }
    const std::string_view unit_name =
        Trim(std::string_view(rest, static_cast<size_t>(end - rest)));
    const std::span<const Unit> units = UnitsOf(key_.kind);
    const auto unit = std::ranges::find(units, unit_name, &Unit::name);
    if (unit == units.end()) {
      return Refuse(ProblemKind::kBadUnit,
                    units.front().name.empty()
                        ? "Expected a number without a unit."
                        : "Expected one of " + NamesOf(units) + ".");
    }
    const double amount = number * static_cast<double>(unit->factor);
    if (amount < static_cast<double>(key_.minimum) ||
        amount > static_cast<double>(key_.maximum)) {
      return Refuse(ProblemKind::kOutOfRange, RangeText(units.front().name));
    }
    if (amount != std::floor(amount)) {
      return Refuse(ProblemKind::kBadValue, "The number is too fine.");
    }
    return Value(static_cast<int64_t>(amount));
  }

  std::string RangeText(std::string_view unit_name) const {
    const bool is_cores = key_.kind == ValueKind::kCores;
    const std::string unit(is_cores ? "millicores" : unit_name);
    const std::string suffix = unit.empty() ? "" : " " + unit;
    return "Expected " + std::to_string(key_.minimum) + " to " +
           std::to_string(key_.maximum) + suffix + ".";
  }

  static bool IsAddress(std::string_view text) {
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
      return false;
    }
    constexpr std::string_view kHostCharacters = "0123456789abcdefABCDEF.:[]";
    if (text.substr(0, colon).find_first_not_of(kHostCharacters) !=
        std::string_view::npos) {
      return false;
    }
    uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, port);
    return ec == std::errc() && rest == end && port != 0;
  }

  std::optional<Value> ReadAddress(std::string_view text) {
    if (!IsAddress(text)) {
      return Refuse(ProblemKind::kBadValue,
                    "Expected an IP number and a port, as 10.0.0.1:8080.");
    }
    return Value(std::string(text));
  }

  std::optional<Value> ReadAddressList(std::string_view text) {
    std::vector<std::string> addresses = SplitAtCommas(text);
    if (!std::ranges::all_of(addresses, IsAddress)) {
      return Refuse(ProblemKind::kBadValue,
                    "Expected addresses with commas between them.");
    }
    return Value(std::move(addresses));
  }

  static std::vector<std::string> SplitAtCommas(std::string_view text) {
    std::vector<std::string> parts;
    while (!text.empty()) {
      const size_t comma = std::min(text.find(','), text.size());
      parts.emplace_back(Trim(text.substr(0, comma)));
      text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parts;
  }

  static bool IsName(std::string_view text) {
    const bool has_only_allowed = std::ranges::all_of(text, [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
             (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    });
    return !text.empty() && text.size() <= kMaximumNameBytes &&
           has_only_allowed;
  }

  std::optional<Value> ReadNameList(std::string_view text) {
    std::vector<std::string> names = SplitAtCommas(text);
    if (names.size() > kMaximumNames || !std::ranges::all_of(names, IsName)) {
      return Refuse(ProblemKind::kBadValue,
                    "Expected at most 16 names with commas between them.");
    }
    return Value(std::move(names));
  }

  std::optional<Value> ReadName(std::string_view text) {
    if (!IsName(text)) {
      return Refuse(ProblemKind::kBadValue,
                    "Expected at most 64 letters, digits, dots, underscores "
                    "and hyphens.");
    }
    return Value(std::string(text));
  }

  std::optional<Value> ReadNameInRegion(std::string_view text) {
    const size_t at = text.rfind('@');
    const bool is_whole = at == std::string_view::npos;
    if (!ReadName(text.substr(0, at)) ||
        (!is_whole && !ReadName(text.substr(at + 1)))) {
      return std::nullopt;
    }
    return Value(std::string(text));
  }

  std::optional<Value> ReadTokenHash(std::string_view text) {
    if (!text.empty() && !access::TokenHashFromText(text)) {
      return Refuse(ProblemKind::kBadValue,
                    "Expected a hash as papayadrift-ctl token prints it.");
    }
    return Value(std::string(text));
  }

  const KeySpecification& key_;
  const std::string& section_;
  std::vector<Problem>& problems_;
};

}  // namespace

std::string_view ToText(ValueKind kind) {
  switch (kind) {
    case ValueKind::kAddress:
      return "IP number and port";
    case ValueKind::kAddressList:
      return "addresses, with commas between";
    case ValueKind::kBoolean:
      return "yes or no";
    case ValueKind::kCores:
      return "cores";
    case ValueKind::kDuration:
      return "ms, s, min, h or d";
    case ValueKind::kInteger:
      return "number";
    case ValueKind::kMemory:
      return "MiB, GiB or TiB";
    case ValueKind::kName:
      return "name";
    case ValueKind::kNameList:
      return "at most 16 names, with commas between";
    case ValueKind::kNameInRegion:
      return "name or name@region";
    case ValueKind::kReference:
      return "name of a section";
    case ValueKind::kText:
      return "text";
    case ValueKind::kTokenHash:
      return "hash of a token";
  }
  return "";
}

std::optional<Value> ReadValue(const KeySpecification& key,
                               std::string_view text,
                               const std::string& section,
                               std::vector<Problem>& problems) {
  return ValueReader(key, section, problems).Read(text);
}

}  // namespace papayadrift::settings
