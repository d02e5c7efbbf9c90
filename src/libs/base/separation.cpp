#include "base/separation.h"

#include <cassert>

namespace papayadrift {

namespace {

template <typename Domain>
void TakeOne(std::map<Domain, uint32_t>& counts, const Domain& domain) {
  const auto it = counts.find(domain);
  assert(it != counts.end());
  if (--it->second == 0) {
    counts.erase(it);
  }
}

template <typename Domain>
bool IsBelow(const std::map<Domain, uint32_t>& counts,
             const Domain& domain,
             uint32_t most) {
  const auto it = counts.find(domain);
  return most == 0 || it == counts.end() || it->second < most;
}

}  // namespace

void DomainCounts::Add(const ZoneId& zone, const RackId& rack) {
  ++zones_[zone];
  ++racks_[{zone, rack}];
}

void DomainCounts::Remove(const ZoneId& zone, const RackId& rack) {
  TakeOne(zones_, zone);
  TakeOne(racks_, {zone, rack});
}

bool DomainCounts::HasRoom(const Separation& separation,
                           const ZoneId& zone,
                           const RackId& rack) const {
  return IsBelow(zones_, zone, separation.most_per_zone) &&
         IsBelow(racks_, {zone, rack}, separation.most_per_rack);
}

}  // namespace papayadrift
