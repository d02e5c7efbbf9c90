#ifndef PAPAYADRIFT_SETTINGS_PROBLEM_H_
#define PAPAYADRIFT_SETTINGS_PROBLEM_H_

#include <span>
#include <string>
#include <string_view>

namespace papayadrift::settings {

// What is wrong with a file, a section or a value.
enum class ProblemKind {
  kBadUnit,
  kBadValue,
  kKeyMissing,
  kKeyOutsideSection,
  kKeyRepeated,
  kKeyUnknown,
  kLineTooLong,
  kNotText,
  kOutOfRange,
  kReferenceUnknown,
  kSectionMissing,
  kSectionRepeated,
  kSectionUnknown,
  kSyntax,
  kTooLarge,
  kUnreadable,
};

// All kinds, in order.
std::span<const ProblemKind> AllProblemKinds();

std::string_view ToText(ProblemKind kind);

// A reason to refuse a file. `section` and `key` are empty, and `line` is 0,
// where they do not apply.
struct Problem {
  ProblemKind kind = ProblemKind::kSyntax;
  std::string section;
  std::string key;
  int line = 0;
  std::string detail;  // What was expected, for people.

  friend bool operator==(const Problem&, const Problem&) = default;
};

// Returns one line: "<file>: [<section>] <key>: <kind>: <detail>".
std::string ToText(const Problem& problem, std::string_view file);

}  // namespace papayadrift::settings

#endif  // PAPAYADRIFT_SETTINGS_PROBLEM_H_
