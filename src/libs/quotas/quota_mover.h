#ifndef PAPAYADRIFT_QUOTAS_QUOTA_MOVER_H_
#define PAPAYADRIFT_QUOTAS_QUOTA_MOVER_H_

#include <map>
#include <optional>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/resources.h"

namespace papayadrift::quotas {

using TeamAmounts = std::map<TeamId, Resources>;

// How a team stands in this region.
struct TeamNeed {
  TeamId team;
  Resources held;     // Part of its quota.
  Resources granted;  // To live attempts.
  Resources waiting;  // Declared by tasks that wait.

  friend bool operator==(const TeamNeed&, const TeamNeed&) = default;
};

// A part of a team's quota to be given to another region.
struct Gift {
  RegionId to;
  TeamId team;
  Resources amount;

  friend bool operator==(const Gift&, const Gift&) = default;
};

struct MoverSettings {
  // How long a team must be short, or have room to spare, before its part
  // moves.
  microseconds patience = seconds(30);
  // How long after it was short a team's part is not given away, and after a
  // gift no more is wanted.
  microseconds hold_off = std::chrono::minutes(5);
  // How often parts may move, so that all moves share few appends.
  microseconds period = seconds(10);
  // A want that lasts is stated anew this often, and is answered once.
  microseconds restate = std::chrono::minutes(1);
};

// Decides which parts of quotas to ask other regions for and which to give
// them. The holds keep a part from going to and fro. Does no I/O.
class QuotaMover {
 public:
  explicit QuotaMover(const MoverSettings& settings);

  // Takes how the teams stand. To be called every few seconds.
  void Observe(Instant now, const std::vector<TeamNeed>& needs);

  // Returns what this region wants now in all, if other regions are to be told
  // anew. Remembers that they were.
  std::optional<TeamAmounts> TakeWants(Instant now);

  // Returns what to give to the regions that want something. Remembers that it
  // was given.
  std::vector<Gift> TakeGifts(Instant now,
                              const std::map<RegionId, TeamAmounts>& wants);

 private:
  struct TeamState {
    TeamNeed need;
    std::optional<Instant> wants_at;  // Short since the patience before that.
    std::optional<Instant> gives_at;  // With room to spare, likewise.
    std::optional<Instant> keeps_until;
    std::optional<Instant> asks_not_until;
  };

  void ObserveTeam(Instant now, const TeamNeed& need);
  std::optional<Resources> WantOf(Instant now, const TeamState& team) const;
  static bool MayGive(Instant now, const TeamState& team);

  const MoverSettings settings_;
  std::map<TeamId, TeamState> teams_;
  TeamAmounts stated_;
  std::optional<Instant> restate_at_;
};

}  // namespace papayadrift::quotas

#endif  // PAPAYADRIFT_QUOTAS_QUOTA_MOVER_H_
