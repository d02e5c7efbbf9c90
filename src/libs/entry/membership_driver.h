#ifndef PAPAYADRIFT_ENTRY_MEMBERSHIP_DRIVER_H_
#define PAPAYADRIFT_ENTRY_MEMBERSHIP_DRIVER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "entry/decision_stream.h"
#include "lease/freeze_promises.h"
#include "lease/lapse_timer.h"
#include "lease/renewer.h"
#include "membership/membership_view.h"
#include "membership/slot_shares.h"
#include "records/record.h"

namespace papayadrift::entry {

// What became of the operators' word that an entry is gone.
struct EntryLapsedByWord {};
struct EntryNotFound {};      // No member, or not in this incarnation.
struct EntryStillHeard {};    // It runs, as far as this entry can tell.
struct RetirerNotMember {};   // This entry may author nothing.
struct RetirementLogDown {};  // Nothing was recorded.
struct RetirementUnknown {};  // Whether it was recorded is not known.
struct RetirementNotBefore {  // Promises given to peers are kept until then.
  Instant at;
};
using RetirementOutcome = std::variant<EntryLapsedByWord,
                                       EntryNotFound,
                                       EntryStillHeard,
                                       RetirerNotMember,
                                       RetirementLogDown,
                                       RetirementUnknown,
                                       RetirementNotBefore>;
using OnRetirement = std::function<void(const RetirementOutcome&)>;

// Says whether this entry uses no more of any runner than its share is.
using IsWithinShares = std::function<bool()>;

// Brings this entry into the membership, keeps the lease rule informed, and
// retires members and frees workers whose lapse is complete. On the control
// thread only.
class MembershipDriver : public DecisionListener {
 public:
  MembershipDriver(records::EntryJoined self,
                   DecisionStream& decisions,
                   lease::Renewer& renewer,
                   lease::FreezePromises& promises,
                   membership::MembershipView& view,
                   const lease::LeaseSettings& settings,
                   const Clock& clock,
                   IsWithinShares is_within_shares);

  void OnTime();
  // Gives up membership; `on_left` runs when the log shows it, or never.
  void Leave(std::function<void()> on_left);

  void OnApplied(Offset offset,
                 const replay::AppliedProposal& applied) override;
  void OnRestored() override;

  replay::EntryKey key() const { return {self_.entry, self_.incarnation}; }
  // What replay says of this entry; null when it is not a member.
  const replay::EntryState* own_state() const;
  // Whether a successor joined, or the entry was lapsed: it must end.
  bool is_superseded() const;
  // The live member whose duty the key is, as far as this entry can tell.
  std::optional<lease::MemberKey> HomeOf(std::string_view key) const;
  bool IsHomeOf(std::string_view key) const;
  // How many live members come before this entry.
  uint32_t RankAmongLive() const;
  // What of a runner with `total` this entry may use.
  membership::RunnerShare ShareOf(std::string_view runner,
                                  const membership::RunnerShare& total) const;

  // Whether joiners wait for the word of this entry.
  bool OwesAcknowledgement() const;

  // Proposes the lapse when the lease rule allows it now. Returns whether it
  // was proposed.
  bool ProposeLapse(const lease::LapseSubject& subject,
                    std::function<void()> on_resolved);
  // Lapses the member on the operators' word that it is gone; this entry need
  // not be full for it. The word replaces nothing else: what the member held is
  // free only when the lapse is complete.
  void Retire(const lease::MemberKey& member, OnRetirement on_outcome);

 private:
  // Why the member can't be retired now, or that it is lapsed already.
  std::optional<RetirementOutcome> AnswerToRetire(
      const lease::MemberKey& member) const;
  // Hands the record of a lapse to the log; promises exclude its subject until
  // its end is known.
  void HandOver(const lease::LapseSubject& subject, OnOutcome on_outcome);
  void Join();
  void Acknowledge();
  void CompleteLapses();
  void ProposeLapsesOfMembers();
  void TellReplayed();
  void NoteChange(Offset offset, const records::Record& record);

  const records::EntryJoined self_;
  DecisionStream& decisions_;
  lease::Renewer& renewer_;
  lease::FreezePromises& promises_;
  membership::MembershipView& view_;
  const Clock& clock_;
  const IsWithinShares is_within_shares_;
  // How long the record of a lapse may wait to be handed to the log.
  const milliseconds lapse_timeout_;
  lease::LapseTimer lapses_;
  // Members that this entry suspects for long enough.
  std::vector<lease::MemberKey> wanted_lapses_;
  Offset last_change_;
  std::map<replay::EntryKey, Offset> joined_at_;
  bool is_joining_ = false;
  bool has_joined_ = false;
  bool is_leaving_ = false;
  bool is_acknowledging_ = false;
  bool is_completing_ = false;
  std::vector<membership::ShareMember> share_members_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_MEMBERSHIP_DRIVER_H_
