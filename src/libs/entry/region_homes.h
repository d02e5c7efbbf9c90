#ifndef PAPAYADRIFT_ENTRY_REGION_HOMES_H_
#define PAPAYADRIFT_ENTRY_REGION_HOMES_H_

#include <optional>
#include <string_view>
#include <variant>

#include "base/identifiers.h"
#include "base/refusal.h"
#include "entry/configuration_stream.h"

namespace papayadrift::entry {

// The job or request belongs to this region.
struct HomeIsHere {
  friend bool operator==(const HomeIsHere&, const HomeIsHere&) = default;
};

// No region may run it yet: the home regions are not known here.
struct HomeIsUnknown {
  friend bool operator==(const HomeIsUnknown&, const HomeIsUnknown&) = default;
};

// Only the region named may run it.
using HomeAnswer = std::variant<HomeIsHere, HomeIsUnknown, HomeRegion>;

// Returns the name under which an entry writes to a stream that all regions
// share: entries of two regions may have one name.
EntryId AuthorAmongRegions(const RegionId& region, const EntryId& entry);

// Returns where the job or request with that id belongs, as seen in `own`.
HomeAnswer FindHome(std::string_view id,
                    const RegionId& own,
                    const ConfigurationInForce& configuration);

// Returns why this region can't take a job whose home that is, if so.
std::optional<Refusal> RefusalByHome(const HomeAnswer& home);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_REGION_HOMES_H_
