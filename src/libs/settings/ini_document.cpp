#include "settings/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <utility>

namespace papayadrift::settings {

namespace {

// The library shortens long lines and names, merges repeated sections and
// passes over empty ones without a word, so lines are looked at first.
class LineScan {
 public:
  explicit LineScan(std::vector<Problem>& problems) : problems_(problems) {}

  std::vector<IniSection> Scan(std::string_view text) {
    int line = 0;
    while (!text.empty()) {
      ++line;
      const size_t end = std::min(text.find('\n'), text.size());
      ScanLine(text.substr(0, end), line);
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    return std::move(sections_);
  }

 private:
  void ScanLine(std::string_view text, int line) {
    if (text.size() > kMaximumLineBytes) {
      problems_.push_back({ProblemKind::kLineTooLong, section_, "", line,
                           "A line has at most " +
                               std::to_string(kMaximumLineBytes) + " bytes."});
      return;
    }
    const size_t first = text.find_first_not_of(" \t\r");
    if (first == std::string_view::npos || text[first] != '[') {
      return;
    }
    const size_t last = text.find(']', first);
    if (last == std::string_view::npos) {
      return;  // The library reports it as a syntax error.
    }
    OpenSection(std::string(text.substr(first + 1, last - first - 1)), line);
  }

  void OpenSection(std::string name, int line) {
    section_ = std::move(name);
    if (section_.empty() || section_.size() > kMaximumSectionNameBytes) {
      problems_.push_back({ProblemKind::kBadValue, section_, "", line,
                           "A section has a name of at most " +
                               std::to_string(kMaximumSectionNameBytes) +
                               " bytes."});
      return;
    }
    if (std::ranges::find(sections_, section_, &IniSection::name) !=
        sections_.end()) {
      problems_.push_back(
          {ProblemKind::kSectionRepeated, section_, "", line, ""});
      return;
    }
    sections_.push_back({section_, {}});
  }

  std::vector<Problem>& problems_;
  std::string section_;
  std::vector<IniSection> sections_;
};

struct Collector {
  std::vector<IniSection> sections;
  std::vector<Problem>& problems;
};

int Collect(void* user,
            const char* section,
            const char* key,
            const char* value) {
  auto& collector = *static_cast<Collector*>(user);
  const auto it =
      std::ranges::find(collector.sections, section, &IniSection::name);
  if (it == collector.sections.end()) {
    collector.problems.push_back(
        {ProblemKind::kKeyOutsideSection, section, key, 0, ""});
    return 1;
  }
  if (!it->values.emplace(key, value).second) {
    collector.problems.push_back(
        {ProblemKind::kKeyRepeated, section, key, 0, ""});
  }
  return 1;
}

}  // namespace

std::optional<IniDocument> IniDocument::Parse(const std::string& text,
                                              std::vector<Problem>& problems) {
  if (text.size() > kMaximumFileBytes) {
    problems.push_back({ProblemKind::kTooLarge, "", "", 0,
                        "A file has at most " +
                            std::to_string(kMaximumFileBytes) + " bytes."});
    return std::nullopt;
  }
  if (text.find('\0') != std::string::npos) {
    problems.push_back(
        {ProblemKind::kNotText, "", "", 0, "The file has a zero byte."});
    return std::nullopt;
  }
  const size_t problems_before = problems.size();
  Collector collector{LineScan(problems).Scan(text), problems};
  if (problems.size() > problems_before) {
    return std::nullopt;
  }
  const int line = ini_parse_string(text.c_str(), &Collect, &collector);
  if (line != 0) {
    problems.push_back({ProblemKind::kSyntax, "", "", std::max(line, 0),
                        "Expected [section], key = value or a comment."});
  }
  if (problems.size() > problems_before) {
    return std::nullopt;
  }
  return IniDocument(std::move(collector.sections));
}

IniDocument::IniDocument(std::vector<IniSection> sections)
    : sections_(std::move(sections)) {}

}  // namespace papayadrift::settings
