#ifndef PAPAYADRIFT_BASE_SEPARATION_H_
#define PAPAYADRIFT_BASE_SEPARATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "base/identifiers.h"

namespace papayadrift {

// What the tasks of a job keep apart from. Counts are of tasks of the job with
// a live attempt; 0 stands for no limit.
struct Separation {
  static constexpr size_t kMaximumKinds = 16;

  uint32_t most_per_rack = 0;
  uint32_t most_per_zone = 0;
  // Kinds that must not run on the same VM, whichever of both came first. The
  // job's own kind keeps its tasks on different VMs.
  std::vector<KindId> apart_from;

  // Returns whether there is a limit for any failure domain.
  bool IsSpread() const { return most_per_rack > 0 || most_per_zone > 0; }

  friend bool operator==(const Separation&, const Separation&) = default;
};

// Counts the tasks of one job by rack and availability zone. Racks of
// different availability zones are different ones, also with one name.
class DomainCounts {
 public:
  void Add(const ZoneId& zone, const RackId& rack);
  // Takes back one Add() of the same rack.
  void Remove(const ZoneId& zone, const RackId& rack);

  // Returns whether one more task may stand there.
  bool HasRoom(const Separation& separation,
               const ZoneId& zone,
               const RackId& rack) const;

  friend bool operator==(const DomainCounts&, const DomainCounts&) = default;

 private:
  using Rack = std::pair<ZoneId, RackId>;

  std::map<ZoneId, uint32_t> zones_;
  std::map<Rack, uint32_t> racks_;
};

}  // namespace papayadrift

#endif  // PAPAYADRIFT_BASE_SEPARATION_H_
