#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_NETWORK_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_NETWORK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "base/instant.h"
#include "simulation.h"

namespace papayadrift::run_histories {

// What calls go over: each kind once for each runner or each frontend.
enum class LinkKind {
  kReport,        // From an agent to the leader.
  kOrders,        // From the leader to an agent.
  kNotification,  // From a new leader to an agent.
  kHold,          // From an agent to its runner: renewal of the lease.
  kOrder,         // From an agent to its runner: one start or stop.
  kAnnouncement,  // From a runner to its agent.
  kCancellation,  // From a frontend to the leader.
  kStoreWrite,    // From a frontend to the store.
  kStoreRead,
  kAgentRead,  // From an agent to the store.
  kFrontend,   // From a frontend to another one.
};
inline constexpr size_t kLinkKinds = 11;
inline constexpr size_t kLinksOfKind = 2;

struct Link {
  LinkKind kind = LinkKind::kReport;
  size_t index = 0;  // Of the runner or frontend.

  friend bool operator==(const Link&, const Link&) = default;
};

// What happens to one call.
struct Fault {
  enum class Kind {
    kLoseRequest,
    kLoseAnswer,
    kDelayRequest,
    kDelayAnswer,
    kRepeatRequest,
    kRefuse,  // The store does nothing and says so.
  };
  Kind kind = Kind::kLoseRequest;
  milliseconds delay{0};

  friend bool operator==(const Fault&, const Fault&) = default;
};

struct Delivery {
  Instant sent_at;
  bool is_refused = false;
  // Time after which a runner that the call has reached executes it.
  microseconds held_up{0};
};

// Carries calls from one party to another. Each takes a short time, unless the
// next fault of its link or a cut says otherwise.
class Network {
 public:
  template <typename Answer>
  using Respond = std::function<void(const Answer&)>;
  template <typename Answer>
  using Deliver =
      std::function<void(const Delivery& delivery, Respond<Answer> respond)>;
  // Without an answer: the call timed out.
  template <typename Answer>
  using Done = std::function<void(const std::optional<Answer>& answer)>;

  explicit Network(Simulation& simulation) : simulation_(simulation) {}

  // Applies to the next call of the link that no other fault applies to.
  void Inject(const Link& link, const Fault& fault);
  // Loses all requests of the link until `until`. The second runner refuses
  // lease renewals instead.
  void Cut(const Link& link, Instant until);
  // Ends all faults and cuts that have not taken effect.
  void Heal();

  // `done` runs once, at the latest after `timeout`; `deliver` may run later
  // than that, more than once, or never.
  template <typename Answer>
  void Call(const Link& link,
            milliseconds timeout,
            Deliver<Answer> deliver,
            Done<Answer> done);

 private:
  struct Condition {
    std::deque<Fault> faults;
    Instant cut_until;
  };
  struct Plan {
    std::optional<microseconds> request;  // Unset: lost.
    std::optional<microseconds> repeat;
    std::optional<microseconds> answer;
    bool is_refused = false;
    microseconds held_up{0};
  };

  Condition& ConditionOf(const Link& link);
  Plan PlanOf(const Link& link);

  Simulation& simulation_;
  std::array<Condition, kLinkKinds * kLinksOfKind> conditions_;
};

template <typename Answer>
void Network::Call(const Link& link,
                   milliseconds timeout,
                   Deliver<Answer> deliver,
                   Done<Answer> done) {
  const Plan plan = PlanOf(link);
  const Delivery delivery{simulation_.Now(), plan.is_refused, plan.held_up};
  const auto pending = std::make_shared<Done<Answer>>(std::move(done));
  const auto finish = [pending](const std::optional<Answer>& answer) {
    if (*pending) {
      std::exchange(*pending, nullptr)(answer);
    }
  };
  const Respond<Answer> respond = [this, finish,
                                   delay = plan.answer](const Answer& answer) {
    if (delay) {
      simulation_.After(*delay, [finish, answer] { finish(answer); });
    }
  };
  if (plan.repeat) {
    simulation_.After(*plan.repeat, [deliver, delivery] {
      deliver(delivery, [](const Answer&) {});
    });
  }
  if (plan.request) {
    simulation_.After(*plan.request, [deliver = std::move(deliver), delivery,
                                      respond] { deliver(delivery, respond); });
  }
  simulation_.After(timeout, [finish] { finish(std::nullopt); });
}

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_NETWORK_H_
