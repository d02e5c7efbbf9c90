#ifndef PAPAYADRIFT_BENCHMARKS_CLUSTER_COST_METER_H_
#define PAPAYADRIFT_BENCHMARKS_CLUSTER_COST_METER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <string_view>
#include <utility>

namespace papayadrift::cluster {

// Kinds of a leader's work.
enum class CostKind {
  kDecodeReports,
  kReports,    // What a report changes.
  kPlacement,  // Expired leases, ready steps and the choice of runners.
  kChanges,    // What is to be stored, with its encoding.
  kStored,
  kAnswers,  // To reports.
  kOrders,   // Orders that are due.
  kEncodeOrders,
  kDecodeResults,
  kResults,
  kLog,  // Lines of the log.
  kMetrics,
};
inline constexpr size_t kCostKinds = 12;

std::string_view ToText(CostKind kind);

// Processor time that the calling thread has used so far.
std::chrono::nanoseconds ThreadTime();

// Adds up the processor time of one thread by kind of work.
class CostMeter {
 public:
  // Returns what `action` returns.
  template <typename Action>
  auto Measure(CostKind kind, Action&& action) {
    const Span span(*this, kind);
    return std::forward<Action>(action)();
  }

  std::chrono::nanoseconds time_of(CostKind kind) const {
    return times_.at(static_cast<size_t>(kind));
  }
  std::chrono::nanoseconds total() const;

 private:
  class Span {
   public:
    Span(CostMeter& meter, CostKind kind)
        : meter_(meter), kind_(kind), started_at_(ThreadTime()) {}
    ~Span() {
      meter_.times_.at(static_cast<size_t>(kind_)) +=
          ThreadTime() - started_at_;
    }
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

   private:
    CostMeter& meter_;
    const CostKind kind_;
    const std::chrono::nanoseconds started_at_;
  };

  std::array<std::chrono::nanoseconds, kCostKinds> times_{};
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_BENCHMARKS_CLUSTER_COST_METER_H_
