#include "cluster/relay_messages.h"

#include <tuple>

#include "records/packing.h"

namespace papayadrift::cluster {

// Found by argument-dependent lookup, so not in an unnamed namespace.
static auto Fields(RelayCall& value) {
  return std::tie(value.kind, value.queue, value.id, value.job,
                  value.remaining_ms);
}
static auto Fields(RelayAnswer& value) {
  return std::tie(value.is_handled, value.value, value.has_job);
}

std::string Encode(const RelayCall& call) {
  return records::PackToBytes(call);
}

std::string Encode(const RelayAnswer& answer) {
  return records::PackToBytes(answer);
}

std::optional<RelayCall> DecodeRelayCall(std::string_view bytes) {
  return records::UnpackFromBytes<RelayCall>(bytes);
}

std::optional<RelayAnswer> DecodeRelayAnswer(std::string_view bytes) {
  return records::UnpackFromBytes<RelayAnswer>(bytes);
}

}  // namespace papayadrift::cluster
