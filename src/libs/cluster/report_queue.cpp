#include "cluster/report_queue.h"

#include <iterator>
#include <utility>

namespace papayadrift::cluster {

std::string ReporterOf(const jobs::RunnerReport& report) {
  const std::string process = ToText(report.incarnation) + "/" +
                              std::to_string(report.agent_start_unix_ms);
  return report.state == jobs::RunnerState::kGone ? process + "/gone" : process;
}

std::optional<WaitingReport> ReportQueue::Put(WaitingReport report) {
  const auto known = by_reporter_.find(report.report.reporter);
  if (known != by_reporter_.end()) {
    return std::exchange(*known->second, std::move(report));
  }
  reports_.push_back(std::move(report));
  if (const std::string& reporter = reports_.back().report.reporter;
      !reporter.empty()) {
    by_reporter_.emplace(reporter, std::prev(reports_.end()));
  }
  return std::nullopt;
}

std::optional<WaitingReport> ReportQueue::Take() {
  if (reports_.empty()) {
    return std::nullopt;
  }
  WaitingReport first = std::move(reports_.front());
  reports_.pop_front();
  by_reporter_.erase(first.report.reporter);
  return first;
}

}  // namespace papayadrift::cluster
