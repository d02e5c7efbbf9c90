#ifndef PAPAYADRIFT_CLUSTER_ZONES_VIEW_H_
#define PAPAYADRIFT_CLUSTER_ZONES_VIEW_H_

#include <set>
#include <string>

#include "base/instant.h"

namespace papayadrift::cluster {

// The availability zones that operators have evacuated, as of a time.
struct ZonesView {
  std::set<std::string> evacuated;
  Instant viewed_at;  // Unset before the operators' records have been read.

  friend bool operator==(const ZonesView&, const ZonesView&) = default;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_ZONES_VIEW_H_
