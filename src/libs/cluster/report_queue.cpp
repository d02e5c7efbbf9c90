#include "cluster/report_queue.h"

#include <iterator>
#include <utility>

namespace papayadrift::cluster {

std::optional<WaitingReport> ReportQueue::Put(WaitingReport report) {
  const auto known = by_node_.find(report.node);
  if (known != by_node_.end()) {
    return std::exchange(*known->second, std::move(report));
  }
  reports_.push_back(std::move(report));
  if (const std::string& node = reports_.back().node; !node.empty()) {
    by_node_.emplace(node, std::prev(reports_.end()));
  }
  return std::nullopt;
}

std::optional<WaitingReport> ReportQueue::Take() {
  if (reports_.empty()) {
    return std::nullopt;
  }
  WaitingReport first = std::move(reports_.front());
  reports_.pop_front();
  by_node_.erase(first.node);
  return first;
}

}  // namespace papayadrift::cluster
