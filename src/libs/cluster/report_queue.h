#ifndef PAPAYADRIFT_CLUSTER_REPORT_QUEUE_H_
#define PAPAYADRIFT_CLUSTER_REPORT_QUEUE_H_

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <string>

#include "base/instant.h"
#include "cluster/arrived_report.h"
#include "jobs/runner.h"

namespace papayadrift::cluster {

// Returns whose report it is: of two reports of the same processes of an agent
// and a runner, the later one says all that the earlier one does, unless it
// says that the runner has ended.
std::string ReporterOf(const jobs::RunnerReport& report);

struct WaitingReport {
  ArrivedReport report;
  Instant received_at;
  RespondToReport respond;
};

// Reports that wait for their turn, in the order of their arrival. An agent
// repeats a report that was not answered in time, so only its last one counts:
// a leader that is behind need not read what has been overtaken.
class ReportQueue {
 public:
  // Adds a report in the place of the reporter's earlier one, if there is one,
  // which is returned.
  std::optional<WaitingReport> Put(WaitingReport report);
  std::optional<WaitingReport> Take();

  bool empty() const { return reports_.empty(); }
  size_t size() const { return reports_.size(); }

 private:
  std::list<WaitingReport> reports_;
  std::map<std::string, std::list<WaitingReport>::iterator> by_reporter_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_REPORT_QUEUE_H_
