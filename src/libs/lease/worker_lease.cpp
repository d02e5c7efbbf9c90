#include "lease/worker_lease.h"

#include <algorithm>

namespace papayadrift::lease {
namespace {

// Maximum number of unanswered heartbeats that are tracked. Answers to older
// ones do not extend the lease.
constexpr size_t kMaximumUnanswered = 64;

}  // namespace

WorkerLease::WorkerLease(Incarnation incarnation) : incarnation_(incarnation) {}

void WorkerLease::OnHeartbeatSent(uint64_t sequence, Instant now) {
  sent_at_.emplace(sequence, now);
  if (sent_at_.size() > kMaximumUnanswered) {
    sent_at_.erase(sent_at_.begin());
  }
}

void WorkerLease::OnAnswer(const LeaseAnswer& answer, Instant now) {
  OnTime(now);
  if (answer.incarnation != incarnation_) {
    last_reason_ = AnswerRefusal::kOtherIncarnation;
    return;
  }
  const auto it = sent_at_.find(answer.sequence);
  if (it == sent_at_.end()) {
    last_reason_ = AnswerRefusal::kUnknownHeartbeat;
    return;
  }
  const Instant until = it->second + answer.renewal;
  sent_at_.erase(it);
  if (answer.renewal.count() > 0) {
    live_until_ = std::max(until, live_until_.value_or(until));
  }
  last_reason_.reset();
  if (answer.state_offset < highest_state_) {
    last_reason_ = AnswerRefusal::kOldState;
    return;
  }
  highest_state_ = answer.state_offset;
  if (!IsLive(now)) {
    last_reason_ = AnswerRefusal::kLeaseNotLive;
  }
}

void WorkerLease::OnTime(Instant now) {
  must_stop_ = must_stop_ || (live_until_ && now >= *live_until_);
}

void WorkerLease::OnStopped() {
  must_stop_ = false;
}

bool WorkerLease::IsLive(Instant now) const {
  return live_until_ && now < *live_until_;
}

bool WorkerLease::MayFollowOrders(Instant now) const {
  return !last_reason_ && !must_stop_ && IsLive(now);
}

}  // namespace papayadrift::lease
