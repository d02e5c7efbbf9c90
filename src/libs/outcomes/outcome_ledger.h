#ifndef PAPAYADRIFT_OUTCOMES_OUTCOME_LEDGER_H_
#define PAPAYADRIFT_OUTCOMES_OUTCOME_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "base/identifiers.h"
#include "base/instant.h"
#include "outcomes/pending_outcome.h"
#include "records/record.h"
#include "routing/published.h"

namespace papayadrift::outcomes {

// Counts how requests end, by customer and service, and writes the counts of
// each interval for the outcomes stream. Takes no lock on a request's path but
// for the first request of a customer and service.
class OutcomeLedger {
 public:
  // The first interval starts at `start`. Beyond `maximum_rows` pairs of
  // customer and service, which only hostile names reach, they are counted
  // together.
  OutcomeLedger(EntryId entry,
                Incarnation incarnation,
                WallInstant start,
                size_t maximum_rows = 4096);

  // Begins a request that must end exactly once.
  PendingOutcome Begin(const CustomerId& customer, const ServiceId& service);

  // Returns what ended since the last report. `is_final` states that nothing
  // will follow. Each report must reach the stream, in any order.
  records::OutcomesReported TakeReport(WallInstant now, bool is_final);

  // Returns how often a request ended twice or never.
  uint64_t violations() const;

 private:
  using Key = std::pair<CustomerId, ServiceId>;
  using Cells = std::shared_ptr<OutcomeCells>;
  using Rows = std::map<Key, Cells>;

  Cells CellsOf(const Key& key);
  Cells AddRow(const Key& key);

  const EntryId entry_;
  const Incarnation incarnation_;
  const size_t maximum_rows_;
  std::mutex adding_;
  routing::Published<Rows> rows_;
  std::mutex reporting_;
  WallInstant reported_until_;
  uint64_t last_sequence_ = 0;
};

}  // namespace papayadrift::outcomes

#endif  // PAPAYADRIFT_OUTCOMES_OUTCOME_LEDGER_H_
