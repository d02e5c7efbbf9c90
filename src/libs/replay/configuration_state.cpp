#include "replay/configuration_state.h"

#include <algorithm>
#include <cassert>
#include <type_traits>

namespace papayadrift::replay {

ConfigurationState::ConfigurationState(Offset first_offset)
    : first_offset_(first_offset), next_offset_(first_offset) {
  if (first_offset <= Offset(1)) {
    replayed_.emplace();
  }
}

const Configuration& ConfigurationState::in_force() const {
  if (replayed_ && replayed_->version >= adopted_.version) {
    return *replayed_;
  }
  return adopted_;
}

std::optional<records::ConfigurationReasserted>
ConfigurationState::Reassertion() const {
  if (!replayed_ || replayed_->version == ConfigurationVersion()) {
    return std::nullopt;
  }
  return records::ConfigurationReasserted{
      .version = replayed_->version,
      .author = replayed_->author,
      .text = replayed_->text,
      .as_of = next_offset_,
      .home_regions = replayed_->home_regions,
      .division_digest = replayed_->division_digest,
      .division = replayed_->division};
}

std::map<TeamId, Resources> ConfigurationState::OfferedBy(
    const RegionId& from,
    const RegionId& to,
    ConfigurationVersion division) const {
  const auto it = offers_.find({from, to});
  const bool is_known = it != offers_.end() && it->second.division == division;
  return is_known ? it->second.totals : std::map<TeamId, Resources>();
}

ConfigurationVerdict ConfigurationState::Apply(
    Offset offset,
    const records::Proposal& proposal) {
  assert(offset >= next_offset_);
  if (offset > proposal.last_offset) {
    return Rejection::kExpired;
  }
  return std::visit(
      [&](const auto& record) -> ConfigurationVerdict {
        using Record = std::remove_cvref_t<decltype(record)>;
        if constexpr (requires { ApplyRecord(offset, proposal.id, record); }) {
          return ApplyRecord(offset, proposal.id, record);
        } else if constexpr (std::is_same_v<Record, records::NoOperation>) {
          return Rejection::kNoChange;
        } else {
          return Rejection::kWrongStream;
        }
      },
      proposal.record);
}

void ConfigurationState::Complete(Offset offset) {
  assert(offset >= next_offset_);
  next_offset_ = offset.Next();
}

void ConfigurationState::Adopt(const Configuration& configuration,
                               Offset as_of) {
  if (configuration.version > adopted_.version) {
    adopted_ = configuration;
  }
  if (!replayed_ && IsCurrent(as_of)) {
    replayed_ = configuration;
  }
}

ConfigurationVerdict ConfigurationState::ApplyRecord(
    Offset offset,
    const records::ProposalId& id,
    const records::ConfigurationProposed& record) {
  proposed_until_ = offset.Next();
  if (!replayed_) {
    return ConfigurationUndecided();
  }
  if (accepted_id_ == id) {
    return Rejection::kDuplicate;
  }
  if (record.expected != replayed_->version) {
    return ConfigurationConflict{.version = replayed_->version,
                                 .author = replayed_->author};
  }
  const std::vector<RegionId> fixed = replayed_->home_regions;
  const bool states_others = !fixed.empty() && !record.home_regions.empty() &&
                             record.home_regions != fixed;
  if (states_others) {
    return Rejection::kHomeRegionsFixed;
  }
  const bool keeps_division =
      replayed_->division != ConfigurationVersion() &&
      replayed_->division_digest == record.division_digest;
  accepted_id_ = id;
  replayed_ =
      Configuration{.version = record.expected.Next(),
                    .author = record.author,
                    .text = record.text,
                    .home_regions = fixed.empty() ? record.home_regions : fixed,
                    .division_digest = record.division_digest,
                    .division = keeps_division ? replayed_->division
                                               : record.expected.Next()};
  return ConfigurationAccepted{.version = replayed_->version};
}

ConfigurationVerdict ConfigurationState::ApplyRecord(
    Offset /*offset*/,
    const records::ProposalId& /*id*/,
    const records::ConfigurationReasserted& record) {
  if (!replayed_) {
    if (!IsCurrent(record.as_of)) {
      return ConfigurationUndecided();
    }
    replayed_ = Configuration{.version = record.version,
                              .author = record.author,
                              .text = record.text,
                              .home_regions = record.home_regions,
                              .division_digest = record.division_digest,
                              .division = record.division};
  }
  if (replayed_->version != record.version) {
    return Rejection::kVersionNotNewer;
  }
  if (replayed_->home_regions.empty()) {
    replayed_->home_regions = record.home_regions;
  }
  if (replayed_->division == ConfigurationVersion()) {
    replayed_->division_digest = record.division_digest;
    replayed_->division = record.division;
  }
  return ConfigurationAccepted{.version = record.version};
}

ConfigurationVerdict ConfigurationState::ApplyRecord(
    Offset /*offset*/,
    const records::ProposalId& /*id*/,
    const records::DivisionReached& record) {
  ConfigurationVersion& reached = reached_[record.region];
  reached = std::max(reached, record.division);
  return ConfigurationAccepted{.version = in_force().version};
}

ConfigurationVerdict ConfigurationState::ApplyRecord(
    Offset /*offset*/,
    const records::ProposalId& /*id*/,
    const records::QuotasOffered& record) {
  Offer& offer = offers_[{record.from, record.to}];
  if (record.division < offer.division) {
    return Rejection::kNoChange;
  }
  if (record.division > offer.division) {
    offer = {.division = record.division, .totals = {}};
  }
  for (const records::TeamQuota& it : record.totals) {
    Resources& total = offer.totals[it.team];
    total = FitsIn(total, it.limit) ? it.limit : total;
  }
  return ConfigurationAccepted{.version = in_force().version};
}

ConfigurationVerdict ConfigurationState::ApplyRecord(
    Offset offset,
    const records::ProposalId& /*id*/,
    const records::QuotasWanted& record) {
  wants_[record.region] = {.stated_at = offset, .amounts = record.wants};
  return ConfigurationAccepted{.version = in_force().version};
}

bool ConfigurationState::IsCurrent(Offset as_of) const {
  return as_of >= first_offset_ && as_of >= proposed_until_ &&
         as_of <= next_offset_;
}

}  // namespace papayadrift::replay
