#include "lease/freeze_promises.h"

#include <algorithm>
#include <utility>

#include "lease/rule.h"

namespace papayadrift::lease {

FreezePromises::FreezePromises(MemberKey self, LeaseSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void FreezePromises::OnReplayed(const ReplayedMembers& replayed, Instant now) {
  replayed_ = replayed;
  std::erase_if(announced_joiners_, [&](const JoinerNotice& notice) {
    return notice.joined_at <= replayed_.applied;
  });
  if (!full_member_at_ && IsLiveMember(replayed_.members, self_)) {
    full_member_at_ = FullMemberAfterOutageCap(now, settings_);
  }
  UpdateFullMembership(now);
}

JoinerAcknowledgement FreezePromises::OnNotice(const JoinerNotice& notice,
                                               Instant now) {
  if (notice.joined_at > replayed_.applied) {
    announced_joiners_.insert(notice);
  }
  return {self_, notice.joiner, IsFullMember(now)};
}

void FreezePromises::OnAcknowledged(
    const JoinerAcknowledgement& acknowledgement,
    Instant now) {
  if (acknowledgement.joiner != self_ || !full_member_at_ ||
      !IsLiveMember(replayed_.members, acknowledgement.member)) {
    return;
  }
  acknowledged_by_.insert(acknowledgement.member);
  if (acknowledgement.is_full) {
    full_member_at_ = std::min(*full_member_at_,
                               FullMemberAfterAcknowledgement(now, settings_));
  }
  UpdateFullMembership(now);
}

FreezeAnswer FreezePromises::OnRequest(const FreezeRequest& request,
                                       Instant now) {
  const PromiseConditions conditions{
      .requester_applied = request.applied,
      .last_change = replayed_.last_change,
      .requester_knows_joiners = KnowsAnnouncedJoiners(request),
      .pending_lapses = pending_.size(),
      .most_exclusions = request.most_exclusions,
      .is_requester_pending = pending_.contains(request.requester),
      .is_lapse_wanted = !wanted_.empty()};
  if (const auto refusal = FindPromiseRefusal(conditions)) {
    return {self_, request.sequence, refusal};
  }
  kept_until_ = std::max(kept_until_, PromiseKeptUntil(now, settings_));
  return {self_, request.sequence, std::nullopt, pending_};
}

void FreezePromises::OnLapseWanted(const LapseSubject& subject) {
  wanted_.insert(subject);
}

void FreezePromises::OnLapseUnwanted(const LapseSubject& subject) {
  wanted_.erase(subject);
}

void FreezePromises::OnLapseProposed(const LapseSubject& subject) {
  pending_.insert(subject);
  // From now on promises exclude the subject, and are not refused because of
  // it.
  wanted_.erase(subject);
}

void FreezePromises::OnLapseResolved(const LapseSubject& subject) {
  pending_.erase(subject);
  wanted_.erase(subject);
}

std::optional<LapseRefusal> FreezePromises::FindLapseRefusal(
    Instant now) const {
  if (IsLiveMember(replayed_.members, self_) && !IsFullMember(now)) {
    return LapseRefusal::kNotFullMember;
  }
  return FindRetirementRefusal(now);
}

std::optional<LapseRefusal> FreezePromises::FindRetirementRefusal(
    Instant now) const {
  if (!IsLiveMember(replayed_.members, self_)) {
    return LapseRefusal::kNotMember;
  }
  if (now < kept_until_) {
    return LapseRefusal::kPromiseKept;
  }
  return std::nullopt;
}

bool FreezePromises::IsFullMember(Instant now) const {
  return full_member_at_ && now >= *full_member_at_ &&
         IsLiveMember(replayed_.members, self_);
}

bool FreezePromises::IsLapsePending(const LapseSubject& subject) const {
  return pending_.contains(subject);
}

std::optional<JoinerNotice> FreezePromises::OwnNotice() const {
  const auto it = std::ranges::find(replayed_.members, self_, &Member::key);
  if (it == replayed_.members.end()) {
    return std::nullopt;
  }
  return JoinerNotice{self_, it->joined_at};
}

bool FreezePromises::KnowsAnnouncedJoiners(const FreezeRequest& request) const {
  return std::ranges::all_of(
      announced_joiners_, [&](const JoinerNotice& notice) {
        return request.applied >= notice.joined_at ||
               std::ranges::count(request.announced_joiners, notice) > 0;
      });
}

// An entry is a full member as soon as every member that could renew leases
// knows it.
void FreezePromises::UpdateFullMembership(Instant now) {
  if (!full_member_at_ || !IsLiveMember(replayed_.members, self_)) {
    return;
  }
  const bool is_known_to_all =
      std::ranges::all_of(replayed_.members, [&](const Member& member) {
        return member.key == self_ || member.is_lapsed ||
               IsReplaced(replayed_.members, member) ||
               acknowledged_by_.contains(member.key);
      });
  if (is_known_to_all) {
    full_member_at_ = std::min(*full_member_at_, now);
  }
}

}  // namespace papayadrift::lease
