#ifndef PAPAYADRIFT_ENTRY_CONFIGURATION_EFFECT_H_
#define PAPAYADRIFT_ENTRY_CONFIGURATION_EFFECT_H_

#include <cstddef>

#include "base/clock.h"
#include "entry/configuration_stream.h"
#include "entry/decision_stream.h"
#include "entry/entry_standing.h"
#include "entry/placement_driver.h"
#include "entry/quota_driver.h"

namespace papayadrift::entry {

// Brings the configuration in force into the decision stream and into the
// scheduler's policy. On the control thread only.
class ConfigurationEffect : public DecisionListener {
 public:
  ConfigurationEffect(RegionId region,
                      ConfigurationStream& configuration,
                      DecisionStream& decisions,
                      const EntryStanding& standing,
                      const QuotaDriver& quotas,
                      PlacementDriver& placement,
                      const Clock& clock);

  void OnTime();
  void OnConfigurationChanged();

  void OnApplied(Offset offset,
                 const replay::AppliedProposal& applied) override;
  void OnRestored() override;

 private:
  // Writes this region down as the only one where no file has stated any.
  void StateHomeRegions();
  bool IsToBeBroughtIn() const;
  void BringIntoDecisions();
  void SubmitConfiguredJobs();
  void CancelRemovedJobs();
  // Proposes what must have been decided before the quotas are set.
  void ProposeBeforeQuotas(records::Record record);
  void OnDecided(const ProposalOutcome& outcome);
  void SetQuotas();
  void EndBringingIn() { is_bringing_in_ = false; }
  bool IsToBeSubmitted(const JobId& job) const;
  // Lets the scheduler use the quotas that this region holds.
  void BringIntoPolicy();

  const RegionId region_;
  ConfigurationStream& configuration_;
  DecisionStream& decisions_;
  const EntryStanding& standing_;
  const QuotaDriver& quotas_;
  PlacementDriver& placement_;
  const Clock& clock_;
  Instant state_homes_at_;
  bool is_bringing_in_ = false;
  // Of the file that is being brought in.
  ConfigurationVersion version_;
  size_t undecided_ = 0;
  bool has_missed_ = false;
  Instant bring_in_at_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_CONFIGURATION_EFFECT_H_
