#ifndef PAPAYADRIFT_ENTRY_PROPOSER_H_
#define PAPAYADRIFT_ENTRY_PROPOSER_H_

#include <functional>
#include <variant>

#include "base/identifiers.h"
#include "records/record.h"
#include "replay/verdict.h"

namespace papayadrift::entry {

struct ProposalAccepted {
  friend bool operator==(const ProposalAccepted&,
                         const ProposalAccepted&) = default;
};

struct ProposalRejected {
  replay::Rejection rejection = replay::Rejection::kExpired;

  friend bool operator==(const ProposalRejected&,
                         const ProposalRejected&) = default;
};

// Proven never to take effect.
struct ProposalExpired {
  friend bool operator==(const ProposalExpired&,
                         const ProposalExpired&) = default;
};

// The log dropped what would have told whether it took effect.
struct ProposalUnknown {
  friend bool operator==(const ProposalUnknown&,
                         const ProposalUnknown&) = default;
};

using ProposalOutcome = std::variant<ProposalAccepted,
                                     ProposalRejected,
                                     ProposalExpired,
                                     ProposalUnknown>;

using OnOutcome = std::function<void(const ProposalOutcome&)>;

// Brings records into the decision stream. The callback runs on the control
// thread, once, after the state shows the record's effect.
class Proposer {
 public:
  virtual ~Proposer() = default;

  virtual void Propose(records::Record record, OnOutcome on_outcome) = 0;
  // Whether the log took or showed something lately.
  virtual bool is_log_available() const = 0;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_PROPOSER_H_
