#ifndef PAPAYADRIFT_SETTINGS_INI_DOCUMENT_H_
#define PAPAYADRIFT_SETTINGS_INI_DOCUMENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/problem.h"

namespace papayadrift::settings {

inline constexpr size_t kMaximumFileBytes = 512 * 1024;
inline constexpr size_t kMaximumLineBytes = 196;
inline constexpr size_t kMaximumSectionNameBytes = 48;

struct IniSection {
  std::string name;
  std::map<std::string, std::string> values;

  friend bool operator==(const IniSection&, const IniSection&) = default;
};

// The sections of an INI text, in its order. Neither sections nor keys repeat.
class IniDocument {
 public:
  // Returns nothing, and appends to `problems`, when `text` is not such a
  // document.
  static std::optional<IniDocument> Parse(const std::string& text,
                                          std::vector<Problem>& problems);

  const std::vector<IniSection>& sections() const { return sections_; }

  friend bool operator==(const IniDocument&, const IniDocument&) = default;

 private:
  explicit IniDocument(std::vector<IniSection> sections);

  std::vector<IniSection> sections_;
};

}  // namespace papayadrift::settings

#endif  // PAPAYADRIFT_SETTINGS_INI_DOCUMENT_H_
