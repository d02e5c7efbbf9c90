#ifndef PAPAYADRIFT_ROUTING_REQUEST_FLOW_H_
#define PAPAYADRIFT_ROUTING_REQUEST_FLOW_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/instant.h"
#include "base/refusal.h"
#include "http/message.h"
#include "routing/events.h"
#include "routing/runner_pool.h"

namespace papayadrift::routing {

enum class FlowPhase {
  kArrived,   // Not processed yet.
  kClaiming,  // Waiting for the result of the key claim; not sent.
  kWaiting,   // Queued; not sent.
  kSent,
  kFinished,  // The final action was emitted; sends may still be open.
};

// State of one send of the request.
struct SendState {
  SendId id;
  RunnerPointer runner;
  Instant sent_at;
  bool is_open = true;
  bool is_failure_recorded =
      false;  // The runner's failure was already recorded.

  friend bool operator==(const SendState&, const SendState&) = default;
};

// State of one request: its sends and their results, and what follows from
// these about whether the request ran.
class RequestFlow {
 public:
  RequestFlow(RequestInfo info, bool is_idempotent, FlowPhase phase);

  const RequestInfo& info() const { return info_; }
  FlowPhase phase() const { return phase_; }
  bool is_idempotent() const { return is_idempotent_; }
  const std::vector<SendState>& sends() const { return sends_; }
  bool has_open_send() const;
  bool has_sent_to(const RunnerPointer& runner) const;

  // Returns the runners that the request was sent to so far.
  std::vector<RunnerPointer> tried_runners() const;

  // Returns whether the request may be sent again: if it is idempotent or no
  // byte of it can have been sent, and not if it may be what makes runners
  // crash.
  bool may_send_again() const;

  // Returns what is known for certain about whether the request ran.
  Ran ran() const;

  // Complete response with a server error status; returned to the caller if
  // there is no better one.
  const std::optional<http::Response>& fallback() const { return fallback_; }
  std::optional<http::ClientFailure> last_failure() const {
    return last_failure_;
  }

  // Returns whether the result of the key claim is still pending.
  bool is_claiming() const { return is_claiming_; }

  // Returns whether no event can concern the request any more.
  bool is_done() const;

  // Returns whether the request's key is claimed in the log and not yet
  // resolved.
  bool has_claimed_key() const { return has_claimed_key_; }

  void SetPhase(FlowPhase phase) { phase_ = phase; }

  // Marks the request as queued since `now`.
  void StartWaiting(Instant now);
  Instant waiting_since() const { return waiting_since_; }

  // Records the result of the key claim.
  void EndClaim(bool is_accepted);

  // Marks the key as resolved: nothing more is to be recorded for it.
  void ForgetKey() { has_claimed_key_ = false; }
  void SetFallback(http::Response response);

  // Adds an open send and returns its id.
  SendId AddSend(RunnerPointer runner, Instant now);

  // Returns the send, or null if it is not open.
  SendState* FindOpen(const SendId& send);

  // Closes a send that got a complete response of its own. A server error does
  // not prove that the request ran.
  void CloseAnswered(SendState& send, bool proves_run);

  // Closes a send without a complete response. `failure` is not set for a
  // mismatched response.
  void CloseFailed(SendState& send, std::optional<http::ClientFailure> failure);

  // Marks the request as finished and frees the data that open sends don't
  // need.
  void Finish();

 private:
  RequestInfo info_;
  bool is_idempotent_;
  FlowPhase phase_;
  Instant waiting_since_;
  bool is_claiming_;
  bool has_claimed_key_ = false;
  bool has_answer_ = false;
  bool may_have_been_sent_ = false;  // A closed send may have reached a runner.
  std::vector<SendState> sends_;
  uint32_t broken_sends_ = 0;  // Sends whose connection the runner broke.
  std::optional<http::Response> fallback_;
  std::optional<http::ClientFailure> last_failure_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_REQUEST_FLOW_H_
