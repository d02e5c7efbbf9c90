#include "jobs/zone_evacuations.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "base/lookup.h"

namespace papayadrift::jobs {

ZoneEvacuations::Changes ZoneEvacuations::Update(
    const std::set<std::string>& zones,
    Instant now) {
  Changes changes;
  std::ranges::copy_if(
      zones, std::back_inserter(changes.begun),
      [this](const std::string& zone) { return !zones_.contains(zone); });
  std::ranges::copy_if(
      zones_ | std::views::keys, std::back_inserter(changes.ended),
      [&zones](const std::string& zone) { return !zones.contains(zone); });
  for (const std::string& zone : changes.begun) {
    zones_.emplace(zone, now);
  }
  for (const std::string& zone : changes.ended) {
    zones_.erase(zone);
  }
  return changes;
}

bool ZoneEvacuations::ContainsSince(const std::string& zone,
                                    Instant time) const {
  const Instant* since = FindOrNull(zones_, zone);
  return since != nullptr && *since <= time;
}

}  // namespace papayadrift::jobs
