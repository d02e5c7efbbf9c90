#ifndef PAPAYADRIFT_SETTINGS_CHECKER_H_
#define PAPAYADRIFT_SETTINGS_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/ini_document.h"
#include "settings/problem.h"
#include "settings/schema.h"

namespace papayadrift::settings {

// A section of which every key of its specification has a value in range.
// Asking for a key that the specification lacks, or for another type than its
// kind has, is a programmer's error.
class CheckedSection {
 public:
  CheckedSection(std::string kind,
                 std::string name,
                 std::map<std::string, Value, std::less<>> values);

  const std::string& kind() const { return kind_; }
  const std::string& name() const { return name_; }

  const std::string& Text(std::string_view key) const;
  int64_t Amount(std::string_view key) const;
  bool IsSet(std::string_view key) const;  // For booleans.
  const std::vector<std::string>& List(std::string_view key) const;

 private:
  std::string kind_;
  std::string name_;
  std::map<std::string, Value, std::less<>> values_;
};

using CheckedSections = std::vector<CheckedSection>;

// Reads `text` by the schema. Returns nothing, and appends every problem found
// to `problems`, when anything is wrong. Unnamed sections that the file lacks
// are returned with their fallback values unless a key of theirs has none.
std::optional<CheckedSections> ReadChecked(const Schema& schema,
                                           const std::string& text,
                                           std::vector<Problem>& problems);

// Returns the unnamed section of that kind, which must exist.
const CheckedSection& FindSection(const CheckedSections& sections,
                                  std::string_view kind);

// Returns the reference page of the schema, in Markdown.
std::string ReferencePage(const Schema& schema);

}  // namespace papayadrift::settings

#endif  // PAPAYADRIFT_SETTINGS_CHECKER_H_
