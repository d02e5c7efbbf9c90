#ifndef PAPAYADRIFT_REPLAY_QUOTA_TABLE_H_
#define PAPAYADRIFT_REPLAY_QUOTA_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "base/identifiers.h"
#include "base/resources.h"
#include "records/record.h"
#include "replay/quota_holdings.h"
#include "replay/verdict.h"

namespace papayadrift::replay {

// The limits of teams in force in the decision stream, the parts of quotas that
// the region holds, and what live attempts are granted.
class QuotaTable {
 public:
  static constexpr size_t kRequiredFields = 3;

  using Limits = std::map<TeamId, Resources>;

  ConfigurationVersion version() const { return version_; }
  const Limits& limits() const { return limits_; }
  // Jobs of the file of that version: they were submitted already.
  const std::set<JobId>& jobs() const { return jobs_; }
  const QuotaHoldings& holdings() const { return holdings_; }
  Resources GrantedTo(const TeamId& team) const;

  // Answers whether a grant of the team may change from `before` to `after`.
  std::optional<Rejection> CheckGrant(const TeamId& team,
                                      const Resources& before,
                                      const Resources& after) const;
  std::optional<Rejection> Check(const records::QuotasSet& record) const;
  std::optional<Rejection> Check(
      const records::QuotaSharesRaised& record) const;
  std::optional<Rejection> Check(const records::QuotaGiven& record) const;
  std::optional<Rejection> Check(const records::QuotaTaken& record) const;

  void Apply(const records::QuotasSet& record);
  void Apply(const records::QuotaSharesRaised& record);
  void Apply(const records::QuotaGiven& record);
  void Apply(const records::QuotaTaken& record);
  void ChangeGrant(const TeamId& team,
                   const Resources& before,
                   const Resources& after);

  friend bool operator==(const QuotaTable&, const QuotaTable&) = default;

 private:
  friend auto Fields(QuotaTable& table) {
    return std::tie(table.version_, table.limits_, table.jobs_,
                    table.holdings_);
  }

  ConfigurationVersion version_;
  Limits limits_;
  std::set<JobId> jobs_;
  QuotaHoldings holdings_;
  std::map<TeamId, Resources> granted_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_QUOTA_TABLE_H_
