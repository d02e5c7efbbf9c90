#ifndef PAPAYADRIFT_REPLAY_QUOTA_HOLDINGS_H_
#define PAPAYADRIFT_REPLAY_QUOTA_HOLDINGS_H_

#include <map>
#include <optional>
#include <tuple>

#include "base/identifiers.h"
#include "base/resources.h"
#include "records/record.h"
#include "replay/verdict.h"

namespace papayadrift::replay {

// The parts of team quotas that this region holds.
//
// All regions together never hold more than a quota: with a new division each
// region gives up at once what it is no longer to hold, and takes more only
// when every region is known to have done so. Within a division parts move: one
// region gives up what is free, and the other takes that up once.
class QuotaHoldings {
 public:
  using Amounts = std::map<TeamId, Resources>;

  // The version since which all regions' parts are the same; 0: none yet.
  ConfigurationVersion division() const { return division_; }
  const Amounts& held() const { return held_; }
  // Whether the region holds all that it is to hold in the division.
  bool is_raised() const { return is_raised_; }

  Resources HeldBy(const TeamId& team) const;
  // What was given to each region in the division, in all.
  const std::map<RegionId, Amounts>& given() const { return given_; }
  Resources GivenTo(const RegionId& region, const TeamId& team) const;
  // What was taken up from a region in the division, in all.
  Resources TakenFrom(const RegionId& region, const TeamId& team) const;

  std::optional<Rejection> Check(const records::QuotasSet& record) const;
  std::optional<Rejection> Check(
      const records::QuotaSharesRaised& record) const;
  // `granted` is what the team's live attempts are granted.
  std::optional<Rejection> Check(const records::QuotaGiven& record,
                                 const Resources& granted) const;
  std::optional<Rejection> Check(const records::QuotaTaken& record) const;

  void Apply(const records::QuotasSet& record);
  void Apply(const records::QuotaSharesRaised& record);
  void Apply(const records::QuotaGiven& record);
  void Apply(const records::QuotaTaken& record);

  friend bool operator==(const QuotaHoldings&, const QuotaHoldings&) = default;

 private:
  friend auto Fields(QuotaHoldings& holdings) {
    return std::tie(holdings.division_, holdings.held_, holdings.shares_,
                    holdings.is_raised_, holdings.given_, holdings.taken_);
  }

  bool IsWhole(ConfigurationVersion division) const;

  ConfigurationVersion division_;
  Amounts held_;
  Amounts shares_;  // To be held once all regions have reached the division.
  bool is_raised_ = false;
  std::map<RegionId, Amounts> given_;
  std::map<RegionId, Amounts> taken_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_QUOTA_HOLDINGS_H_
