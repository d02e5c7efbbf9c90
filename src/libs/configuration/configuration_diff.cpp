#include "configuration/configuration_diff.h"

#include <algorithm>

namespace papayadrift::configuration {

namespace {

template <typename T, typename Id>
void CompareSections(std::string_view kind,
                     const std::vector<T>& before,
                     const std::vector<T>& after,
                     Id T::* id,
                     std::vector<SectionChange>& changes) {
  const auto title = [&](const T& value) {
    return std::string(kind) + " " + (value.*id).text();
  };
  for (const T& value : before) {
    const auto it = std::ranges::find(after, value.*id, id);
    if (it == after.end()) {
      changes.push_back({ChangeKind::kRemoved, title(value)});
    } else if (*it != value) {
      changes.push_back({ChangeKind::kChanged, title(value)});
    }
  }
  for (const T& value : after) {
    if (std::ranges::find(before, value.*id, id) == before.end()) {
      changes.push_back({ChangeKind::kAdded, title(value)});
    }
  }
}

}  // namespace

std::string_view ToText(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kChanged:
      return "changed";
    case ChangeKind::kRemoved:
      return "removed";
  }
  return "";
}

std::vector<SectionChange> Compare(const Configuration& before,
                                   const Configuration& after) {
  std::vector<SectionChange> changes;
  CompareSections("region", before.regions, after.regions, &Region::region,
                  changes);
  CompareSections("customer", before.customers, after.customers,
                  &Customer::customer, changes);
  CompareSections("team", before.teams, after.teams, &Team::team, changes);
  CompareSections("service", before.services, after.services, &Service::service,
                  changes);
  CompareSections("job", before.jobs, after.jobs, &Job::job, changes);
  if (before.limits != after.limits) {
    changes.push_back({ChangeKind::kChanged, "limits"});
  }
  std::ranges::sort(changes, {}, &SectionChange::section);
  return changes;
}

}  // namespace papayadrift::configuration
