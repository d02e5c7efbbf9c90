#include "cluster/relay.h"

#include <algorithm>
#include <ranges>
#include <utility>
#include <variant>

namespace papayadrift::cluster {
namespace {

// Timeout of a call to one frontend: some appends to a slow store.
constexpr milliseconds kPeerTimeout(800);
// After this time without an answer to a query another frontend is asked too.
// The answer of a slow one still counts: it may be the only one that knows.
constexpr milliseconds kQueryPace(350);

}  // namespace

struct Relay::Attempt {
  RelayCall call;
  // Remaining addresses, the next one last.
  std::vector<std::string> addresses;
  Instant deadline;
  Done done;
  Outcome outcome;
  // Queries only.
  std::unique_ptr<Timer> pace_timer;
  size_t unanswered = 0;
  bool is_done = false;
};

void Relay::Finish(Attempt& attempt) {
  if (attempt.is_done) {
    return;
  }
  attempt.is_done = true;
  attempt.pace_timer.reset();
  attempt.done(attempt.outcome);
}

Relay::Relay(const ProcessContext& context,
             const FrontendList& frontends,
             std::string own_address)
    : context_(context),
      frontends_(frontends),
      own_address_(std::move(own_address)) {}

void Relay::Send(const RelayCall& call,
                 const std::string& preferred,
                 Instant deadline,
                 Done done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->call = call;
  attempt->deadline = deadline;
  attempt->done = std::move(done);
  for (const FrontendRecord& frontend :
       frontends_.Ranked() | std::views::reverse) {
    if (frontend.address != preferred) {
      attempt->addresses.push_back(frontend.address);
    }
  }
  if (!preferred.empty() && preferred != own_address_) {
    attempt->addresses.push_back(preferred);
  }
  TryNext(attempt);
}

void Relay::TryNext(const std::shared_ptr<Attempt>& attempt) {
  const Instant now = context_.clock.Now();
  if (attempt->addresses.empty() || now >= attempt->deadline) {
    if (attempt->unanswered == 0) {
      Finish(*attempt);
    }
    return;
  }
  const std::string address = std::move(attempt->addresses.back());
  attempt->addresses.pop_back();
  const bool is_query = attempt->call.kind == RelayKind::kState ||
                        attempt->call.kind == RelayKind::kCount;
  const Instant limit = is_query
                            ? attempt->deadline
                            : std::min(attempt->deadline, now + kPeerTimeout);
  attempt->call.remaining_ms =
      std::chrono::floor<milliseconds>(limit - now).count();
  ++attempt->unanswered;
  if (is_query) {
    Pace(attempt);
  }
  context_.peers.SendRelayed(address, attempt->call, limit,
                             [this, attempt](const RelayResult& result) {
                               --attempt->unanswered;
                               if (!attempt->is_done) {
                                 OnResult(attempt, result);
                               }
                             });
}

void Relay::Pace(const std::shared_ptr<Attempt>& attempt) {
  attempt->pace_timer = context_.loop.MakeTimer();
  attempt->pace_timer->Start(kQueryPace, [this, attempt] {
    if (!attempt->is_done) {
      TryNext(attempt);
    }
  });
}

void Relay::OnResult(const std::shared_ptr<Attempt>& attempt,
                     const RelayResult& result) {
  if (const auto* answer = std::get_if<RelayAnswer>(&result)) {
    if (answer->is_handled) {
      attempt->outcome.answer = *answer;
      Finish(*attempt);
      return;
    }
  } else if (std::get<CallFailure>(result) != CallFailure::kNotDone) {
    attempt->outcome.may_be_done = true;
  }
  TryNext(attempt);
}

}  // namespace papayadrift::cluster
