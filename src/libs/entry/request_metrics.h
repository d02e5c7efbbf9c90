#ifndef PAPAYADRIFT_ENTRY_REQUEST_METRICS_H_
#define PAPAYADRIFT_ENTRY_REQUEST_METRICS_H_

#include <vector>

#include "base/instant.h"
#include "metrics/registry.h"
#include "outcomes/outcome.h"
#include "routing/actions.h"

namespace papayadrift::entry {

// Counts requests and sends. Takes no lock once constructed.
class RequestMetrics {
 public:
  explicit RequestMetrics(metrics::Registry& registry);

  void CountRequest(const outcomes::Outcome& outcome, microseconds took);
  void CountSend(routing::SendOutcome outcome);

 private:
  std::vector<metrics::Counter*> requests_;  // By outcomes::IndexOf().
  std::vector<metrics::Counter*> sends_;     // By routing::SendOutcome.
  metrics::Histogram& answered_;
  metrics::Histogram& refused_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_REQUEST_METRICS_H_
