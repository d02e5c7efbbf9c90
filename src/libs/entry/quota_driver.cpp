#include "entry/quota_driver.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "configuration/quota_division.h"

namespace papayadrift::entry {

namespace {

// What a region writes for the others is written again after this long.
constexpr seconds kSettleTime(1);

std::vector<records::TeamQuota> ListOf(const quotas::TeamAmounts& amounts) {
  std::vector<records::TeamQuota> list;
  for (const auto& [team, amount] : amounts) {
    list.push_back({team, amount});
  }
  return list;
}

}  // namespace

QuotaDriver::QuotaDriver(RegionId region,
                         const quotas::MoverSettings& settings,
                         DecisionStream& decisions,
                         ConfigurationStream& configuration,
                         const Clock& clock)
    : region_(std::move(region)),
      settings_(settings),
      decisions_(decisions),
      configuration_(configuration),
      clock_(clock),
      next_at_(clock.Now()),
      move_at_(clock.Now()),
      mover_(settings) {}

bool QuotaDriver::MayMove() const {
  const ConfigurationInForce& in_force = configuration_.in_force();
  const auto holders =
      configuration::QuotaHolders(in_force.parsed, in_force.home_regions);
  return holders.size() > 1 && configuration_.is_log_available() &&
         decisions_.state().quotas().holdings().is_raised();
}

void QuotaDriver::OnTime() {
  RaiseShares();
  if (clock_.Now() >= move_at_ && MayMove()) {
    move_at_ = clock_.Now() + settings_.period;
    TakeOffered();
    MoveParts();
    OfferGiven();
  }
}

void QuotaDriver::RaiseShares() {
  const ConfigurationInForce& in_force = configuration_.in_force();
  const replay::QuotaHoldings& holdings =
      decisions_.state().quotas().holdings();
  const ConfigurationVersion division = holdings.division();
  if (division == ConfigurationVersion() || clock_.Now() < next_at_) {
    return;
  }
  if (configuration_.ReachedBy(region_) < division) {
    next_at_ = clock_.Now() + kSettleTime;
    Report();
    return;
  }
  if (!holdings.is_raised() && in_force.division == division &&
      configuration_.HaveAllReachedDivision()) {
    next_at_ = clock_.Now() + kSettleTime;
    decisions_.Propose(records::QuotaSharesRaised{division},
                       [](const ProposalOutcome&) {});
  }
}

void QuotaDriver::Report() {
  const ConfigurationVersion division =
      decisions_.state().quotas().holdings().division();
  if (division != ConfigurationVersion()) {
    configuration_.ReportDivision(division);
  }
}

void QuotaDriver::MoveParts() {
  const Instant now = clock_.Now();
  mover_.Observe(now, Needs());
  if (const std::optional<quotas::TeamAmounts> wants = mover_.TakeWants(now)) {
    configuration_.Tell(records::QuotasWanted{region_, ListOf(*wants)});
  }
  std::ranges::for_each(mover_.TakeGifts(now, TakeWantsOfOthers()),
                        [this](const quotas::Gift& gift) { Give(gift); });
}

std::vector<quotas::TeamNeed> QuotaDriver::Needs() const {
  const replay::DecisionState& state = decisions_.state();
  quotas::TeamAmounts waiting;
  for (const JobId& id : state.jobs().waiting_jobs()) {
    const replay::JobState& job = *state.jobs().FindJob(id);
    const auto tasks = static_cast<int64_t>(job.counts.waiting);
    const Resources& declared = job.submitted.declared;
    Resources& amount = waiting[job.submitted.team];
    amount = amount + Resources{tasks * declared.millicores,
                                tasks * declared.memory_mebibytes,
                                tasks * declared.accelerators};
  }
  std::vector<quotas::TeamNeed> needs;
  for (const auto& [team, held] : state.quotas().holdings().held()) {
    needs.push_back(
        {team, held, state.quotas().GrantedTo(team), waiting[team]});
  }
  return needs;
}

std::map<RegionId, quotas::TeamAmounts> QuotaDriver::TakeWantsOfOthers() {
  std::map<RegionId, quotas::TeamAmounts> others;
  for (const auto& [region, wants] : configuration_.state().wants()) {
    if (region == region_ || answered_[region] == wants.stated_at) {
      continue;
    }
    answered_[region] = wants.stated_at;
    for (const records::TeamQuota& want : wants.amounts) {
      others[region][want.team] = want.limit;
    }
  }
  return others;
}

void QuotaDriver::Give(const quotas::Gift& gift) {
  const replay::QuotaHoldings& holdings =
      decisions_.state().quotas().holdings();
  decisions_.Propose(
      records::QuotaGiven{holdings.division(), gift.to, gift.team,
                          holdings.GivenTo(gift.to, gift.team) + gift.amount},
      [](const ProposalOutcome&) {});
}

void QuotaDriver::OfferGiven() {
  const replay::QuotaHoldings& holdings =
      decisions_.state().quotas().holdings();
  for (const auto& [to, given] : holdings.given()) {
    const quotas::TeamAmounts known =
        configuration_.state().OfferedBy(region_, to, holdings.division());
    quotas::TeamAmounts news;
    std::ranges::copy_if(
        given, std::inserter(news, news.end()), [&known](const auto& it) {
          const auto told = known.find(it.first);
          return told == known.end() || told->second != it.second;
        });
    if (!news.empty()) {
      configuration_.Tell(records::QuotasOffered{
          region_, to, holdings.division(), ListOf(news)});
    }
  }
}

void QuotaDriver::TakeOffered() {
  const replay::QuotaHoldings& holdings =
      decisions_.state().quotas().holdings();
  for (const RegionId& from :
       configuration::QuotaHolders(configuration_.in_force().parsed,
                                   configuration_.in_force().home_regions)) {
    for (const auto& [team, total] :
         configuration_.state().OfferedBy(from, region_, holdings.division())) {
      if (holdings.TakenFrom(from, team) != total) {
        decisions_.Propose(
            records::QuotaTaken{holdings.division(), from, team, total},
            [](const ProposalOutcome&) {});
      }
    }
  }
}

records::QuotasSet QuotaDriver::RecordOf(
    const ConfigurationInForce& configuration) const {
  records::QuotasSet record;
  record.version = configuration.version;
  record.division = configuration.division;
  for (const configuration::Job& job : configuration.parsed.jobs) {
    record.jobs.push_back(job.job);
  }
  for (const auto& [team, share] : configuration::QuotaSharesOf(
           configuration.parsed, configuration.home_regions, region_)) {
    record.shares.push_back({team, share});
  }
  return record;
}

}  // namespace papayadrift::entry
