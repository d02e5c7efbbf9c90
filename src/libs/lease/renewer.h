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

// The basis on which an entry may renew leases and use its slot shares.
enum class RenewalBasis {
  kFreshTail,  // A recently started read of the tail showed no lapse.
  kPromises,   // Every member that may author a lapse has promised not to.
};

enum class RenewalRefusal {
  kNotMember,       // This entry is not a member or has lapsed.
  kTargetLapsed,    // The target's lapse is recorded, or pending at this entry.
  kTargetExcluded,  // A member's promise excludes the target, because its lapse
                    // may take effect.
  kOutageCapPassed,  // The last read of the tail is older than the outage cap.
  kPromiseMissing,   // A member has not promised, or its promise has expired.
};

// The holder of a lease to be renewed.
struct RenewalTarget {
  LapseSubject subject;
  // Replay shows the lapse of the subject, or does not show this incarnation as
  // live.
  bool is_lapsed = false;
  // This entry has authored the lapse of the subject, and its outcome is not
  // known yet.
  bool is_lapse_pending = false;

  friend bool operator==(const RenewalTarget&, const RenewalTarget&) = default;
};

// The newest promise received from a peer.
struct HeldPromise {
  Instant asked_at;
  std::set<LapseSubject> excluded;  // Subjects that the promise does not cover.

  friend bool operator==(const HeldPromise&, const HeldPromise&) = default;
};

// Decides whether an entry may renew the lease of a worker, or use its own slot
// shares, at an instant. All instants are on the entry's clock.
class Renewer {
 public:
  Renewer(MemberKey self, LeaseSettings settings);

  // Updates the replayed membership.
  void OnReplayed(const ReplayedMembers& replayed);
  // Records a read of the tail, started at `begun_at`, that has been replayed
  // to its end.
  void OnTailRead(Instant begun_at);
  // Handles the notice of a joiner that replay has not reached yet.
  void OnNotice(const JoinerNotice& notice);

  // Returns a request to send to every peer now, and records its time.
  FreezeRequest CreateRequest(Instant now);
  void OnAnswer(const FreezeAnswer& answer);

  // Returns the basis on which the target may be renewed, or nothing; see
  // last_reason().
  std::optional<RenewalBasis> MayRenew(const RenewalTarget& target,
                                       Instant now);
  // The same for this entry's own slot shares.
  std::optional<RenewalBasis> MayUseShares(Instant now);
  // Returns until when the basis that holds at `now` stays valid without
  // further events, or nothing if there is none.
  std::optional<Instant> SharesUsableUntil(Instant now);

  std::optional<RenewalRefusal> last_reason() const { return last_reason_; }
  // Returns the peers whose promises are needed to renew without the log.
  std::vector<MemberKey> Peers() const;
  std::optional<Instant> last_tail_read() const { return tail_read_begun_at_; }
  // The newest promise of each peer that gave one, including expired ones.
  const std::map<MemberKey, HeldPromise>& promises() const { return promises_; }

 private:
  std::optional<RenewalRefusal> FindRefusalWithoutLog(
      const LapseSubject& subject,
      Instant now) const;
  // Returns the unexpired promise of a peer, or null.
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
