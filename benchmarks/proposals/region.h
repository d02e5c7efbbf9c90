#ifndef PAPAYADRIFT_BENCHMARKS_PROPOSALS_REGION_H_
#define PAPAYADRIFT_BENCHMARKS_PROPOSALS_REGION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/instant.h"
#include "proposals/proposal_queue.h"

namespace papayadrift::proposals {

// Simulates the queues of a region's entries on one stream, with a manual
// clock. The log answers an append, and returns it to all readers, after a
// fixed latency.
class Region {
 public:
  Region(uint32_t entries, const QueueLimits& limits, uint64_t seed);

  uint64_t appends() const { return next_offset_.value() - 1; }
  // Time from the submission to the outcome of each proposal.
  const std::vector<microseconds>& delays() const { return delays_; }
  size_t open_count() const { return submitted_at_.size(); }

  // Submits a claim of a task at a random entry.
  void SubmitAny();
  // Advances the clock by one millisecond.
  void Step();

 private:
  using Key = std::pair<uint32_t, Ticket>;
  struct Appended {
    Instant visible_at;
    uint32_t entry = 0;
    StartAppend append;
    Offset offset;
  };

  void Perform(uint32_t entry, const std::vector<QueueAction>& actions);
  void DeliverAppend(const Appended& appended);

  pcg32 random_;
  Instant now_{seconds(1'000)};
  Offset next_offset_{1};
  std::vector<ProposalQueue> queues_;
  std::deque<Appended> appended_;
  std::map<Key, Instant> submitted_at_;
  std::vector<microseconds> delays_;
};

}  // namespace papayadrift::proposals

#endif  // PAPAYADRIFT_BENCHMARKS_PROPOSALS_REGION_H_
