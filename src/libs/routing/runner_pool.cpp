#include "routing/runner_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayadrift::routing {

namespace {

constexpr double kLatencyWeight = 0.1;
// Slow start begins with this fraction of the weight.
constexpr double kMinimumRamp = 0.1;
constexpr int kMaximumDoublings = 16;

bool IsServing(const RunnerPointer& runner) {
  return runner->slots->limit() > 0;
}

}  // namespace

RunnerPool::RunnerPool(RunnerSettings settings,
                       ZoneId zone,
                       uint64_t random_seed)
    : settings_(settings), zone_(std::move(zone)), random_(random_seed) {}

void RunnerPool::Update(const std::vector<RunnerRoute>& routes,
                        const SlotCounters& counters,
                        Instant now) {
  std::vector<RunnerPointer> updated;
  const bool is_first = runners_.empty();
  for (const RunnerRoute& route : routes) {
    const auto same = [&](const RunnerPointer& runner) {
      return runner->route.address == route.address;
    };
    const auto known = std::ranges::find_if(runners_, same);
    auto runner = known == runners_.end() ? std::make_shared<Runner>() : *known;
    if (known == runners_.end()) {
      // Runners that already existed when this entry started need no slow
      // start.
      runner->serving_since = is_first ? now - settings_.slow_start : now;
    }
    runner->route = route;
    runner->slots = counters.at(route.address);
    updated.push_back(std::move(runner));
  }
  runners_ = std::move(updated);
  ReadmitIfAllAreEjected(now);
}

RunnerPointer RunnerPool::AcquireSlot(std::span<const RunnerPointer> excluded,
                                      Instant now) {
  CollectEligible(excluded, now);
  if (eligible_.empty()) {
    return nullptr;
  }
  Runner* drawn = Draw(now);
  if (!drawn->slots->TryAcquire(now)) {
    return nullptr;
  }
  return *std::ranges::find(runners_, drawn, &RunnerPointer::get);
}

void RunnerPool::RecordSuccess(Runner& runner,
                               microseconds latency,
                               Instant now) {
  const auto value = static_cast<double>(latency.count());
  runner.mean_latency += runner.mean_latency == 0
                             ? value
                             : kLatencyWeight * (value - runner.mean_latency);
  runner.failures_in_a_row = 0;
  if (std::exchange(runner.is_on_probation, false)) {
    runner.serving_since = now;
    return;
  }
  runner.ejections_in_a_row = 0;
}

void RunnerPool::RecordFailure(Runner& runner, Instant now) {
  ++runner.failures_in_a_row;
  const bool fails_too_often =
      runner.is_on_probation ||
      runner.failures_in_a_row >= settings_.ejecting_failures;
  if (!fails_too_often || runner.ejected_until > now || !IsOutlier(runner) ||
      !MayEjectOneMore(now)) {
    return;
  }
  const int doublings =
      std::min(runner.ejections_in_a_row++, kMaximumDoublings);
  const microseconds length = std::min(
      settings_.first_ejection * (1 << doublings), settings_.longest_ejection);
  runner.ejected_until = now + length;
  runner.is_on_probation = true;
}

int32_t RunnerPool::usable_slots() const {
  int32_t slots = 0;
  for (const RunnerPointer& runner : runners_) {
    slots += runner->slots->limit();
  }
  return slots;
}

size_t RunnerPool::serving_count() const {
  return static_cast<size_t>(std::ranges::count_if(runners_, IsServing));
}

size_t RunnerPool::ejected_count(Instant now) const {
  return static_cast<size_t>(
      std::ranges::count_if(runners_, [&](const RunnerPointer& runner) {
        return IsServing(runner) && runner->ejected_until > now;
      }));
}

bool RunnerPool::IsEligible(const RunnerPointer& runner,
                            std::span<const RunnerPointer> excluded,
                            Instant now) const {
  if (!runner->slots->HasFreeSlot(now) || runner->ejected_until > now) {
    return false;
  }
  if (runner->is_on_probation && runner->slots->in_use() > 0) {
    return false;
  }
  return std::ranges::find(excluded, runner) == excluded.end();
}

void RunnerPool::CollectEligible(std::span<const RunnerPointer> excluded,
                                 Instant now) {
  eligible_.clear();
  for (const RunnerPointer& runner : runners_) {
    if (IsEligible(runner, excluded, now)) {
      eligible_.push_back(runner.get());
    }
  }
}

Runner* RunnerPool::Draw(Instant now) {
  const auto count = static_cast<uint32_t>(eligible_.size());
  const uint32_t first = random_(count);
  if (count == 1 || settings_.choice == RunnerChoice::kRandom) {
    return eligible_[first];
  }
  // Any runner other than the first, with equal probability.
  const uint32_t second = (first + 1 + random_(count - 1)) % count;
  return Better(eligible_[first], eligible_[second], now);
}

double RunnerPool::Score(const Runner& runner,
                         double latency,
                         Instant now) const {
  const double age = static_cast<double>((now - runner.serving_since).count());
  const double ramp =
      std::clamp(age / static_cast<double>(settings_.slow_start.count()),
                 kMinimumRamp, 1.0);
  const double weight = runner.slots->limit() * ramp;
  const double zone =
      runner.route.zone == zone_ ? 1.0 : settings_.other_zone_factor;
  return (runner.slots->in_use() + 1) / weight * latency * zone;
}

Runner* RunnerPool::Better(Runner* left, Runner* right, Instant now) const {
  const bool are_known = left->mean_latency > 0 && right->mean_latency > 0;
  const double left_latency = are_known ? left->mean_latency : 1;
  const double right_latency = are_known ? right->mean_latency : 1;
  return Score(*right, right_latency, now) < Score(*left, left_latency, now)
             ? right
             : left;
}

bool RunnerPool::IsOutlier(const Runner& runner) const {
  const auto failing =
      std::ranges::count_if(runners_, [&](const RunnerPointer& other) {
        return other.get() != &runner && IsServing(other) &&
               other->failures_in_a_row > 0;
      });
  return 2 * static_cast<size_t>(failing) <= serving_count();
}

void RunnerPool::ReadmitIfAllAreEjected(Instant now) {
  if (ejected_count(now) < serving_count()) {
    return;
  }
  for (const RunnerPointer& runner : runners_) {
    runner->ejected_until = now;
  }
}

bool RunnerPool::MayEjectOneMore(Instant now) const {
  const double allowed =
      settings_.maximum_ejected_fraction * static_cast<double>(serving_count());
  return static_cast<double>(ejected_count(now) + 1) <= std::floor(allowed);
}

}  // namespace papayadrift::routing
