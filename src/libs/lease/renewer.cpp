#include "lease/renewer.h"

#include <algorithm>
#include <utility>

#include "lease/rule.h"

namespace papayadrift::lease {

Renewer::Renewer(MemberKey self, LeaseSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void Renewer::OnReplayed(const ReplayedMembers& replayed) {
  replayed_ = replayed;
  std::erase_if(noticed_, [&](const JoinerNotice& notice) {
    return notice.joined_at <= replayed_.applied;
  });
}

void Renewer::OnTailRead(Instant begun_at) {
  tail_read_begun_at_ =
      std::max(begun_at, tail_read_begun_at_.value_or(begun_at));
}

void Renewer::OnNotice(const JoinerNotice& notice) {
  if (notice.joined_at > replayed_.applied) {
    noticed_.insert(notice);
  }
}

FreezeRequest Renewer::Ask(Instant now) {
  Forget(now);
  ++last_sequence_;
  asked_at_.emplace(last_sequence_, now);
  return {self_,
          last_sequence_,
          replayed_.applied,
          {noticed_.begin(), noticed_.end()},
          kMaximumExclusions};
}

void Renewer::OnAnswer(const FreezeAnswer& answer) {
  const auto it = asked_at_.find(answer.sequence);
  if (answer.refusal || it == asked_at_.end()) {
    return;
  }
  // The newest counts, whatever an older one excluded: its giver authors no
  // lapse while a promise that it gave is live, so that the newest excludes all
  // that may take effect meanwhile.
  HeldPromise& held = promises_[answer.giver];
  if (it->second >= held.asked_at) {
    held = {it->second, answer.excluded};
  }
}

std::optional<RenewalGround> Renewer::MayRenew(const RenewalTarget& target,
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
    return RenewalGround::kFreshTail;
  }
  last_reason_ = target.is_lapse_pending
                     ? RenewalRefusal::kTargetLapsed
                     : RefusalWithoutLog(target.subject, now);
  return last_reason_ ? std::nullopt : std::optional(RenewalGround::kPromises);
}

std::optional<RenewalGround> Renewer::MayUseShares(Instant now) {
  return MayRenew({.subject = self_}, now);
}

std::optional<Instant> Renewer::SharesUsableUntil(Instant now) {
  const std::optional<RenewalGround> ground = MayUseShares(now);
  if (!ground) {
    return std::nullopt;
  }
  return *ground == RenewalGround::kFreshTail
             ? TailFreshUntil(*tail_read_begun_at_, settings_)
             : PromisesLiveUntil();
}

std::vector<MemberKey> Renewer::Peers() const {
  std::vector<MemberKey> peers = PeersToAsk(replayed_.members, self_);
  for (const JoinerNotice& notice : noticed_) {
    peers.push_back(notice.joiner);
  }
  return peers;
}

std::optional<RenewalRefusal> Renewer::RefusalWithoutLog(
    const LapseSubject& subject,
    Instant now) const {
  if (!tail_read_begun_at_ ||
      !IsWithinCap(*tail_read_begun_at_, now, settings_)) {
    return RenewalRefusal::kCapPassed;
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
  Instant until = CapUntil(*tail_read_begun_at_, settings_);
  for (const MemberKey& peer : Peers()) {
    until = std::min(until,
                     PromiseLiveUntil(promises_.at(peer).asked_at, settings_));
  }
  return until;
}

void Renewer::Forget(Instant now) {
  std::erase_if(asked_at_, [&](const auto& asked) {
    return !IsPromiseLive(asked.second, now, settings_);
  });
  std::erase_if(promises_, [&](const auto& held) {
    return !IsPromiseLive(held.second.asked_at, now, settings_);
  });
}

}  // namespace papayadrift::lease
