#ifndef PAPAYADRIFT_CLUSTER_ARRIVED_REPORT_H_
#define PAPAYADRIFT_CLUSTER_ARRIVED_REPORT_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "jobs/runner.h"

namespace papayadrift::cluster {

// A report of an agent as it arrives. It is decoded when its turn comes: a
// leader that is behind need not read what a later report has overtaken.
struct ArrivedReport {
  std::string reporter;  // As by ReporterOf(); empty if the agent did not say.
  // Returns nothing if it can't be decoded.
  std::function<std::optional<jobs::RunnerReport>()> decode;
};

enum class ReportRejection {
  kUnreadable,
  kNotTaken,  // This process does not lead, or the report was overtaken.
};
using ReportReply = std::variant<jobs::ReportAnswer, ReportRejection>;
// Answers a report; called once.
using RespondToReport = std::function<void(const ReportReply&)>;

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_ARRIVED_REPORT_H_
