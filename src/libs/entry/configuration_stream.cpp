#include "entry/configuration_stream.h"

#include <algorithm>
#include <utility>

#include "base/lookup.h"
#include "configuration/configuration_reader.h"
#include "configuration/quota_division.h"
#include "records/codec.h"

namespace papayadrift::entry {

namespace {

ConfigurationOutcome OutcomeOf(const proposals::ProposalOutcome& outcome) {
  if (std::holds_alternative<proposals::ProposalUnknown>(outcome)) {
    return ConfigurationUnknown();
  }
  const auto* decided = std::get_if<proposals::ProposalDecided>(&outcome);
  if (decided == nullptr) {
    return ConfigurationNotTaken();
  }
  const auto& verdict =
      std::get<replay::ConfigurationVerdict>(decided->verdict);
  if (const auto* accepted =
          std::get_if<replay::ConfigurationAccepted>(&verdict)) {
    return *accepted;
  }
  if (const auto* conflict =
          std::get_if<replay::ConfigurationConflict>(&verdict)) {
    return *conflict;
  }
  if (std::holds_alternative<replay::ConfigurationUndecided>(verdict)) {
    return ConfigurationUnknown();
  }
  if (verdict ==
      replay::ConfigurationVerdict(replay::Rejection::kHomeRegionsFixed)) {
    return ConfigurationMovesHomes();
  }
  return ConfigurationNotTaken();
}

}  // namespace

ConfigurationStream::ConfigurationStream(const StreamSettings& settings,
                                         RegionId region,
                                         log::LogPort& log,
                                         std::shared_ptr<TaskRunner> runner,
                                         const Clock& clock)
    : region_(std::move(region)),
      clock_(clock),
      driver_(MakeStreamDriver(
          settings,
          log,
          std::move(runner),
          clock,
          [this](const log::StoredRecord& record) { return Apply(record); })),
      state_(std::in_place, Offset(1)) {}

void ConfigurationStream::AddListener(OnChange on_change) {
  listeners_.push_back(std::move(on_change));
}

void ConfigurationStream::OnTime() {
  if (driver_.behind_retention()) {
    SkipTo(driver_.behind_retention()->oldest);
  }
  driver_.Tick();
}

void ConfigurationStream::Reassert() {
  if (std::optional<records::ConfigurationReasserted> record =
          state_->Reassertion()) {
    if (record->home_regions.empty()) {
      record->home_regions = {region_};
    }
    if (record->division == ConfigurationVersion()) {
      record->division_digest = configuration::DivisionDigest(in_force_.parsed);
      record->division = record->version;
    }
    SubmitOrExpire(driver_, std::move(*record), std::nullopt,
                   [](const auto&) {});
  }
}

void ConfigurationStream::ReportDivision(ConfigurationVersion division) {
  SubmitOrExpire(driver_, records::DivisionReached{region_, division},
                 std::nullopt, [](const auto&) {});
}

void ConfigurationStream::Tell(records::QuotasOffered offer) {
  SubmitOrExpire(driver_, std::move(offer), std::nullopt, [](const auto&) {});
}

void ConfigurationStream::Tell(records::QuotasWanted wants) {
  SubmitOrExpire(driver_, std::move(wants), std::nullopt, [](const auto&) {});
}

bool ConfigurationStream::HaveAllReachedDivision() const {
  return std::ranges::all_of(
      configuration::QuotaHolders(in_force_.parsed, in_force_.home_regions),
      [this](const RegionId& region) {
        return ReachedBy(region) == in_force_.division;
      });
}

ConfigurationVersion ConfigurationStream::ReachedBy(
    const RegionId& region) const {
  return ValueOr(state_->reached(), region, ConfigurationVersion());
}

void ConfigurationStream::Adopt(const replay::Configuration& configuration,
                                Offset as_of) {
  state_->Adopt(configuration, as_of);
  Refresh();
}

void ConfigurationStream::Propose(
    ConfigurationVersion expected,
    std::string author,
    std::string text,
    Instant give_up_at,
    std::function<void(const ConfigurationOutcome&)> on_outcome) {
  std::vector<settings::Problem> problems;
  const configuration::Configuration parsed =
      configuration::ReadConfiguration(text, problems)
          .value_or(configuration::Configuration());
  SubmitOrExpire(driver_,
                 records::ConfigurationProposed{
                     expected, std::move(author), std::move(text),
                     configuration::HomeRegionsToPropose(
                         parsed, in_force_.home_regions, region_),
                     configuration::DivisionDigest(parsed)},
                 give_up_at,
                 [on_outcome = std::move(on_outcome)](const auto& outcome) {
                   on_outcome(OutcomeOf(outcome));
                 });
}

std::vector<proposals::ReadProposal> ConfigurationStream::Apply(
    const log::StoredRecord& record) {
  std::vector<proposals::ReadProposal> read;
  const records::Batch batch =
      records::Decode(record.bytes).value_or(records::Batch());
  for (const records::Proposal& proposal : batch) {
    read.push_back({proposal.id, state_->Apply(record.offset, proposal)});
  }
  state_->Complete(record.offset);
  Refresh();
  return read;
}

void ConfigurationStream::SkipTo(Offset oldest) {
  const replay::Configuration known = state_->in_force();
  const Offset known_as_of = state_->next_offset();
  state_.emplace(oldest);
  state_->Adopt(known, known_as_of);
  driver_.Restart(oldest);
}

void ConfigurationStream::Refresh() {
  const replay::Configuration& newest = state_->in_force();
  const bool is_newer = newest.version > in_force_.version;
  const bool states_homes = newest.version == in_force_.version &&
                            (newest.home_regions != in_force_.home_regions ||
                             newest.division != in_force_.division);
  if (!is_newer && !states_homes) {
    return;
  }
  in_force_.home_regions = newest.home_regions;
  in_force_.division = newest.division;
  in_force_.division_digest = newest.division_digest;
  in_force_.version = newest.version;
  in_force_.author = newest.author;
  in_force_.text = newest.text;
  if (is_newer) {
    in_force_.since = clock_.Now();
  }
  std::vector<settings::Problem> problems;
  if (auto parsed = configuration::ReadConfiguration(newest.text, problems)) {
    in_force_.parsed = std::move(*parsed);
  }
  for (const OnChange& listener : listeners_) {
    listener(in_force_);
  }
}

}  // namespace papayadrift::entry
