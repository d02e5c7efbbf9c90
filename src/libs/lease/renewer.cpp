#include "lease/renewer.h"

#include <algorithm>
#include <utility>

#include "lease/rule.h"

namespace papayadrift::lease {

Renewer::Renewer(MemberKey self, LeaseSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void Renewer::OnReplayed(const ReplayedMembers& replayed) {
  replayed_ = replayed;
  std::erase_if(announced_joiners_, [&](const JoinerNotice& notice) {
    return notice.joined_at <= replayed_.applied;
  });
}

void Renewer::OnTailRead(Instant begun_at) {
  tail_read_begun_at_ =
      std::max(begun_at, tail_read_begun_at_.value_or(begun_at));
}

void Renewer::OnNotice(const JoinerNotice& notice) {
  if (notice.joined_at > replayed_.applied) {
    announced_joiners_.insert(notice);
  }
}

FreezeRequest Renewer::CreateRequest(Instant now) {
  DiscardExpired(now);
  ++last_sequence_;
  asked_at_.emplace(last_sequence_, now);
  return {self_,
          last_sequence_,
          replayed_.applied,
          {announced_joiners_.begin(), announced_joiners_.end()},
          kMaximumExclusions};
}

void Renewer::OnAnswer(const FreezeAnswer& answer) {
  const auto it = asked_at_.find(answer.sequence);
  if (answer.refusal || it == asked_at_.end()) {
    return;
  }
  // Only the newest promise counts, regardless of what older ones excluded: the
  // responder authors no lapse while one of its promises is live, so that the
  // newest excludes every subject whose lapse may take effect meanwhile.
  HeldPromise& held = promises_[answer.responder];
  if (it->second >= held.asked_at) {
    held = {it->second, answer.excluded};
  }
}

std::optional<RenewalBasis> Renewer::MayRenew(const RenewalTarget& target,
                                              Instant now) {
  last_reason_.reset();
  if (!IsLiveMember(replayed_.members, self_)) {
    last_reason_ = RenewalRefusal::kNotMember;
    return std::nullopt;
  }
  if (target.is_lapsed) {
    last_reason_ = RenewalRefusal::kTargetLapsed;
    return std::nullopt;
  }
  if (tail_read_begun_at_ &&
      IsTailFresh(*tail_read_begun_at_, now, settings_)) {
    return RenewalBasis::kFreshTail;
  }
  last_reason_ = target.is_lapse_pending
                     ? RenewalRefusal::kTargetLapsed
                     : FindRefusalWithoutLog(target.subject, now);
  return last_reason_ ? std::nullopt : std::optional(RenewalBasis::kPromises);
}

std::optional<RenewalBasis> Renewer::MayUseShares(Instant now) {
  return MayRenew({.subject = self_}, now);
}

std::optional<Instant> Renewer::SharesUsableUntil(Instant now) {
  const std::optional<RenewalBasis> basis = MayUseShares(now);
  if (!basis) {
    return std::nullopt;
  }
  return *basis == RenewalBasis::kFreshTail
             ? TailFreshUntil(*tail_read_begun_at_, settings_)
             : PromisesLiveUntil();
}

std::vector<MemberKey> Renewer::Peers() const {
  std::vector<MemberKey> peers = LivePeers(replayed_.members, self_);
  for (const JoinerNotice& notice : announced_joiners_) {
    peers.push_back(notice.joiner);
  }
  return peers;
}

std::optional<RenewalRefusal> Renewer::FindRefusalWithoutLog(
    const LapseSubject& subject,
    Instant now) const {
  if (!tail_read_begun_at_ ||
      !IsWithinOutageCap(*tail_read_begun_at_, now, settings_)) {
    return RenewalRefusal::kOutageCapPassed;
  }
  bool is_excluded = false;
  for (const MemberKey& peer : Peers()) {
    const HeldPromise* promise = LivePromiseOf(peer, now);
    if (promise == nullptr) {
      return RenewalRefusal::kPromiseMissing;
    }
    is_excluded |= promise->excluded.contains(subject);
  }
  return is_excluded ? std::optional(RenewalRefusal::kTargetExcluded)
                     : std::nullopt;
}

const HeldPromise* Renewer::LivePromiseOf(const MemberKey& peer,
                                          Instant now) const {
  const auto it = promises_.find(peer);
  const bool is_live = it != promises_.end() &&
                       IsPromiseLive(it->second.asked_at, now, settings_);
  return is_live ? &it->second : nullptr;
}

Instant Renewer::PromisesLiveUntil() const {
  Instant until = OutageCapEndsAt(*tail_read_begun_at_, settings_);
  for (const MemberKey& peer : Peers()) {
    until = std::min(until,
                     PromiseLiveUntil(promises_.at(peer).asked_at, settings_));
  }
  return until;
}

void Renewer::DiscardExpired(Instant now) {
  std::erase_if(asked_at_, [&](const auto& asked) {
    return !IsPromiseLive(asked.second, now, settings_);
  });
  std::erase_if(promises_, [&](const auto& held) {
    return !IsPromiseLive(held.second.asked_at, now, settings_);
  });
}

}  // namespace papayadrift::lease
