#include "entry/entry_standing.h"

namespace papayadrift::entry {

namespace {

// Entries of all versions must find the same one.
constexpr char kRegionDutyKey[] = "snapshot";

}  // namespace

EntryStanding::EntryStanding(const DecisionStream& decisions,
                             const ConfigurationStream& configuration,
                             const MembershipDriver& membership)
    : decisions_(decisions),
      configuration_(configuration),
      membership_(membership) {}

bool EntryStanding::is_full_member() const {
  const replay::EntryState* own = membership_.own_state();
  return decisions_.has_caught_up() && own != nullptr &&
         own->phase == replay::EntryPhase::kFull;
}

bool EntryStanding::is_ready() const {
  return is_full_member() && configuration_.is_known();
}

bool EntryStanding::has_region_duty() const {
  return is_full_member() && membership_.IsHomeOf(kRegionDutyKey);
}

}  // namespace papayadrift::entry
