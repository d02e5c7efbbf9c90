#include "configuration/home_region.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/hash.h"

namespace papayadrift::configuration {

namespace {

constexpr char kRegionMark = '@';

}  // namespace

std::optional<RegionId> NamedRegionOf(std::string_view id) {
  const size_t at = id.rfind(kRegionMark);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  return RegionId(std::string(id.substr(at + 1)));
}

std::string_view WithoutRegion(std::string_view id) {
  return id.substr(0, id.rfind(kRegionMark));
}

std::optional<RegionId> HomeRegionOf(std::string_view id,
                                     const HomeRegions& home_regions) {
  if (std::optional<RegionId> named = NamedRegionOf(id)) {
    return named;
  }
  const auto it =
      std::ranges::max_element(home_regions, {}, [id](const RegionId& region) {
        return std::pair(RendezvousWeight(id, region.text()), region);
      });
  return it == home_regions.end() ? std::nullopt : std::optional(*it);
}

HomeRegions StatedHomeRegions(const Configuration& configuration) {
  HomeRegions stated;
  for (const Region& region : configuration.regions) {
    if (region.is_home) {
      stated.push_back(region.region);
    }
  }
  std::ranges::sort(stated);
  return stated;
}

HomeRegions HomeRegionsToPropose(const Configuration& configuration,
                                 const HomeRegions& in_force,
                                 const RegionId& own) {
  if (!configuration.regions.empty()) {
    return StatedHomeRegions(configuration);
  }
  return in_force.size() == 1 ? in_force : HomeRegions{own};
}

}  // namespace papayadrift::configuration
