#ifndef PAPAYADRIFT_JOBS_ZONE_EVACUATIONS_H_
#define PAPAYADRIFT_JOBS_ZONE_EVACUATIONS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/instant.h"

namespace papayadrift::jobs {

// The availability zones that operators have evacuated: their runners get no
// more work. Answers the load of a zone that is emptied for maintenance while
// the others have to carry its work.
class ZoneEvacuations {
 public:
  struct Changes {
    std::vector<std::string> begun;
    std::vector<std::string> ended;

    bool is_empty() const { return begun.empty() && ended.empty(); }
    friend bool operator==(const Changes&, const Changes&) = default;
  };

  // Takes all zones that are evacuated as of now, and returns what has changed.
  Changes Update(const std::set<std::string>& zones, Instant now);
  bool Contains(const std::string& zone) const { return zones_.contains(zone); }
  // Returns whether the zone has been evacuated at least since `time`, as far
  // as this process has been told.
  bool ContainsSince(const std::string& zone, Instant time) const;
  size_t size() const { return zones_.size(); }

 private:
  std::map<std::string, Instant> zones_;  // When each was first known.
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_ZONE_EVACUATIONS_H_
