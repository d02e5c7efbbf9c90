#include "configuration/quota_division.h"

#include <algorithm>
#include <iterator>
#include <string>

#include "base/hash.h"
#include "base/lookup.h"

namespace papayadrift::configuration {

namespace {

// The sums of weights before and after a region, in the order of names.
struct WeightSpan {
  int64_t before = 0;
  int64_t after = 0;
  int64_t total = 0;
};

WeightSpan SpanOf(const std::vector<Region>& regions, const RegionId& region) {
  WeightSpan span;
  for (const Region& it : regions) {
    if (it.region == region) {
      span.before = span.total;
      span.after = span.total + it.quota_weight;
    }
    span.total += it.quota_weight;
  }
  return span;
}

// Differences of rounded sums, so that nothing is lost or given twice.
int64_t PartOf(int64_t amount, const WeightSpan& span) {
  return amount * span.after / span.total - amount * span.before / span.total;
}

Resources PartOf(const Resources& quota, const WeightSpan& span) {
  return {PartOf(quota.millicores, span), PartOf(quota.memory_mebibytes, span),
          PartOf(quota.accelerators, span)};
}

uint64_t Mix(uint64_t digest, int64_t amount) {
  return StableHash(std::to_string(amount), digest);
}

}  // namespace

TeamShares QuotaSharesOf(const Configuration& configuration,
                         const HomeRegions& home_regions,
                         const RegionId& region) {
  const WeightSpan span = SpanOf(configuration.regions, region);
  const bool is_only_region = home_regions == HomeRegions{region};
  TeamShares shares;
  for (const Team& team : configuration.teams) {
    if (span.total > 0) {
      shares[team.team] = PartOf(team.quota, span);
    } else {
      shares[team.team] = is_only_region ? team.quota : Resources();
    }
  }
  return shares;
}

std::vector<RegionId> QuotaHolders(const Configuration& configuration,
                                   const HomeRegions& home_regions) {
  if (configuration.regions.empty()) {
    return home_regions;
  }
  std::vector<RegionId> holders;
  std::ranges::transform(configuration.regions, std::back_inserter(holders),
                         &Region::region);
  return holders;
}

uint64_t DivisionDigest(const Configuration& configuration) {
  uint64_t digest = 0;
  for (const Region& region : configuration.regions) {
    digest = Mix(StableHash(region.region.text(), digest), region.quota_weight);
  }
  for (const Team& team : configuration.teams) {
    digest = StableHash(team.team.text(), digest);
    for (const int64_t amount :
         {team.quota.millicores, team.quota.memory_mebibytes,
          team.quota.accelerators}) {
      digest = Mix(digest, amount);
    }
  }
  return digest;
}

Configuration WithQuotas(const Configuration& configuration,
                         const TeamShares& shares) {
  Configuration own = configuration;
  for (Team& team : own.teams) {
    team.quota = ValueOr(shares, team.team, Resources());
  }
  return own;
}

}  // namespace papayadrift::configuration
