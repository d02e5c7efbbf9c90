#ifndef PAPAYADRIFT_MEMBERSHIP_SLOT_SHARES_H_
#define PAPAYADRIFT_MEMBERSHIP_SLOT_SHARES_H_

// How the entries of a region divide the slots and connections of a runner,
// each from its own replayed prefix of the log, without a word to each other.
//
// The shares that entries with different prefixes use never add up to more
// than the runner has, provided that
// - an entry appends EntryAcknowledged for a joiner only when its requests in
//   flight are within the shares that count the joiner (see IsWithinShares()),
// - a joiner is full only when every full member has acknowledged it, and
// - a lapsed member is retired, and a member leaves, only when it uses nothing.
// It then holds because the share of a member never grows when members are
// added: whoever is full is counted by every other full member already.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lease/subjects.h"

namespace papayadrift::membership {

using lease::MemberKey;

// A member as far as shares are concerned. One that left or is retired is none.
struct ShareMember {
  MemberKey key;
  bool is_lapsed = false;
  bool was_full = false;  // Full now, or at some time before its lapse.

  friend bool operator==(const ShareMember&, const ShareMember&) = default;
};

// What an entry may have in use of one runner at a time.
struct RunnerShare {
  int32_t slots = 0;
  int32_t connections = 0;

  friend bool operator==(const RunnerShare&, const RunnerShare&) = default;
};

// Use of a runner by this entry, against what it may use.
struct RunnerUse {
  RunnerShare in_use;
  RunnerShare allowed;

  friend bool operator==(const RunnerUse&, const RunnerUse&) = default;
};

// Returns the share of `self` in a runner with `total`, by the members as
// `self` has replayed them: nothing unless `self` is full and not lapsed.
// `runner` names the runner the same way at every entry, by its address.
RunnerShare ShareOf(const MemberKey& self,
                    std::string_view runner,
                    const RunnerShare& total,
                    const std::vector<ShareMember>& members);

// Returns whether an entry with these uses may acknowledge the joiners that
// the allowed shares count.
bool IsWithinShares(const std::vector<RunnerUse>& uses);

}  // namespace papayadrift::membership

#endif  // PAPAYADRIFT_MEMBERSHIP_SLOT_SHARES_H_
