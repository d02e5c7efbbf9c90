#include "replay/quota_table.h"

#include <algorithm>

#include "base/lookup.h"
#include "replay/plausibility.h"

namespace papayadrift::replay {

Resources QuotaTable::GrantedTo(const TeamId& team) const {
  return ValueOr(granted_, team, Resources());
}

std::optional<Rejection> QuotaTable::CheckGrant(const TeamId& team,
                                                const Resources& before,
                                                const Resources& after) const {
  const auto it = limits_.find(team);
  if (it == limits_.end() || FitsIn(after, before)) {
    return std::nullopt;
  }
  if (!FitsIn(GrantedTo(team) - before + after, it->second)) {
    return Rejection::kQuotaExceeded;
  }
  return std::nullopt;
}

std::optional<Rejection> QuotaTable::Check(
    const records::QuotasSet& record) const {
  // Older processes brought versions in without parts of quotas.
  const bool is_first_division =
      record.version == version_ &&
      holdings_.division() == ConfigurationVersion() &&
      record.division != ConfigurationVersion();
  if (record.version <= version_ && !is_first_division) {
    return Rejection::kVersionNotNewer;
  }
  const bool is_plausible = std::ranges::all_of(
      record.quotas,
      [](const records::TeamQuota& quota) { return IsPlausible(quota.limit); });
  if (!is_plausible) {
    return Rejection::kMalformed;
  }
  return holdings_.Check(record);
}

std::optional<Rejection> QuotaTable::Check(
    const records::QuotaSharesRaised& record) const {
  return holdings_.Check(record);
}

std::optional<Rejection> QuotaTable::Check(
    const records::QuotaGiven& record) const {
  return holdings_.Check(record, GrantedTo(record.team));
}

std::optional<Rejection> QuotaTable::Check(
    const records::QuotaTaken& record) const {
  return holdings_.Check(record);
}

void QuotaTable::Apply(const records::QuotasSet& record) {
  version_ = record.version;
  limits_.clear();
  for (const records::TeamQuota& quota : record.quotas) {
    limits_[quota.team] = quota.limit;
  }
  jobs_ = {record.jobs.begin(), record.jobs.end()};
  holdings_.Apply(record);
}

void QuotaTable::Apply(const records::QuotaSharesRaised& record) {
  holdings_.Apply(record);
}

void QuotaTable::Apply(const records::QuotaGiven& record) {
  holdings_.Apply(record);
}

void QuotaTable::Apply(const records::QuotaTaken& record) {
  holdings_.Apply(record);
}

void QuotaTable::ChangeGrant(const TeamId& team,
                             const Resources& before,
                             const Resources& after) {
  Resources& granted = granted_[team];
  granted = granted - before + after;
  if (granted == Resources()) {
    granted_.erase(team);
  }
}

}  // namespace papayadrift::replay
