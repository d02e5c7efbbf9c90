#ifndef PAPAYADRIFT_CONFIGURATION_QUOTA_DIVISION_H_
#define PAPAYADRIFT_CONFIGURATION_QUOTA_DIVISION_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/identifiers.h"
#include "base/resources.h"
#include "configuration/configuration.h"
#include "configuration/home_region.h"

namespace papayadrift::configuration {

using TeamShares = std::map<TeamId, Resources>;

// Returns the part of each team's quota that a region holds by the weights in
// the file. The parts of all regions add up to the quota. Where the file has no
// sections of regions, the only home region holds all of it.
TeamShares QuotaSharesOf(const Configuration& configuration,
                         const HomeRegions& home_regions,
                         const RegionId& region);

// Returns the regions that hold a part of the quotas.
std::vector<RegionId> QuotaHolders(const Configuration& configuration,
                                   const HomeRegions& home_regions);

// Returns a digest of everything in the file that the parts depend on.
uint64_t DivisionDigest(const Configuration& configuration);

// Returns the configuration with these parts in the place of the quotas; a team
// without one has none.
Configuration WithQuotas(const Configuration& configuration,
                         const TeamShares& shares);

}  // namespace papayadrift::configuration

#endif  // PAPAYADRIFT_CONFIGURATION_QUOTA_DIVISION_H_
