#ifndef PAPAYADRIFT_CLUSTER_FENCING_TOKEN_H_
#define PAPAYADRIFT_CLUSTER_FENCING_TOKEN_H_

#include <compare>
#include <cstdint>

namespace papayadrift::cluster {

// Orders the calls to the runner of a VM. Once a process has got a call, it
// does nothing for calls with a lower token, however late they arrive.
struct FencingToken {
  // Of the last leader that has answered a report of the agent; 0: none has,
  // and the runner isn't called yet.
  uint64_t term = 0;
  // Within the term. Each call that may be the first one to a later process of
  // the runner has a higher one than all calls to the processes before.
  uint64_t call_epoch = 0;

  // As sent to the runner. Below 2^53, up to which all JSON readers are exact,
  // for 2^21 terms.
  uint64_t value() const {
    constexpr int kCallEpochBits = 32;
    return (term << kCallEpochBits) + call_epoch;
  }

  friend auto operator<=>(const FencingToken&, const FencingToken&) = default;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_FENCING_TOKEN_H_
