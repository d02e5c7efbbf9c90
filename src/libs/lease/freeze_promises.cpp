#include "lease/freeze_promises.h"

#include <algorithm>
#include <utility>

#include "lease/rule.h"

namespace papayadrift::lease {

FreezePromises::FreezePromises(MemberKey self, LeaseSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void FreezePromises::OnReplayed(const ReplayedMembers& replayed, Instant now) {
  replayed_ = replayed;
  std::erase_if(noticed_, [&](const JoinerNotice& notice) {
    return notice.joined_at <= replayed_.applied;
  });
  if (!full_at_ && IsLiveMember(replayed_.members, self_)) {
    full_at_ = FullAfterCap(now, settings_);
  }
  UpdateFullness(now);
}

JoinerAcknowledgement FreezePromises::OnNotice(const JoinerNotice& notice,
                                               Instant now) {
  if (notice.joined_at > replayed_.applied) {
    noticed_.insert(notice);
  }
  return {self_, notice.joiner, IsFull(now)};
}

void FreezePromises::OnAcknowledged(
    const JoinerAcknowledgement& acknowledgement,
    Instant now) {
  if (acknowledgement.joiner != self_ || !full_at_ ||
      !IsLiveMember(replayed_.members, acknowledgement.member)) {
    return;
  }
  acknowledged_by_.insert(acknowledgement.member);
  if (acknowledgement.is_full) {
    full_at_ = std::min(*full_at_, FullAfterAcknowledgement(now, settings_));
  }
  UpdateFullness(now);
}

FreezeAnswer FreezePromises::OnRequest(const FreezeRequest& request,
                                       Instant now) {
  const PromiseGround ground{
      .asker_applied = request.applied,
      .last_change = replayed_.last_change,
      .asker_knows_noticed = KnowsNoticed(request),
      .pending_lapses = pending_.size(),
      .most_exclusions = request.most_exclusions,
      .is_asker_pending = pending_.contains(request.asker),
      .is_lapse_wanted = !wanted_.empty()};
  if (const auto refusal = RefusalToPromise(ground)) {
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
  // From now on promises exclude it instead of being refused.
  wanted_.erase(subject);
}

void FreezePromises::OnLapseResolved(const LapseSubject& subject) {
  pending_.erase(subject);
  wanted_.erase(subject);
}

std::optional<LapseRefusal> FreezePromises::RefusalToLapse(Instant now) const {
  if (IsLiveMember(replayed_.members, self_) && !IsFull(now)) {
    return LapseRefusal::kNotFull;
  }
  return RefusalToRetire(now);
}

std::optional<LapseRefusal> FreezePromises::RefusalToRetire(Instant now) const {
  if (!IsLiveMember(replayed_.members, self_)) {
    return LapseRefusal::kNotMember;
  }
  if (now < kept_until_) {
    return LapseRefusal::kPromiseKept;
  }
  return std::nullopt;
}

bool FreezePromises::IsFull(Instant now) const {
  return full_at_ && now >= *full_at_ && IsLiveMember(replayed_.members, self_);
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

bool FreezePromises::KnowsNoticed(const FreezeRequest& request) const {
  return std::ranges::all_of(noticed_, [&](const JoinerNotice& notice) {
    return request.applied >= notice.joined_at ||
           std::ranges::count(request.noticed, notice) > 0;
  });
}

// Full at once when every member that could renew knows this entry.
void FreezePromises::UpdateFullness(Instant now) {
  if (!full_at_ || !IsLiveMember(replayed_.members, self_)) {
    return;
  }
  const bool is_known_to_all =
      std::ranges::all_of(replayed_.members, [&](const Member& member) {
        return member.key == self_ || member.is_lapsed ||
               IsReplaced(replayed_.members, member) ||
               acknowledged_by_.contains(member.key);
      });
  if (is_known_to_all) {
    full_at_ = std::min(*full_at_, now);
  }
}

}  // namespace papayadrift::lease
