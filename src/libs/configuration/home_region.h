#ifndef PAPAYADRIFT_CONFIGURATION_HOME_REGION_H_
#define PAPAYADRIFT_CONFIGURATION_HOME_REGION_H_

#include <optional>
#include <string_view>
#include <vector>

#include "base/identifiers.h"
#include "configuration/configuration.h"

namespace papayadrift::configuration {

// The regions over which ids that name no region are spread. The first file
// fixes them for ever, so that every version in force gives an id one home.
// Empty: not known yet.
using HomeRegions = std::vector<RegionId>;

// Returns the region that an id names after its last "@", if there is one.
std::optional<RegionId> NamedRegionOf(std::string_view id);

// Returns what stands before the last "@" of an id, or the whole id.
std::string_view WithoutRegion(std::string_view id);

// Returns the only region that may run the job or request with that id: the one
// that it names, or one of `home_regions`, whatever their order. Nothing when
// that is not known yet. Depends on no version of the file.
std::optional<RegionId> HomeRegionOf(std::string_view id,
                                     const HomeRegions& home_regions);

// Returns the home regions that a file states, sorted; none when it has no
// sections of regions.
HomeRegions StatedHomeRegions(const Configuration& configuration);

// Returns the home regions to propose with a file. A file without sections of
// regions is for one region: the one in force, or else `own`.
HomeRegions HomeRegionsToPropose(const Configuration& configuration,
                                 const HomeRegions& in_force,
                                 const RegionId& own);

}  // namespace papayadrift::configuration

#endif  // PAPAYADRIFT_CONFIGURATION_HOME_REGION_H_
