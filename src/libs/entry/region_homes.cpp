#include "entry/region_homes.h"

#include <optional>
#include <string>

#include "configuration/home_region.h"

namespace papayadrift::entry {

EntryId AuthorAmongRegions(const RegionId& region, const EntryId& entry) {
  return EntryId(region.text() + "/" + entry.text());
}

HomeAnswer FindHome(std::string_view id,
                    const RegionId& own,
                    const ConfigurationInForce& configuration) {
  const std::optional<RegionId> home =
      configuration::HomeRegionOf(id, configuration.home_regions);
  if (!home) {
    return HomeIsUnknown();
  }
  if (*home == own) {
    return HomeIsHere();
  }
  const configuration::Region* region =
      configuration::FindRegion(configuration.parsed, *home);
  return HomeRegion{*home, region == nullptr ? std::string() : region->address};
}

std::optional<Refusal> RefusalByHome(const HomeAnswer& home) {
  if (std::holds_alternative<HomeIsHere>(home)) {
    return std::nullopt;
  }
  if (const auto* region = std::get_if<HomeRegion>(&home)) {
    return Refusal{RefusalReason::kNotHomeRegion, Ran::kUnknown,
                   "This region did not take the job and never will: only its "
                   "home region may run it.",
                   std::nullopt, *region};
  }
  return Refusal{RefusalReason::kNotReady, Ran::kNo,
                 "The home regions are not known yet.", std::nullopt};
}

}  // namespace papayadrift::entry
