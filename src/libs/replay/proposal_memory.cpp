#include "replay/proposal_memory.h"

namespace papayadrift::replay {

bool ProposalMemory::Contains(const records::Proposal& proposal) const {
  return seen_.contains(SeenOf(proposal));
}

void ProposalMemory::Add(Offset offset, const records::Proposal& proposal) {
  seen_.emplace(SeenOf(proposal), offset);
}

void ProposalMemory::ForgetBefore(Offset offset) {
  while (!seen_.empty() && seen_.begin()->first.last_offset < offset) {
    seen_.erase(seen_.begin());
  }
}

ProposalMemory::Seen ProposalMemory::SeenOf(const records::Proposal& proposal) {
  return Seen{.last_offset = proposal.last_offset, .id = proposal.id};
}

}  // namespace papayadrift::replay
