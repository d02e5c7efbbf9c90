#include "replay/quota_holdings.h"

#include <algorithm>
#include <utility>

#include "base/lookup.h"
#include "replay/plausibility.h"

namespace papayadrift::replay {

namespace {

Resources LeastOf(const Resources& left, const Resources& right) {
  return {.millicores = std::min(left.millicores, right.millicores),
          .memory_mebibytes =
              std::min(left.memory_mebibytes, right.memory_mebibytes),
          .accelerators = std::min(left.accelerators, right.accelerators)};
}

Resources AmountIn(const QuotaHoldings::Amounts& amounts, const TeamId& team) {
  return ValueOr(amounts, team, Resources());
}

Resources AmountIn(const std::map<RegionId, QuotaHoldings::Amounts>& amounts,
                   const RegionId& region,
                   const TeamId& team) {
  const auto it = amounts.find(region);
  return it == amounts.end() ? Resources() : AmountIn(it->second, team);
}

// Whether a total has grown and in no part shrunk.
bool HasGrown(const Resources& before, const Resources& total) {
  return IsPlausible(total) && FitsIn(before, total) && total != before;
}

}  // namespace

Resources QuotaHoldings::HeldBy(const TeamId& team) const {
  return AmountIn(held_, team);
}

Resources QuotaHoldings::GivenTo(const RegionId& region,
                                 const TeamId& team) const {
  return AmountIn(given_, region, team);
}

Resources QuotaHoldings::TakenFrom(const RegionId& region,
                                   const TeamId& team) const {
  return AmountIn(taken_, region, team);
}

std::optional<Rejection> QuotaHoldings::Check(
    const records::QuotasSet& record) const {
  const bool is_plausible = std::ranges::all_of(
      record.shares,
      [](const records::TeamQuota& share) { return IsPlausible(share.limit); });
  // Older processes state no division.
  const bool is_in_order =
      record.division == ConfigurationVersion() ||
      (record.division >= division_ && record.division <= record.version);
  return is_plausible && is_in_order ? std::nullopt
                                     : std::optional(Rejection::kMalformed);
}

std::optional<Rejection> QuotaHoldings::Check(
    const records::QuotaSharesRaised& record) const {
  if (record.division != division_ || is_raised_) {
    return Rejection::kNoChange;
  }
  return std::nullopt;
}

std::optional<Rejection> QuotaHoldings::Check(const records::QuotaGiven& record,
                                              const Resources& granted) const {
  const Resources before = GivenTo(record.to, record.team);
  if (!IsWhole(record.division) || !HasGrown(before, record.total)) {
    return Rejection::kNoChange;
  }
  if (!FitsIn(granted + record.total - before, HeldBy(record.team))) {
    return Rejection::kQuotaExceeded;
  }
  return std::nullopt;
}

std::optional<Rejection> QuotaHoldings::Check(
    const records::QuotaTaken& record) const {
  const Resources before = TakenFrom(record.from, record.team);
  if (!IsWhole(record.division) || !HasGrown(before, record.total)) {
    return Rejection::kNoChange;
  }
  return std::nullopt;
}

void QuotaHoldings::Apply(const records::QuotasSet& record) {
  if (record.division == division_ ||
      record.division == ConfigurationVersion()) {
    return;
  }
  const Amounts before = std::exchange(held_, {});
  division_ = record.division;
  is_raised_ = false;
  shares_.clear();
  given_.clear();
  taken_.clear();
  for (const records::TeamQuota& share : record.shares) {
    held_[share.team] = LeastOf(AmountIn(before, share.team), share.limit);
    shares_[share.team] = share.limit;
  }
}

void QuotaHoldings::Apply(const records::QuotaSharesRaised& /*record*/) {
  held_ = shares_;
  is_raised_ = true;
}

void QuotaHoldings::Apply(const records::QuotaGiven& record) {
  Resources& given = given_[record.to][record.team];
  Resources& held = held_[record.team];
  held = held - (record.total - given);
  given = record.total;
}

void QuotaHoldings::Apply(const records::QuotaTaken& record) {
  Resources& taken = taken_[record.from][record.team];
  Resources& held = held_[record.team];
  held = held + (record.total - taken);
  taken = record.total;
}

bool QuotaHoldings::IsWhole(ConfigurationVersion division) const {
  return is_raised_ && division == division_;
}

}  // namespace papayadrift::replay
