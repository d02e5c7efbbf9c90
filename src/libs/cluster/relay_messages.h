#ifndef PAPAYADRIFT_CLUSTER_RELAY_MESSAGES_H_
#define PAPAYADRIFT_CLUSTER_RELAY_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/identifiers.h"

// Calls that one frontend relays to another, and their answers.

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

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_RELAY_MESSAGES_H_
