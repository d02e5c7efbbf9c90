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
  kNotMember,      // This entry is not a member or has lapsed.
  kNotFullMember,  // This entry has joined and is not a full member yet.
  kPromiseKept,    // A promise given by this entry still holds.
};

// Decides whether an entry may author a lapse, and gives and keeps its freeze
// promises. All instants are on the entry's clock. A restarted entry creates a
// new object under a new incarnation and joins again.
class FreezePromises {
 public:
  FreezePromises(MemberKey self, LeaseSettings settings);

  // Updates the replayed membership.
  void OnReplayed(const ReplayedMembers& replayed, Instant now);
  // Handles the notice of a joiner. The acknowledgement confirms that this
  // entry knows the joiner from now on.
  JoinerAcknowledgement OnNotice(const JoinerNotice& notice, Instant now);
  // Handles a member's acknowledgement of this entry's own notice.
  void OnAcknowledged(const JoinerAcknowledgement& acknowledgement,
                      Instant now);
  // Answers a request. A promise given here holds until promises_kept_until().
  FreezeAnswer OnRequest(const FreezeRequest& request, Instant now);

  // Marks a subject that this entry suspects. While one is marked this entry
  // gives no promises, so that earlier ones expire. OnLapseUnwanted(),
  // OnLapseProposed() and OnLapseResolved() remove the mark.
  void OnLapseWanted(const LapseSubject& subject);
  void OnLapseUnwanted(const LapseSubject& subject);
  // Marks a lapse whose record is passed to the log as pending, until the
  // record is known to be accepted, rejected or expired by offset. Promises
  // exclude the subject meanwhile.
  void OnLapseProposed(const LapseSubject& subject);
  void OnLapseResolved(const LapseSubject& subject);

  // Returns why this entry may not author a lapse at `now`, or nothing if it
  // may.
  std::optional<LapseRefusal> FindLapseRefusal(Instant now) const;
  // The same for the lapse of an entry that operators declare gone. Their
  // declaration replaces only the requirement of full membership.
  std::optional<LapseRefusal> FindRetirementRefusal(Instant now) const;
  bool IsFullMember(Instant now) const;
  bool IsLapsePending(const LapseSubject& subject) const;
  // Returns the notice to send to peers until this entry is a full member, or
  // nothing before it has joined.
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
