#ifndef PAPAYADRIFT_LEASE_FREEZE_PROMISES_H_
#define PAPAYADRIFT_LEASE_FREEZE_PROMISES_H_

#include <map>
#include <optional>
#include <set>

#include "base/instant.h"
#include "lease/lease_settings.h"
#include "lease/subjects.h"

namespace papayadrift::lease {

enum class LapseRefusal {
  kNotMember,      // This entry is not a member, or is lapsed.
  kNotFullMember,  // It joined and must wait until it is full.
  kPromiseKept,    // A promise that it gave still holds.
};

// Decides at an entry whether it may author a lapse, gives freeze promises and
// keeps them. All instants are of the entry's clock. A restarted entry starts
// a new object under a new incarnation, and is a joiner again.
class FreezePromises {
 public:
  FreezePromises(MemberKey self, LeaseSettings settings);

  // Replay has moved on.
  void OnReplayed(const ReplayedMembers& replayed, Instant now);
  // A joiner introduced itself; the answer says that it is known from now on.
  JoinerAcknowledgement OnNotice(const JoinerNotice& notice, Instant now);
  // A member answered this entry's own notice.
  void OnAcknowledged(const JoinerAcknowledgement& acknowledgement,
                      Instant now);
  // Answers a request; a promise given is kept.
  FreezeAnswer OnRequest(const FreezeRequest& request, Instant now);

  // This entry suspects the subject and stops to promise, so that its promises
  // run out; undone by OnLapseUnwanted() and by OnLapseResolved().
  void OnLapseWanted(const LapseSubject& subject);
  void OnLapseUnwanted(const LapseSubject& subject);
  // The record of a lapse is handed to the log from now on, until it is known
  // to be accepted, rejected or expired by offset. Promises exclude the subject
  // meanwhile.
  void OnLapseProposed(const LapseSubject& subject);
  void OnLapseResolved(const LapseSubject& subject);

  // Returns why this entry may not author a lapse at `now`, if it may not.
  std::optional<LapseRefusal> FindLapseRefusal(Instant now) const;
  // The same for the lapse of an entry of which operators say that it is gone.
  // Their word stands for being full, and for nothing else.
  std::optional<LapseRefusal> FindRetirementRefusal(Instant now) const;
  bool IsFullMember(Instant now) const;
  bool IsLapsePending(const LapseSubject& subject) const;
  // The notice to send to peers until this entry is full, once it has joined.
  std::optional<JoinerNotice> OwnNotice() const;
  Instant promises_kept_until() const { return kept_until_; }
  const std::set<LapseSubject>& wanted_lapses() const { return wanted_; }
  const std::set<LapseSubject>& pending_lapses() const { return pending_; }

 private:
  bool KnowsAnnouncedJoiners(const FreezeRequest& request) const;
  void UpdateFullMembership(Instant now);

  const MemberKey self_;
  const LeaseSettings settings_;
  ReplayedMembers replayed_;
  std::set<JoinerNotice> announced_joiners_;
  std::set<LapseSubject> wanted_;
  std::set<LapseSubject> pending_;
  std::set<MemberKey> acknowledged_by_;
  std::optional<Instant> full_member_at_;
  Instant kept_until_;
};

}  // namespace papayadrift::lease

#endif  // PAPAYADRIFT_LEASE_FREEZE_PROMISES_H_
