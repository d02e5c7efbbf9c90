#ifndef PAPAYADRIFT_REPLAY_PROPOSAL_MEMORY_H_
#define PAPAYADRIFT_REPLAY_PROPOSAL_MEMORY_H_

#include <compare>
#include <map>
#include <tuple>

#include "base/identifiers.h"
#include "records/record.h"

namespace papayadrift::replay {

// Remembers which proposals were seen, accepted or not: the first place of a
// proposal in the stream decides about it for ever, and a copy of it has no
// effect. A proposal is forgotten once its last offset has passed, because a
// copy is then expired anyway.
class ProposalMemory {
 public:
  bool Contains(const records::Proposal& proposal) const;
  size_t size() const { return seen_.size(); }

  void Add(Offset offset, const records::Proposal& proposal);
  void ForgetBefore(Offset offset);

  friend bool operator==(const ProposalMemory&,
                         const ProposalMemory&) = default;

 private:
  struct Seen {
    Offset last_offset;
    records::ProposalId id;

    friend auto operator<=>(const Seen&, const Seen&) = default;
    friend auto Fields(Seen& seen) {
      return std::tie(seen.last_offset, seen.id);
    }
  };

  friend auto Fields(ProposalMemory& memory) { return std::tie(memory.seen_); }

  static Seen SeenOf(const records::Proposal& proposal);

  std::map<Seen, Offset> seen_;  // To the offset where it was seen first.
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_PROPOSAL_MEMORY_H_
