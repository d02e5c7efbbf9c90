#include "settings/problem.h"

#include <algorithm>
#include <array>
#include <utility>

namespace papayadrift::settings {

namespace {

using NamedKind = std::pair<ProblemKind, std::string_view>;

constexpr auto kNamedKinds = std::to_array<NamedKind>({
    {ProblemKind::kBadUnit, "bad_unit"},
    {ProblemKind::kBadValue, "bad_value"},
    {ProblemKind::kKeyMissing, "key_missing"},
    {ProblemKind::kKeyOutsideSection, "key_outside_section"},
    {ProblemKind::kKeyRepeated, "key_repeated"},
    {ProblemKind::kKeyUnknown, "key_unknown"},
    {ProblemKind::kLineTooLong, "line_too_long"},
    {ProblemKind::kNotText, "not_text"},
    {ProblemKind::kOutOfRange, "out_of_range"},
    {ProblemKind::kReferenceUnknown, "reference_unknown"},
    {ProblemKind::kSectionMissing, "section_missing"},
    {ProblemKind::kSectionRepeated, "section_repeated"},
    {ProblemKind::kSectionUnknown, "section_unknown"},
    {ProblemKind::kSyntax, "syntax"},
    {ProblemKind::kTooLarge, "too_large"},
    {ProblemKind::kUnreadable, "unreadable"},
});

constexpr auto kKinds = [] {
  std::array<ProblemKind, kNamedKinds.size()> kinds{};
  std::ranges::transform(kNamedKinds, kinds.begin(), &NamedKind::first);
  return kinds;
}();

}  // namespace

std::span<const ProblemKind> AllProblemKinds() {
  return kKinds;
}

std::string_view ToText(ProblemKind kind) {
  return std::ranges::find(kNamedKinds, kind, &NamedKind::first)->second;
}

std::string ToText(const Problem& problem, std::string_view file) {
  std::string text(file);
  if (problem.line > 0) {
    text += ":" + std::to_string(problem.line);
  }
  text += ": ";
  if (!problem.section.empty()) {
    text += "[" + problem.section + "] ";
  }
  if (!problem.key.empty()) {
    text += problem.key + ": ";
  }
  text += ToText(problem.kind);
  if (!problem.detail.empty()) {
    text += ": " + problem.detail;
  }
  return text;
}

}  // namespace papayadrift::settings
