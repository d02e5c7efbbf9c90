#include "quotas/quota_mover.h"

#include <algorithm>

namespace papayadrift::quotas {

namespace {

template <typename Function>
Resources Combine(const Resources& left,
                  const Resources& right,
                  Function function) {
  return {function(left.millicores, right.millicores),
          function(left.memory_mebibytes, right.memory_mebibytes),
          function(left.accelerators, right.accelerators)};
}

Resources LeastOf(const Resources& left, const Resources& right) {
  return Combine(left, right,
                 [](int64_t a, int64_t b) { return std::min(a, b); });
}

// What is left of `amount` beside `used`; nothing rather than less.
Resources Beyond(const Resources& amount, const Resources& used) {
  return Combine(amount, used, [](int64_t a, int64_t b) {
    return std::max<int64_t>(0, a - b);
  });
}

// Rounded up, so that single accelerators move too.
Resources HalfOf(const Resources& amount) {
  return Combine(amount, {}, [](int64_t a, int64_t) { return (a + 1) / 2; });
}

Resources SpareOf(const TeamNeed& need) {
  return Beyond(need.held, need.granted + need.waiting);
}

Resources ShortageOf(const TeamNeed& need) {
  return Beyond(need.granted + need.waiting, need.held);
}

}  // namespace

QuotaMover::QuotaMover(const MoverSettings& settings) : settings_(settings) {}

void QuotaMover::Observe(Instant now, const std::vector<TeamNeed>& needs) {
  std::erase_if(teams_, [&](const auto& it) {
    return std::ranges::find(needs, it.first, &TeamNeed::team) == needs.end();
  });
  for (const TeamNeed& need : needs) {
    ObserveTeam(now, need);
  }
}

std::optional<TeamAmounts> QuotaMover::TakeWants(Instant now) {
  TeamAmounts wants;
  for (const auto& [id, team] : teams_) {
    if (const std::optional<Resources> want = WantOf(now, team)) {
      wants[id] = *want;
    }
  }
  const bool is_due = !restate_at_ || now >= *restate_at_;
  if (wants.empty() ? stated_.empty() : !is_due) {
    return std::nullopt;
  }
  stated_ = wants;
  restate_at_ = now + settings_.restate;
  return wants;
}

std::vector<Gift> QuotaMover::TakeGifts(
    Instant now,
    const std::map<RegionId, TeamAmounts>& wants) {
  std::vector<Gift> gifts;
  for (const auto& [region, amounts] : wants) {
    for (const auto& [id, want] : amounts) {
      const auto it = teams_.find(id);
      if (it == teams_.end() || !MayGive(now, it->second)) {
        continue;
      }
      TeamState& team = it->second;
      const Resources amount = LeastOf(want, HalfOf(SpareOf(team.need)));
      if (amount == Resources()) {
        continue;
      }
      gifts.push_back({region, id, amount});
      team.need.held = team.need.held - amount;
      team.gives_at = now + settings_.patience;
      team.asks_not_until = now + settings_.hold_off;
    }
  }
  return gifts;
}

void QuotaMover::ObserveTeam(Instant now, const TeamNeed& need) {
  TeamState& team = teams_[need.team];
  team.need = need;
  if (ShortageOf(need) == Resources()) {
    team.wants_at.reset();
  } else {
    team.wants_at = team.wants_at.value_or(now + settings_.patience);
    team.keeps_until = now + settings_.hold_off;
  }
  if (SpareOf(need) == Resources()) {
    team.gives_at.reset();
  } else {
    team.gives_at = team.gives_at.value_or(now + settings_.patience);
  }
}

std::optional<Resources> QuotaMover::WantOf(Instant now,
                                            const TeamState& team) const {
  const bool is_patient = team.wants_at && now >= *team.wants_at;
  const bool may_ask = !team.asks_not_until || now >= *team.asks_not_until;
  if (!is_patient || !may_ask) {
    return std::nullopt;
  }
  return ShortageOf(team.need);
}

bool QuotaMover::MayGive(Instant now, const TeamState& team) {
  const bool is_patient = team.gives_at && now >= *team.gives_at;
  return is_patient && (!team.keeps_until || now >= *team.keeps_until);
}

}  // namespace papayadrift::quotas
