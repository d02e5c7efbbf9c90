#ifndef PAPAYADRIFT_ENTRY_EVENT_REPORTER_H_
#define PAPAYADRIFT_ENTRY_EVENT_REPORTER_H_

#include "entry/decision_stream.h"
#include "logging/logger.h"

namespace papayadrift::entry {

// Writes what happens in the region into the process's log, once the entry has
// caught up: what is replayed from before is no news. On the control thread.
class EventReporter : public DecisionListener {
 public:
  explicit EventReporter(logging::Logger& logger);

  // Whether the platform's log answers at the moment.
  void OnLog(bool is_available);

  void OnApplied(Offset offset,
                 const replay::AppliedProposal& applied) override;
  void OnRestored() override;

 private:
  logging::Logger& logger_;
  bool has_caught_up_ = false;
  bool is_log_available_ = true;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_EVENT_REPORTER_H_
