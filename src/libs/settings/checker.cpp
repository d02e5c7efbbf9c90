#include "settings/checker.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace papayadrift::settings {

namespace {

struct SectionTitle {
  std::string kind;
  std::string name;  // Empty for an unnamed section.
};

SectionTitle SplitTitle(const std::string& title) {
  const size_t blank = title.find(' ');
  if (blank == std::string::npos) {
    return {title, ""};
  }
  return {title.substr(0, blank), title.substr(blank + 1)};
}

class Checker {
 public:
  Checker(const Schema& schema, std::vector<Problem>& problems)
      : schema_(schema), problems_(problems) {}

  CheckedSections Check(const IniDocument& document) {
    CheckedSections checked;
    for (const IniSection& section : document.sections()) {
      CheckSection(section, checked);
    }
    for (const SectionSpecification& specification : schema_.sections) {
      AddIfAbsent(specification, checked);
    }
    CheckReferences(checked);
    return checked;
  }

 private:
  const SectionSpecification* Find(std::string_view kind) const {
    const auto it =
        std::ranges::find(schema_.sections, kind, &SectionSpecification::kind);
    return it == schema_.sections.end() ? nullptr : &*it;
  }

  void CheckSection(const IniSection& section, CheckedSections& checked) {
    const SectionTitle title = SplitTitle(section.name);
    const SectionSpecification* specification = Find(title.kind);
    if (specification == nullptr) {
      problems_.push_back(
          {ProblemKind::kSectionUnknown, section.name, "", 0, ""});
      return;
    }
    if (!IsTitleRight(*specification, title, section.name)) {
      return;
    }
    checked.emplace_back(title.kind, title.name,
                         CheckKeys(*specification, section));
  }

  bool IsTitleRight(const SectionSpecification& specification,
                    const SectionTitle& title,
                    const std::string& whole) {
    if (!specification.is_named) {
      if (!title.name.empty()) {
        problems_.push_back({ProblemKind::kSectionUnknown, whole, "", 0,
                             "This section has no name."});
      }
      return title.name.empty();
    }
    const KeySpecification name{.key = "", .kind = specification.name_kind};
    return ReadValue(name, title.name, whole, problems_).has_value();
  }

  std::map<std::string, Value, std::less<>> CheckKeys(
      const SectionSpecification& specification,
      const IniSection& section) {
    for (const auto& [key, value] : section.values) {
      if (std::ranges::find(specification.keys, key, &KeySpecification::key) ==
          specification.keys.end()) {
        problems_.push_back(
            {ProblemKind::kKeyUnknown, section.name, key, 0, ""});
      }
    }
    std::map<std::string, Value, std::less<>> values;
    for (const KeySpecification& key : specification.keys) {
      if (std::optional<Value> value = CheckKey(key, section)) {
        values.emplace(key.key, std::move(*value));
      }
    }
    return values;
  }

  std::optional<Value> CheckKey(const KeySpecification& key,
                                const IniSection& section) {
    const auto it = section.values.find(std::string(key.key));
    if (it != section.values.end()) {
      return ReadValue(key, it->second, section.name, problems_);
    }
    if (!key.fallback) {
      problems_.push_back({ProblemKind::kKeyMissing, section.name,
                           std::string(key.key), 0, ""});
      return std::nullopt;
    }
    if (key.fallback->empty()) {
      return EmptyValue(key.kind);
    }
    return ReadValue(key, *key.fallback, section.name, problems_);
  }

  static Value EmptyValue(ValueKind kind) {
    if (kind == ValueKind::kAddressList || kind == ValueKind::kNameList) {
      return std::vector<std::string>();
    }
    return std::string();
  }

  void AddIfAbsent(const SectionSpecification& specification,
                   CheckedSections& checked) {
    const bool is_there = std::ranges::any_of(checked, [&](const auto& it) {
      return it.kind() == specification.kind;
    });
    if (is_there) {
      return;
    }
    if (specification.is_required) {
      problems_.push_back({ProblemKind::kSectionMissing,
                           std::string(specification.kind), "", 0, ""});
      return;
    }
    if (!specification.is_named) {
      const IniSection empty{std::string(specification.kind), {}};
      checked.emplace_back(empty.name, "", CheckKeys(specification, empty));
    }
  }

  void CheckReferences(const CheckedSections& checked) {
    std::set<std::pair<std::string, std::string>> names;
    for (const CheckedSection& section : checked) {
      names.emplace(section.kind(), section.name());
    }
    for (const CheckedSection& section : checked) {
      for (const KeySpecification& key : Find(section.kind())->keys) {
        CheckReference(section, key, names);
      }
    }
  }

  void CheckReference(
      const CheckedSection& section,
      const KeySpecification& key,
      const std::set<std::pair<std::string, std::string>>& names) {
    if (key.kind != ValueKind::kReference || !problems_.empty()) {
      return;
    }
    const std::string& target = section.Text(key.key);
    if (target.empty() ||
        names.contains({std::string(key.reference), target})) {
      return;
    }
    problems_.push_back({ProblemKind::kReferenceUnknown,
                         section.kind() + " " + section.name(),
                         std::string(key.key), 0,
                         "There is no section [" + std::string(key.reference) +
                             " " + target + "]."});
  }

  const Schema& schema_;
  std::vector<Problem>& problems_;
};

std::string RangeCell(const KeySpecification& key) {
  if (key.minimum == key.maximum) {
    return "";
  }
  std::string text =
      std::to_string(key.minimum) + " to " + std::to_string(key.maximum);
  if (key.kind == ValueKind::kDuration) {
    text += " ms";
  } else if (key.kind == ValueKind::kMemory) {
    text += " MiB";
  } else if (key.kind == ValueKind::kCores) {
    text += " millicores";
  }
  return text;
}

std::string FallbackCell(const KeySpecification& key) {
  if (!key.fallback) {
    return "required";
  }
  return key.fallback->empty() ? "none" : std::string(*key.fallback);
}

}  // namespace

CheckedSection::CheckedSection(std::string kind,
                               std::string name,
                               std::map<std::string, Value, std::less<>> values)
    : kind_(std::move(kind)),
      name_(std::move(name)),
      values_(std::move(values)) {}

const std::string& CheckedSection::Text(std::string_view key) const {
  return std::get<std::string>(values_.find(key)->second);
}

int64_t CheckedSection::Amount(std::string_view key) const {
  return std::get<int64_t>(values_.find(key)->second);
}

bool CheckedSection::IsSet(std::string_view key) const {
  return std::get<bool>(values_.find(key)->second);
}

const std::vector<std::string>& CheckedSection::List(
    std::string_view key) const {
  return std::get<std::vector<std::string>>(values_.find(key)->second);
}

std::optional<CheckedSections> ReadChecked(const Schema& schema,
                                           const std::string& text,
                                           std::vector<Problem>& problems) {
  const std::optional<IniDocument> document =
      IniDocument::Parse(text, problems);
  if (!document) {
    return std::nullopt;
  }
  CheckedSections checked = Checker(schema, problems).Check(*document);
  if (!problems.empty()) {
    return std::nullopt;
  }
  return checked;
}

const CheckedSection& FindSection(const CheckedSections& sections,
                                  std::string_view kind) {
  const auto it = std::ranges::find(sections, kind, &CheckedSection::kind);
  assert(it != sections.end());
  return *it;
}

std::string ReferencePage(const Schema& schema) {
  std::string page = "# " + std::string(schema.title) + "\n";
  for (const SectionSpecification& section : schema.sections) {
    page += "\n## [" + std::string(section.kind) +
            (section.is_named ? " NAME" : "") + "]\n\n" +
            std::string(section.description) + "\n\n" +
            "| key | written as | range | default | meaning |\n" +
            "|---|---|---|---|---|\n";
    for (const KeySpecification& key : section.keys) {
      page += "| `" + std::string(key.key) + "` | " +
              std::string(ToText(key.kind)) + " | " + RangeCell(key) + " | " +
              FallbackCell(key) + " | " + std::string(key.description) + " |\n";
    }
  }
  return page;
}

}  // namespace papayadrift::settings
