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
  kArrived,   // Nothing was done yet.
  kClaiming,  // The key's verdict is awaited; nothing was sent.
  kWaiting,   // In the queue; nothing was sent.
  kSent,
  kFinished,  // The caller has the final answer; sends may still be open.
};

// One sending of the request.
struct SendState {
  SendId id;
  RunnerPointer runner;
  Instant sent_at;
  bool is_open = true;
  bool is_failure_recorded =
      false;  // Its runner was charged with a failure already.

  friend bool operator==(const SendState&, const SendState&) = default;
};

// The life of one request: what was sent, how that ended, and therefore what
// can be said about whether the request ran.
class RequestFlow {
 public:
  RequestFlow(RequestInfo info, bool is_idempotent, FlowPhase phase);

  const RequestInfo& info() const { return info_; }
  FlowPhase phase() const { return phase_; }
  bool is_idempotent() const { return is_idempotent_; }
  const std::vector<SendState>& sends() const { return sends_; }
  bool has_open_send() const;
  bool has_sent_to(const RunnerPointer& runner) const;

  // Returns the runners of all sends so far.
  std::vector<RunnerPointer> tried_runners() const;

  // Whether the request may be sent once more: always if it is idempotent,
  // otherwise only if no byte of it can have left.
  bool may_send_again() const;

  // Returns what is proved about the request having run.
  Ran ran() const;

  // A whole answer that reports a server's failure, given if no other comes.
  const std::optional<http::Response>& fallback() const { return fallback_; }
  std::optional<http::ClientFailure> last_failure() const {
    return last_failure_;
  }

  // Whether the verdict on the key is still awaited.
  bool is_claiming() const { return is_claiming_; }

  // Whether nothing more can happen to the request.
  bool is_done() const;

  // Whether the request's key is claimed in the log and not yet resolved.
  bool has_claimed_key() const { return has_claimed_key_; }

  void SetPhase(FlowPhase phase) { phase_ = phase; }

  // The request stands in the queue from `now` on.
  void StartWaiting(Instant now);
  Instant waiting_since() const { return waiting_since_; }

  // The verdict on the key has come.
  void EndClaim(bool is_accepted);

  // The key is resolved: nothing more is to be recorded for it.
  void ForgetKey() { has_claimed_key_ = false; }
  void SetFallback(http::Response response);

  // Opens a send; returns its identity.
  SendId AddSend(RunnerPointer runner, Instant now);

  // Returns the send while it is open, or null.
  SendState* FindOpen(const SendId& send);

  // Closes a send that has a whole answer of its own. A server's failure does
  // not prove that the request ran.
  void CloseAnswered(SendState& send, bool proves_run);

  // Closes a send without one; no failure stands for a mismatched answer.
  void CloseFailed(SendState& send, std::optional<http::ClientFailure> failure);

  // The request over, only what open sends need is kept.
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
  std::optional<http::Response> fallback_;
  std::optional<http::ClientFailure> last_failure_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_REQUEST_FLOW_H_
