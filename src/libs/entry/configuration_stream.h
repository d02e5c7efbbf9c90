#ifndef PAPAYADRIFT_ENTRY_CONFIGURATION_STREAM_H_
#define PAPAYADRIFT_ENTRY_CONFIGURATION_STREAM_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "configuration/configuration.h"
#include "configuration/home_region.h"
#include "entry/stream_settings.h"
#include "replay/configuration_state.h"

namespace papayadrift::entry {

// The configuration in force at this entry, parsed.
struct ConfigurationInForce {
  ConfigurationVersion version;
  std::string author;
  std::string text;
  Instant since;
  configuration::Configuration parsed;
  configuration::HomeRegions home_regions;  // Empty: not known yet.
  // The version since which the regions' parts of quotas are the same; 0: not
  // known yet.
  ConfigurationVersion division;
  uint64_t division_digest = 0;

  friend bool operator==(const ConfigurationInForce&,
                         const ConfigurationInForce&) = default;
};

// The file was not decided about, and never takes effect.
struct ConfigurationNotTaken {
  friend bool operator==(const ConfigurationNotTaken&,
                         const ConfigurationNotTaken&) = default;
};

// The file states other home regions than those that are fixed.
struct ConfigurationMovesHomes {
  friend bool operator==(const ConfigurationMovesHomes&,
                         const ConfigurationMovesHomes&) = default;
};

// The log dropped what would have told.
struct ConfigurationUnknown {
  friend bool operator==(const ConfigurationUnknown&,
                         const ConfigurationUnknown&) = default;
};

using ConfigurationOutcome = std::variant<replay::ConfigurationAccepted,
                                          replay::ConfigurationConflict,
                                          ConfigurationNotTaken,
                                          ConfigurationMovesHomes,
                                          ConfigurationUnknown>;

// The configuration stream. On the control thread only.
class ConfigurationStream {
 public:
  using OnChange = std::function<void(const ConfigurationInForce&)>;

  ConfigurationStream(const StreamSettings& settings,
                      RegionId region,
                      log::LogPort& log,
                      std::shared_ptr<TaskRunner> runner,
                      const Clock& clock);

  void AddListener(OnChange on_change);
  void OnTime();
  // Writes the version in force into the log again. Where no file has stated
  // home regions, this one is it.
  void Reassert();
  // Writes down that this region holds no more than its parts in the division.
  void ReportDivision(ConfigurationVersion division);
  // Writes a word about quotas for the other regions.
  void Tell(records::QuotasOffered offer);
  void Tell(records::QuotasWanted wants);
  // Takes a version that a peer has, as of `as_of`.
  void Adopt(const replay::Configuration& configuration, Offset as_of);
  // Proposes a file, which must have been checked, in place of `expected`.
  void Propose(ConfigurationVersion expected,
               std::string author,
               std::string text,
               Instant give_up_at,
               std::function<void(const ConfigurationOutcome&)> on_outcome);

  const ConfigurationInForce& in_force() const { return in_force_; }
  // Whether every region that is to hold quotas is known to have reached the
  // division in force.
  bool HaveAllReachedDivision() const;
  // The last division that a region is known to have reached.
  ConfigurationVersion ReachedBy(const RegionId& region) const;
  // What the stream says of the regions and their quotas.
  const replay::ConfigurationState& state() const { return *state_; }
  Offset next_offset() const { return state_->next_offset(); }
  // When the latest read that reached the end of the stream began.
  std::optional<Instant> tail_read_began_at() const {
    return driver_.reader().tail_read_began_at();
  }
  // Whether the end of the stream was reached since the start.
  bool has_caught_up() const {
    return driver_.reader().tail_read_began_at().has_value();
  }
  // Whether the version in force is known, be it that there is none.
  bool is_known() const {
    return in_force_.version > ConfigurationVersion() ||
           (has_caught_up() && state_->is_replayed_known());
  }
  bool is_log_available() const {
    return driver_.reader().is_log_available() &&
           driver_.queue().is_log_available();
  }

 private:
  std::vector<proposals::ReadProposal> Apply(const log::StoredRecord& record);
  // Goes on from what the log still keeps.
  void SkipTo(Offset oldest);
  void Refresh();

  const RegionId region_;
  const Clock& clock_;
  proposals::StreamDriver driver_;
  // Always set; replaced when reading starts again elsewhere.
  std::optional<replay::ConfigurationState> state_;
  ConfigurationInForce in_force_;
  std::vector<OnChange> listeners_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_CONFIGURATION_STREAM_H_
