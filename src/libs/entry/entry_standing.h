#ifndef PAPAYADRIFT_ENTRY_ENTRY_STANDING_H_
#define PAPAYADRIFT_ENTRY_ENTRY_STANDING_H_

#include "entry/configuration_stream.h"
#include "entry/decision_stream.h"
#include "entry/membership_driver.h"

namespace papayadrift::entry {

// What this entry is in its region at the moment. On the control thread only.
class EntryStanding {
 public:
  EntryStanding(const DecisionStream& decisions,
                const ConfigurationStream& configuration,
                const MembershipDriver& membership);

  // Whether it has caught up and is full, as far as it knows.
  bool is_full_member() const;
  // Whether it may serve requests: a full member, and configured.
  bool is_ready() const;
  // Whether what one entry has to do for the whole region is its duty.
  bool has_region_duty() const;

 private:
  const DecisionStream& decisions_;
  const ConfigurationStream& configuration_;
  const MembershipDriver& membership_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_ENTRY_STANDING_H_
