#include "cost_meter.h"

#include <ctime>
#include <numeric>

namespace papayadrift::cluster {

std::string_view ToText(CostKind kind) {
  constexpr std::array<std::string_view, kCostKinds> kNames = {
      "decode_reports", "reports", "placement", "changes",
      "stored",         "answers", "orders",    "encode_orders",
      "decode_results", "results", "log",       "metrics"};
  return kNames.at(static_cast<size_t>(kind));
}

std::chrono::nanoseconds ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::chrono::nanoseconds CostMeter::total() const {
  return std::accumulate(times_.begin(), times_.end(),
                         std::chrono::nanoseconds(0));
}

}  // namespace papayadrift::cluster
