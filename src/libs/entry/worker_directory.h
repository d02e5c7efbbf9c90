#ifndef PAPAYADRIFT_ENTRY_WORKER_DIRECTORY_H_
#define PAPAYADRIFT_ENTRY_WORKER_DIRECTORY_H_

#include <string>

#include "entry/decision_stream.h"
#include "entry/membership_driver.h"
#include "entry/worker_desk.h"
#include "membership/membership_view.h"

namespace papayadrift::entry {

// Knows where workers should send their heartbeats. On the control thread only.
class WorkerDirectory {
 public:
  WorkerDirectory(const DecisionStream& decisions,
                  const membership::MembershipView& view,
                  const MembershipDriver& membership);

  EntryDirectory For(const WorkerId& worker) const;

 private:
  // Empty for an entry that replay doesn't know.
  std::string HttpAddressOf(const lease::MemberKey& entry) const;

  const DecisionStream& decisions_;
  const membership::MembershipView& view_;
  const MembershipDriver& membership_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_WORKER_DIRECTORY_H_
