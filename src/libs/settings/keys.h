#ifndef PAPAYADRIFT_SETTINGS_KEYS_H_
#define PAPAYADRIFT_SETTINGS_KEYS_H_

// Short ways to write the tables of keys.

#include "settings/schema.h"

namespace papayadrift::settings {

inline constexpr int64_t kSecond = 1000;  // In milliseconds.
inline constexpr int64_t kMinute = 60 * kSecond;
inline constexpr int64_t kHour = 60 * kMinute;
inline constexpr int64_t kDay = 24 * kHour;

constexpr KeySpecification RequiredKey(std::string_view key,
                                       ValueKind kind,
                                       std::string_view description) {
  return {.key = key, .kind = kind, .description = description};
}

constexpr KeySpecification OptionalKey(std::string_view key,
                                       ValueKind kind,
                                       std::string_view fallback,
                                       std::string_view description) {
  return {.key = key,
          .kind = kind,
          .fallback = fallback,
          .description = description};
}

constexpr KeySpecification AmountKey(std::string_view key,
                                     ValueKind kind,
                                     std::string_view fallback,
                                     int64_t minimum,
                                     int64_t maximum,
                                     std::string_view description) {
  return {.key = key,
          .kind = kind,
          .fallback = fallback,
          .minimum = minimum,
          .maximum = maximum,
          .description = description};
}

constexpr KeySpecification RequiredAmountKey(std::string_view key,
                                             ValueKind kind,
                                             int64_t minimum,
                                             int64_t maximum,
                                             std::string_view description) {
  return {.key = key,
          .kind = kind,
          .minimum = minimum,
          .maximum = maximum,
          .description = description};
}

constexpr KeySpecification ReferenceKey(std::string_view key,
                                        std::string_view reference,
                                        std::string_view description) {
  return {.key = key,
          .kind = ValueKind::kReference,
          .reference = reference,
          .description = description};
}

}  // namespace papayadrift::settings

#endif  // PAPAYADRIFT_SETTINGS_KEYS_H_
