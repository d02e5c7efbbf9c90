#ifndef PAPAYADRIFT_LEASE_RENEWER_H_
#define PAPAYADRIFT_LEASE_RENEWER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/instant.h"
#include "lease/lease_settings.h"
#include "lease/subjects.h"

namespace papayadrift::lease {

// Why an entry may renew leases and use its slot shares.
enum class RenewalBasis {
  kFreshTail,  // A read of the tail begun lately showed no lapse.
  kPromises,   // Every member that may author a lapse promised not to.
};

enum class RenewalRefusal {
  kNotMember,        // This entry is not a member, or is lapsed.
  kTargetLapsed,     // The lapse is recorded, or pending here.
  kTargetExcluded,   // A member's promise excludes it: its lapse may take
                     // effect.
  kOutageCapPassed,  // The last read of the tail is too long ago.
  kPromiseMissing,   // A member has not promised, or its promise ran out.
};

// Whom an entry asks itself to renew.
struct RenewalTarget {
  LapseSubject subject;
  // Replay shows its lapse, or does not know this incarnation as live.
  bool is_lapsed = false;
  // This entry has authored its lapse, with the end not known yet.
  bool is_lapse_pending = false;

  friend bool operator==(const RenewalTarget&, const RenewalTarget&) = default;
};

// The newest promise of a peer.
struct HeldPromise {
  Instant asked_at;
  std::set<LapseSubject> excluded;  // Whom it says nothing of.

  friend bool operator==(const HeldPromise&, const HeldPromise&) = default;
};

// Decides at an entry whether it may renew the lease of a worker, and use its
// own slot shares, at an instant. All instants are of the entry's clock.
class Renewer {
 public:
  Renewer(MemberKey self, LeaseSettings settings);

  // Replay has moved on.
  void OnReplayed(const ReplayedMembers& replayed);
  // A read of the tail, begun at `begun_at`, has been replayed to its end.
  void OnTailRead(Instant begun_at);
  // A joiner that replay has not shown yet introduced itself.
  void OnNotice(const JoinerNotice& notice);

  // Returns a request to send to every peer now, and remembers its time.
  FreezeRequest CreateRequest(Instant now);
  void OnAnswer(const FreezeAnswer& answer);

  // Returns why the target may be renewed, or nothing; see last_reason().
  std::optional<RenewalBasis> MayRenew(const RenewalTarget& target,
                                       Instant now);
  // The same for this entry's own slot shares.
  std::optional<RenewalBasis> MayUseShares(Instant now);
  // Until when the ground that holds at `now` lasts, whatever happens; nothing
  // if there is none.
  std::optional<Instant> SharesUsableUntil(Instant now);

  std::optional<RenewalRefusal> last_reason() const { return last_reason_; }
  // Peers whose promise is needed to go on without the log.
  std::vector<MemberKey> Peers() const;
  std::optional<Instant> last_tail_read() const { return tail_read_begun_at_; }
  // The newest promise of each peer that gave one, also when it has run out.
  const std::map<MemberKey, HeldPromise>& promises() const { return promises_; }

 private:
  std::optional<RenewalRefusal> FindRefusalWithoutLog(
      const LapseSubject& subject,
      Instant now) const;
  // Returns the live promise of a peer; null without one.
  const HeldPromise* LivePromiseOf(const MemberKey& peer, Instant now) const;
  Instant PromisesLiveUntil() const;
  void DiscardExpired(Instant now);

  const MemberKey self_;
  const LeaseSettings settings_;
  ReplayedMembers replayed_;
  std::set<JoinerNotice> announced_joiners_;
  std::optional<Instant> tail_read_begun_at_;
  uint64_t last_sequence_ = 0;
  std::map<uint64_t, Instant> asked_at_;
  std::map<MemberKey, HeldPromise> promises_;
  std::optional<RenewalRefusal> last_reason_;
};

}  // namespace papayadrift::lease

#endif  // PAPAYADRIFT_LEASE_RENEWER_H_
