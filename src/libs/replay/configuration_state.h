#ifndef PAPAYADRIFT_REPLAY_CONFIGURATION_STATE_H_
#define PAPAYADRIFT_REPLAY_CONFIGURATION_STATE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "records/record.h"
#include "replay/verdict.h"

namespace papayadrift::replay {

// A version of the operators' file. Version 0 stands for none.
struct Configuration {
  ConfigurationVersion version;
  std::string author;
  std::string text;
  // Regions over which ids that name none are spread: the same in all versions
  // once they are known.
  std::vector<RegionId> home_regions;
  uint64_t division_digest = 0;
  // The version since which the regions' parts of quotas are the same.
  ConfigurationVersion division;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

// What a region said last that it wants of quotas, and where.
struct QuotaWants {
  Offset stated_at;
  std::vector<records::TeamQuota> amounts;

  friend bool operator==(const QuotaWants&, const QuotaWants&) = default;
};

// The file is in force as `version`.
struct ConfigurationAccepted {
  ConfigurationVersion version;

  friend bool operator==(const ConfigurationAccepted&,
                         const ConfigurationAccepted&) = default;
};

// Another file was first: `version`, by `author`, is in force.
struct ConfigurationConflict {
  ConfigurationVersion version;
  std::string author;

  friend bool operator==(const ConfigurationConflict&,
                         const ConfigurationConflict&) = default;
};

// This process has not read enough of the stream to tell.
struct ConfigurationUndecided {
  friend bool operator==(const ConfigurationUndecided&,
                         const ConfigurationUndecided&) = default;
};

using ConfigurationVerdict = std::variant<ConfigurationAccepted,
                                          ConfigurationConflict,
                                          ConfigurationUndecided,
                                          Rejection>;

// The configuration that follows from the configuration stream and from what
// peers say. The version in force only rises, and the home regions are written
// once: a file that states others is rejected.
//
// A process that starts in the middle of the stream does not know the version
// until it reads a repetition of it, or hears from a peer, as of an offset
// from which on it has read everything. Not safe to share between threads.
class ConfigurationState {
 public:
  // `first_offset` is the first offset that this process reads.
  explicit ConfigurationState(Offset first_offset);

  // The offset of the record to apply next.
  Offset next_offset() const { return next_offset_; }
  // The highest version known, by replay or from a peer.
  const Configuration& in_force() const;
  // Whether the version at next_offset() is known. Only then may a file be
  // proposed, and only in place of replayed().
  bool is_replayed_known() const { return replayed_.has_value(); }
  // The version at next_offset(), if known.
  const std::optional<Configuration>& replayed() const { return replayed_; }
  // The last division of quotas that each region is known to have reached.
  const std::map<RegionId, ConfigurationVersion>& reached() const {
    return reached_;
  }
  // What each region wants of quotas.
  const std::map<RegionId, QuotaWants>& wants() const { return wants_; }
  // What `from` is known to have given to `to` in the division, in all.
  std::map<TeamId, Resources> OfferedBy(const RegionId& from,
                                        const RegionId& to,
                                        ConfigurationVersion division) const;
  // The record that repeats the version at next_offset(), if there is one.
  std::optional<records::ConfigurationReasserted> Reassertion() const;

  // Applies one proposal of the record at `offset`, which must not be below
  // next_offset(), and returns what became of it. A repetition is accepted if
  // it states the version in force, or tells this process of it.
  ConfigurationVerdict Apply(Offset offset, const records::Proposal& proposal);
  // Ends the record at `offset`.
  void Complete(Offset offset);
  // Takes a version that a peer knows to be in force just before `as_of`. A
  // lower version than the one in force is ignored.
  void Adopt(const Configuration& configuration, Offset as_of);

 private:
  struct Offer {
    ConfigurationVersion division;
    std::map<TeamId, Resources> totals;
  };

  ConfigurationVerdict ApplyRecord(
      Offset offset,
      const records::ProposalId& id,
      const records::ConfigurationProposed& record);
  ConfigurationVerdict ApplyRecord(
      Offset offset,
      const records::ProposalId& id,
      const records::ConfigurationReasserted& record);
  ConfigurationVerdict ApplyRecord(Offset offset,
                                   const records::ProposalId& id,
                                   const records::DivisionReached& record);
  ConfigurationVerdict ApplyRecord(Offset offset,
                                   const records::ProposalId& id,
                                   const records::QuotasOffered& record);
  ConfigurationVerdict ApplyRecord(Offset offset,
                                   const records::ProposalId& id,
                                   const records::QuotasWanted& record);
  // Whether a version as of that offset is still the one at next_offset().
  bool IsCurrent(Offset as_of) const;

  const Offset first_offset_;
  Offset next_offset_;
  // The offset after the last file that was proposed.
  Offset proposed_until_;
  std::optional<records::ProposalId> accepted_id_;
  std::optional<Configuration> replayed_;
  Configuration adopted_;
  std::map<RegionId, ConfigurationVersion> reached_;
  std::map<RegionId, QuotaWants> wants_;
  std::map<std::pair<RegionId, RegionId>, Offer> offers_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_CONFIGURATION_STATE_H_
