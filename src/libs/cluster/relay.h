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

// Calls that a front can't answer itself, as the store turns it away, go to
// another front that the store still serves.

namespace papayadrift::cluster {

enum class RelayKind { kSubmit, kState, kCancel, kCount };

struct RelayCall {
  RelayKind kind = RelayKind::kState;
  std::string queue;
  JobId id;
  std::string job;           // Encoded; of a submission.
  int64_t remaining_ms = 0;  // Time that the caller still waits.

  friend bool operator==(const RelayCall&, const RelayCall&) = default;
};

struct RelayAnswer {
  // Whether the other front knows; if not, it has done nothing.
  bool is_known = false;
  // A SubmitResult, JobState, CancelResult or count, by the kind of call.
  uint32_t value = 0;
  bool has_job = true;  // Of a question about a job.

  friend bool operator==(const RelayAnswer&, const RelayAnswer&) = default;
};

std::string Encode(const RelayCall& call);
std::string Encode(const RelayAnswer& answer);
std::optional<RelayCall> DecodeRelayCall(std::string_view bytes);
std::optional<RelayAnswer> DecodeRelayAnswer(std::string_view bytes);

// Calls to other fronts.
class Relay {
 public:
  // What came of a call: an answer, nothing done, or not known.
  struct Outcome {
    std::optional<RelayAnswer> answer;
    bool may_be_done = false;
  };
  using Done = std::function<void(const Outcome&)>;

  Relay(const ProcessContext& context,
        const FrontendList& fronts,
        std::string own_address);

  bool has_peers() const { return !frontends_.has_no_peers(); }
  // Asks one front after the other until one knows: `preferred`, then others in
  // their order.
  void Send(const RelayCall& call,
            const std::string& preferred,
            Instant deadline,
            Done done);

 private:
  struct Attempt;

  void TryNext(const std::shared_ptr<Attempt>& attempt);

  const ProcessContext context_;
  const FrontendList& frontends_;
  const std::string own_address_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_RELAY_H_
