#ifndef PAPAYADRIFT_CLUSTER_RUNNER_AGENT_SETTINGS_H_
#define PAPAYADRIFT_CLUSTER_RUNNER_AGENT_SETTINGS_H_

#include <string>

#include "base/instant.h"

namespace papayadrift::cluster {

struct RunnerAgentSettings {
  std::string node;
  std::string address;  // "ip:port" to which the leader sends orders.
  std::string service;  // Announcements of other services are ignored.
  // Period of reports while nothing changes.
  milliseconds report_period{500};
  // Timeout of a report to a leader that answers soon.
  milliseconds report_timeout{1200};
  // Timeout of a report to one that answers late: it gets nothing done while
  // each report is given up and repeated.
  milliseconds longest_report_timeout{4800};
  // The runner may delay the response to a lease renewal by this long.
  milliseconds renewal_wait{400};
  // Timeout of a call to the runner, in addition to that.
  milliseconds runner_timeout{600};
  // Timeout of an order to the runner, which takes it very little time.
  milliseconds order_timeout{250};
  // Time for which orders of one batch are sent to the runner. The leader waits
  // a second for the answer to all of them.
  milliseconds batch_limit{650};
  // Longest age of what the leader knows of the stored jobs when a run is
  // started; see jobs::JobSchedulerSettings.
  milliseconds view_limit{2500};

  friend bool operator==(const RunnerAgentSettings&,
                         const RunnerAgentSettings&) = default;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_RUNNER_AGENT_SETTINGS_H_
