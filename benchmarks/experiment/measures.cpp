#include "measures.h"

#include <variant>

namespace papayadrift::experiment {
namespace {

// A result has no value once it takes this many times the allowed time.
constexpr double kCutoffTargets = 3;

}  // namespace

void Measures::OnServing(milliseconds step, bool is_over) {
  serving_ms_ += step.count();
  over_ms_ += is_over ? step.count() : 0;
}

void Measures::OnFiller(const jobs::TaskKey& task,
                        milliseconds step,
                        double speed) {
  fillers_.insert(task);
  filler_ms_ += static_cast<double>(step.count());
  filler_work_ms_ += speed * static_cast<double>(step.count());
}

void Measures::OnSchedulerEvent(const jobs::JobSchedulerEvent& event) {
  moves_ += event.kind == jobs::JobSchedulerEvent::Kind::kRunWithdrawn ? 1 : 0;
}

void Measures::OnOrder(const jobs::Order& order) {
  ++orders_;
  pace_orders_ += std::holds_alternative<jobs::PaceOrder>(order) ? 1 : 0;
}

void Measures::OnJob(const std::string& queue,
                     double work,
                     double ratio,
                     bool is_done) {
  QueueResult& result = queues_[queue];
  // Jobs that were cut off by the end of the simulation are not counted.
  if (!is_done && ratio < 1) {
    return;
  }
  result.all += work;
  if (is_done && ratio <= 1) {
    result.in_time += work;
  } else if (is_done && ratio <= kCutoffTargets) {
    result.late += work;
  }
}

double Measures::over_target() const {
  return serving_ms_ > 0
             ? static_cast<double>(over_ms_) / static_cast<double>(serving_ms_)
             : 0;
}

double Measures::filler_pace() const {
  return filler_ms_ > 0 ? filler_work_ms_ / filler_ms_ : 0;
}

double Measures::pace_orders_per_filler() const {
  return fillers_.empty() ? 0
                          : static_cast<double>(pace_orders_) /
                                static_cast<double>(fillers_.size());
}

}  // namespace papayadrift::experiment
