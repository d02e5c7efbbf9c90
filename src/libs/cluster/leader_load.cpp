#include "cluster/leader_load.h"

#include <algorithm>
#include <utility>

namespace papayadrift::cluster {
namespace {

constexpr int kSmoothing = 8;  // Rounds that the smoothed lag averages.

}  // namespace

const char* ToText(WorkKind kind) {
  switch (kind) {
    case WorkKind::kReports:
      return "reports";
    case WorkKind::kPlacement:
      return "placement";
    case WorkKind::kAppends:
      return "appends";
    case WorkKind::kOrders:
      return "orders";
    case WorkKind::kResults:
      return "results";
  }
  return "unknown";
}

void LeaderLoad::OnWork(WorkKind kind, uint64_t count, microseconds time) {
  WorkSum& sum = work_.at(static_cast<size_t>(kind));
  sum.count += count;
  sum.time += time;
}

void LeaderLoad::OnJobsRead(bool is_read, microseconds time) {
  ++reads_.count;
  reads_.failed += is_read ? 0 : 1;
  reads_.longest = std::max(reads_.longest, time);
}

LeaderLoad::Change LeaderLoad::OnRound(Instant now,
                                       microseconds lag,
                                       Instant viewed_at) {
  smoothed_lag_ += (lag - smoothed_lag_) / kSmoothing;
  view_age_ = now - viewed_at;
  const bool is_late =
      smoothed_lag_ >= settings_.max_lag || view_age_ >= settings_.max_view_age;
  const bool is_prompt = smoothed_lag_ < settings_.max_lag / 2 &&
                         view_age_ < settings_.max_view_age * 3 / 4;
  if (!behind_since_) {
    if (!is_late) {
      return Change::kNone;
    }
    behind_since_ = now;
    keeping_up_since_.reset();
    return Change::kFellBehind;
  }
  if (!is_prompt) {
    keeping_up_since_.reset();
  } else if (!keeping_up_since_) {
    keeping_up_since_ = now;
  } else if (now - *keeping_up_since_ >= settings_.catch_up_time) {
    behind_since_.reset();
    return Change::kCaughtUp;
  }
  return Change::kNone;
}

std::optional<Behind> LeaderLoad::behind() const {
  if (!behind_since_) {
    return std::nullopt;
  }
  return Behind{*behind_since_, view_age_ >= settings_.max_view_age};
}

WorkSums LeaderLoad::TakeWork() {
  return std::exchange(work_, WorkSums{});
}

ReadSums LeaderLoad::TakeReads() {
  return std::exchange(reads_, ReadSums());
}

}  // namespace papayadrift::cluster
