#include "routing/request_flow.h"

#include <algorithm>
#include <utility>

namespace papayadrift::routing {
namespace {

constexpr uint32_t kMaxBrokenSends = 2;

}  // namespace

RequestFlow::RequestFlow(RequestInfo info, bool is_idempotent, FlowPhase phase)
    : info_(std::move(info)),
      is_idempotent_(is_idempotent),
      phase_(phase),
      is_claiming_(phase == FlowPhase::kClaiming) {}

void RequestFlow::StartWaiting(Instant now) {
  phase_ = FlowPhase::kWaiting;
  waiting_since_ = now;
}

bool RequestFlow::has_open_send() const {
  return std::ranges::any_of(sends_, &SendState::is_open);
}

bool RequestFlow::has_sent_to(const RunnerPointer& runner) const {
  return std::ranges::find(sends_, runner, &SendState::runner) != sends_.end();
}

std::vector<RunnerPointer> RequestFlow::tried_runners() const {
  std::vector<RunnerPointer> runners;
  std::ranges::transform(sends_, std::back_inserter(runners),
                         &SendState::runner);
  return runners;
}

bool RequestFlow::may_send_again() const {
  return broken_sends_ < kMaxBrokenSends &&
         (is_idempotent_ || ran() == Ran::kNo);
}

Ran RequestFlow::ran() const {
  if (has_answer_) {
    return Ran::kYes;
  }
  return may_have_been_sent_ || has_open_send() ? Ran::kUnknown : Ran::kNo;
}

bool RequestFlow::is_done() const {
  return phase_ == FlowPhase::kFinished && !is_claiming_ && !has_open_send();
}

void RequestFlow::EndClaim(bool is_accepted) {
  is_claiming_ = false;
  has_claimed_key_ = is_accepted;
}

void RequestFlow::SetFallback(http::Response response) {
  fallback_ = std::move(response);
}

SendId RequestFlow::AddSend(RunnerPointer runner, Instant now) {
  const SendId id{info_.id, static_cast<uint32_t>(sends_.size() + 1)};
  sends_.push_back({id, std::move(runner), now});
  phase_ = FlowPhase::kSent;
  return id;
}

SendState* RequestFlow::FindOpen(const SendId& send) {
  const auto it = std::ranges::find(sends_, send, &SendState::id);
  const bool is_found = it != sends_.end() && it->is_open;
  return is_found ? &*it : nullptr;
}

void RequestFlow::CloseAnswered(SendState& send, bool proves_run) {
  send.is_open = false;
  has_answer_ |= proves_run;
  may_have_been_sent_ = true;
}

void RequestFlow::CloseFailed(SendState& send,
                              std::optional<http::ClientFailure> failure) {
  send.is_open = false;
  last_failure_ = failure;
  const bool is_broken = failure == http::ClientFailure::kLost ||
                         failure == http::ClientFailure::kTruncated;
  broken_sends_ += is_broken ? 1 : 0;
  may_have_been_sent_ |= failure != http::ClientFailure::kNotConnected;
}

void RequestFlow::Finish() {
  phase_ = FlowPhase::kFinished;
  info_.context.reset();
  fallback_.reset();
}

}  // namespace papayadrift::routing
