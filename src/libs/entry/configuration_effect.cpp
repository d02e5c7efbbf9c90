#include "entry/configuration_effect.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "configuration/quota_division.h"
#include "entry/job_request.h"
#include "entry/region_homes.h"

namespace papayadrift::entry {

namespace {

// What a region writes for the others is written again after this long.
constexpr seconds kSettleTime(1);

// Older processes put files in force without them.
bool AreHomesStated(const ConfigurationInForce& configuration) {
  return !configuration.home_regions.empty() &&
         configuration.division != ConfigurationVersion();
}

}  // namespace

ConfigurationEffect::ConfigurationEffect(RegionId region,
                                         ConfigurationStream& configuration,
                                         DecisionStream& decisions,
                                         const EntryStanding& standing,
                                         const QuotaDriver& quotas,
                                         PlacementDriver& placement,
                                         const Clock& clock)
    : region_(std::move(region)),
      configuration_(configuration),
      decisions_(decisions),
      standing_(standing),
      quotas_(quotas),
      placement_(placement),
      clock_(clock),
      state_homes_at_(clock.Now()),
      bring_in_at_(clock.Now()) {}

void ConfigurationEffect::OnTime() {
  StateHomeRegions();
  if (IsToBeBroughtIn()) {
    BringIntoDecisions();
  }
}

void ConfigurationEffect::OnConfigurationChanged() {
  BringIntoPolicy();
}

void ConfigurationEffect::OnApplied(Offset /*offset*/,
                                    const replay::AppliedProposal& applied) {
  if (!applied.verdict.is_accepted()) {
    return;
  }
  const records::Record& record = applied.proposal.record;
  if (std::holds_alternative<records::QuotasSet>(record) ||
      std::holds_alternative<records::QuotaSharesRaised>(record) ||
      std::holds_alternative<records::QuotaGiven>(record) ||
      std::holds_alternative<records::QuotaTaken>(record)) {
    BringIntoPolicy();
  }
}

void ConfigurationEffect::OnRestored() {
  BringIntoPolicy();
}

void ConfigurationEffect::StateHomeRegions() {
  const ConfigurationInForce& in_force = configuration_.in_force();
  const bool is_missing =
      in_force.version != ConfigurationVersion() && !AreHomesStated(in_force);
  if (is_missing && clock_.Now() >= state_homes_at_ &&
      standing_.has_region_duty()) {
    state_homes_at_ = clock_.Now() + kSettleTime;
    configuration_.Reassert();
  }
}

bool ConfigurationEffect::IsToBeBroughtIn() const {
  const ConfigurationInForce& in_force = configuration_.in_force();
  const replay::QuotaTable& known = decisions_.state().quotas();
  const bool is_new = in_force.version > known.version() ||
                      known.holdings().division() == ConfigurationVersion();
  return !is_bringing_in_ && clock_.Now() >= bring_in_at_ &&
         standing_.is_ready() && is_new && AreHomesStated(in_force) &&
         standing_.has_region_duty();
}

void ConfigurationEffect::BringIntoDecisions() {
  is_bringing_in_ = true;
  version_ = configuration_.in_force().version;
  has_missed_ = false;
  undecided_ = 1;  // Until all is proposed.
  SubmitConfiguredJobs();
  CancelRemovedJobs();
  OnDecided(ProposalAccepted());
}

void ConfigurationEffect::SubmitConfiguredJobs() {
  const configuration::Configuration& in_force =
      configuration_.in_force().parsed;
  for (const configuration::Job& job : in_force.jobs) {
    if (IsToBeSubmitted(job.job)) {
      ProposeBeforeQuotas(SubmissionOf(job, in_force, clock_.WallNow()));
    }
  }
}

void ConfigurationEffect::CancelRemovedJobs() {
  const std::vector<configuration::Job>& kept =
      configuration_.in_force().parsed.jobs;
  for (const JobId& job : decisions_.state().quotas().jobs()) {
    const replay::JobState* known = decisions_.state().jobs().FindJob(job);
    const bool is_open =
        known != nullptr && known->phase == replay::JobPhase::kOpen;
    if (is_open &&
        std::ranges::find(kept, job, &configuration::Job::job) == kept.end()) {
      ProposeBeforeQuotas(records::JobCancelled{job});
    }
  }
}

void ConfigurationEffect::ProposeBeforeQuotas(records::Record record) {
  ++undecided_;
  decisions_.Propose(std::move(record), [this](const ProposalOutcome& outcome) {
    OnDecided(outcome);
  });
}

void ConfigurationEffect::OnDecided(const ProposalOutcome& outcome) {
  has_missed_ |= std::holds_alternative<ProposalExpired>(outcome) ||
                 std::holds_alternative<ProposalUnknown>(outcome);
  --undecided_;
  if (undecided_ == 0) {
    SetQuotas();
  }
}

// With the quotas the file counts as brought in, so that nothing of it may be
// missing by then.
void ConfigurationEffect::SetQuotas() {
  const ConfigurationInForce& in_force = configuration_.in_force();
  if (has_missed_) {
    bring_in_at_ = clock_.Now() + kSettleTime;
  }
  if (has_missed_ || in_force.version != version_) {
    EndBringingIn();
    return;
  }
  decisions_.Propose(quotas_.RecordOf(in_force),
                     [this](const ProposalOutcome&) { EndBringingIn(); });
}

bool ConfigurationEffect::IsToBeSubmitted(const JobId& job) const {
  const replay::DecisionState& state = decisions_.state();
  const bool is_new = state.jobs().FindJob(job) == nullptr &&
                      !state.quotas().jobs().contains(job);
  return is_new && std::holds_alternative<HomeIsHere>(FindHome(
                       job.text(), region_, configuration_.in_force()));
}

void ConfigurationEffect::BringIntoPolicy() {
  placement_.OnConfiguration(
      configuration::WithQuotas(configuration_.in_force().parsed,
                                decisions_.state().quotas().holdings().held()));
}

}  // namespace papayadrift::entry
