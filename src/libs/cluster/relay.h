#ifndef PAPAYADRIFT_CLUSTER_RELAY_H_
#define PAPAYADRIFT_CLUSTER_RELAY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/frontend_list.h"
#include "cluster/process_context.h"
#include "cluster/relay_messages.h"

// Calls that a frontend can't handle itself because the store refuses its
// requests are relayed to another frontend that the store still serves.

namespace papayadrift::cluster {

// Sends calls to other frontends.
class Relay {
 public:
  // Result of a call: an answer, nothing done, or unknown.
  struct Outcome {
    std::optional<RelayAnswer> answer;
    bool may_be_done = false;
  };
  using Done = std::function<void(const Outcome&)>;

  Relay(const ProcessContext& context,
        const FrontendList& frontends,
        std::string own_address);

  bool has_peers() const { return !frontends_.has_no_peers(); }
  // Tries one frontend after the other until one can handle the call:
  // `preferred` first, then the others by rank. A query is also sent on while
  // the answers of the earlier ones are late.
  void Send(const RelayCall& call,
            const std::string& preferred,
            Instant deadline,
            Done done);

 private:
  struct Attempt;

  void TryNext(const std::shared_ptr<Attempt>& attempt);
  // Lets the next frontend be asked beside those that have not answered yet.
  void Pace(const std::shared_ptr<Attempt>& attempt);
  void OnResult(const std::shared_ptr<Attempt>& attempt,
                const RelayResult& result);
  static void Finish(Attempt& attempt);

  const ProcessContext context_;
  const FrontendList& frontends_;
  const std::string own_address_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_RELAY_H_
