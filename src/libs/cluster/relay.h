#ifndef PAPAYADRIFT_CLUSTER_RELAY_H_
#define PAPAYADRIFT_CLUSTER_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifiers.h"
#include "cluster/frontend_list.h"
#include "cluster/process_context.h"
#include "http/message.h"

// Calls that a frontend can't handle itself because the store refuses its
// requests are relayed to another frontend that the store still serves.

namespace papayadrift::cluster {

enum class RelayKind { kSubmit, kState, kCancel, kCount };

struct RelayCall {
  RelayKind kind = RelayKind::kState;
  std::string queue;
  JobId id;
  std::string job;           // Encoded; submissions only.
  int64_t remaining_ms = 0;  // Time for which the caller still waits.

  friend bool operator==(const RelayCall&, const RelayCall&) = default;
};

struct RelayAnswer {
  // Whether the other frontend could handle the call; if not, it has done
  // nothing.
  bool is_handled = false;
  // A SubmitResult, JobState, CancelResult or count, depending on the call.
  uint32_t value = 0;
  bool has_job = true;  // For queries about a job.

  friend bool operator==(const RelayAnswer&, const RelayAnswer&) = default;
};

std::string Encode(const RelayCall& call);
std::string Encode(const RelayAnswer& answer);
std::optional<RelayCall> DecodeRelayCall(std::string_view bytes);
std::optional<RelayAnswer> DecodeRelayAnswer(std::string_view bytes);

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
                const http::ClientResult& result);
  static void Finish(Attempt& attempt);

  const ProcessContext context_;
  const FrontendList& frontends_;
  const std::string own_address_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_RELAY_H_
