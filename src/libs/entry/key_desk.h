#ifndef PAPAYADRIFT_ENTRY_KEY_DESK_H_
#define PAPAYADRIFT_ENTRY_KEY_DESK_H_

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "entry/decision_stream.h"
#include "entry/region_homes.h"
#include "routing/actions.h"
#include "routing/events.h"

namespace papayadrift::entry {

// Returns when the window of an idempotency key ends: a fixed time after the
// creation time that a UUID of version 7 holds. Nothing for other keys.
std::optional<WallInstant> WindowEndOf(const IdempotencyKey& key);

// Claims and resolves idempotency keys in the log. On the control thread only.
class KeyDesk {
 public:
  using OnVerdict = std::function<void(const routing::KeyClaimResult&)>;

  // Answers where the request with a key belongs.
  using FindHomeOf = std::function<HomeAnswer(std::string_view key)>;

  KeyDesk(EntryId entry,
          Incarnation incarnation,
          FindHomeOf find_home_of,
          DecisionStream& decisions,
          const Clock& clock);

  // Returns how the request with the key ended, if that is replayed, or that it
  // belongs to another region.
  std::optional<routing::KeyClaimResult> LookUp(
      const routing::RequestInfo& facts) const;
  void Claim(const routing::RequestInfo& facts, OnVerdict on_verdict);
  // Tells repeats that wait for the first request how that ended.
  void OnTime();
  void Resolve(const routing::ResolveKey& resolve);

 private:
  // A repeat of a request that is still in progress, here or elsewhere.
  struct Waiting {
    routing::RequestInfo facts;
    OnVerdict on_verdict;
  };

  // Why the key can't be claimed in this region, if so.
  std::optional<routing::KeyClaimResult> RefusalByHome(
      const IdempotencyKey& key) const;
  void OnOutcome(const routing::RequestInfo& facts,
                 const OnVerdict& on_verdict,
                 const ProposalOutcome& outcome);
  routing::KeyClaimResult VerdictOf(const routing::RequestInfo& facts,
                                    const ProposalOutcome& outcome) const;
  routing::KeyClaimResult RepeatOf(const routing::RequestInfo& facts) const;

  const EntryId entry_;
  const Incarnation incarnation_;
  const FindHomeOf find_home_of_;
  DecisionStream& decisions_;
  const Clock& clock_;
  std::vector<Waiting> waiting_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_KEY_DESK_H_
