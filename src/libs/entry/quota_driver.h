#ifndef PAPAYADRIFT_ENTRY_QUOTA_DRIVER_H_
#define PAPAYADRIFT_ENTRY_QUOTA_DRIVER_H_

#include <map>
#include <vector>

#include "base/clock.h"
#include "entry/configuration_stream.h"
#include "entry/decision_stream.h"
#include "quotas/quota_mover.h"

namespace papayadrift::entry {

// Divides team quotas between the regions through the two streams. On the
// control thread only.
class QuotaDriver {
 public:
  QuotaDriver(RegionId region,
              const quotas::MoverSettings& settings,
              DecisionStream& decisions,
              ConfigurationStream& configuration,
              const Clock& clock);

  // Does what is due; to be called by the entry whose duty it is.
  void OnTime();
  // Tells the other regions which division this one has reached.
  void Report();

  // Returns the record that brings a version in.
  records::QuotasSet RecordOf(const ConfigurationInForce& configuration) const;

 private:
  void RaiseShares();
  bool MayMove() const;
  // Asks for parts of quotas, and gives what others ask for.
  void MoveParts();
  std::vector<quotas::TeamNeed> Needs() const;
  // Returns what other regions have said anew that they want.
  std::map<RegionId, quotas::TeamAmounts> TakeWantsOfOthers();
  void Give(const quotas::Gift& gift);
  // Writes down what this region has given, where the others can't know.
  void OfferGiven();
  void TakeOffered();

  const RegionId region_;
  const quotas::MoverSettings settings_;
  DecisionStream& decisions_;
  ConfigurationStream& configuration_;
  const Clock& clock_;
  // What is on its way is not written again before.
  Instant next_at_;
  Instant move_at_;
  quotas::QuotaMover mover_;
  // Where each region stated the wants that were answered last.
  std::map<RegionId, Offset> answered_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_QUOTA_DRIVER_H_
