#ifndef PAPAYADRIFT_PROPOSALS_PROPOSAL_QUEUE_H_
#define PAPAYADRIFT_PROPOSALS_PROPOSAL_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "log/log_port.h"
#include "proposals/append_budget.h"
#include "proposals/back_off.h"
#include "records/record.h"
#include "replay/configuration_state.h"
#include "replay/verdict.h"

namespace papayadrift::proposals {

// Identifies a proposal within one process.
using Ticket = Number<struct TicketTag>;
// Identifies an append within one process.
using AppendId = Number<struct AppendTag>;

using StreamVerdict =
    std::variant<replay::Verdict, replay::ConfigurationVerdict>;

// The proposal was read from the stream at this position, with this verdict.
struct ProposalDecided {
  Offset offset;
  uint32_t index_in_batch = 0;
  StreamVerdict verdict;

  friend bool operator==(const ProposalDecided&,
                         const ProposalDecided&) = default;
};

// The proposal has not taken effect and never will.
struct ProposalExpired {
  friend bool operator==(const ProposalExpired&,
                         const ProposalExpired&) = default;
};

// The log dropped the records that determine the outcome before they were read.
struct ProposalUnknown {
  friend bool operator==(const ProposalUnknown&,
                         const ProposalUnknown&) = default;
};

using ProposalOutcome =
    std::variant<ProposalDecided, ProposalExpired, ProposalUnknown>;

// Requests an append of the bytes; its result must be passed to
// OnAppendResult().
struct StartAppend {
  AppendId append;
  std::string bytes;

  friend bool operator==(const StartAppend&, const StartAppend&) = default;
};

// Reports an outcome, exactly once for each ticket.
struct ReportOutcome {
  Ticket ticket;
  ProposalOutcome outcome;

  friend bool operator==(const ReportOutcome&, const ReportOutcome&) = default;
};

using QueueAction = std::variant<StartAppend, ReportOutcome>;

// A proposal read from the stream, by any author.
struct ReadProposal {
  records::ProposalId id;
  StreamVerdict verdict;

  friend bool operator==(const ReadProposal&, const ReadProposal&) = default;
};

struct QueueLimits {
  // Maximum time that a proposal waits for others to share its append.
  microseconds group_delay = milliseconds(10);
  size_t maximum_proposals_per_append = 1'024;
  size_t maximum_bytes_per_append = size_t{256} * 1'024;
  size_t maximum_pending = 20'000;
  // Append budget of one process on this stream.
  microseconds append_interval = milliseconds(20);
  uint32_t append_burst = 4;
};

enum class SubmitFault : uint8_t {
  kQueueFull,
  kTooLarge,
};

// Appends the proposals of one process to one stream and determines their
// outcomes. Proposals are grouped into appends, with one in flight, within an
// append budget.
//
// A proposal may take effect up to its last offset only. Its outcome comes from
// reading the stream: either it is read, or everything up to its last offset
// was read without it. On an idle stream the queue appends records without
// effect until then. The answer to an append alone decides nothing. Not
// thread-safe.
class ProposalQueue {
 public:
  // `seed` is for the jitter of retries.
  ProposalQueue(EntryId author,
                Incarnation incarnation,
                Offset next_offset,
                const QueueLimits& limits,
                uint64_t seed);

  // Whether appends succeed, according to the latest results.
  bool is_log_available() const { return back_off_.is_available(); }
  std::optional<Instant> unavailable_since() const {
    return back_off_.unavailable_since();
  }
  // Proposals not passed to the log yet.
  size_t pending_count() const { return pending_.size(); }
  // Proposals passed to the log whose outcome is not known yet.
  size_t unresolved_count() const { return sent_.size(); }
  // When OnTime() has work to do next, if nothing else happens.
  std::optional<Instant> wake_at() const;
  // Why the last Submit() returned nothing.
  std::optional<SubmitFault> last_reason() const { return last_reason_; }

  // Queues a record. It expires if it was not passed to the log by
  // `give_up_at`. Returns nothing if the queue is full or the record too large.
  std::optional<Ticket> Submit(Instant now,
                               records::Record record,
                               std::optional<Instant> give_up_at);
  std::vector<QueueAction> OnTime(Instant now);
  std::vector<QueueAction> OnAppendResult(Instant now,
                                          AppendId append,
                                          const log::AppendResult& result);
  // Handles all proposals of the record at `offset`. Records must be passed in
  // log order and without a gap.
  std::vector<QueueAction> OnRead(Instant now,
                                  Offset offset,
                                  std::span<const ReadProposal> proposals);
  // Continues reading at `next_offset`, because earlier records were dropped.
  std::vector<QueueAction> OnGap(Offset next_offset);
  // Raises the lowest offset that the next append can get to `next`.
  void OnTail(Offset next);
  void SetAppendInterval(microseconds interval) {
    budget_.SetInterval(interval);
  }

 private:
  struct Pending {
    Ticket ticket;
    records::Record record;
    size_t bytes = 0;
    Instant submitted_at;
    std::optional<Instant> give_up_at;
  };
  // A proposal passed to the log.
  struct Sent {
    Offset last_offset;
    // The append got no answer, so the offset to read up to is unknown.
    bool is_unanswered = false;
    // Kept until the log answers, because a refused append is retried.
    std::optional<Pending> retry;
  };

  using SentMap = std::map<Ticket, Sent>;

  void Resolve(SentMap::iterator it,
               const ProposalOutcome& outcome,
               std::vector<QueueAction>& actions);
  void ExpirePending(Instant now, std::vector<QueueAction>& actions);
  void AddPending(Pending pending);
  void UpdateNextGiveUp(const Pending& pending);
  // When the pending group is due to be appended, if there is one.
  std::optional<Instant> GroupDueAt() const;
  // When a record without effect is due to be appended, if one is needed.
  std::optional<Instant> NoOperationDueAt() const;
  std::vector<Pending> TakeGroup();
  StartAppend AppendGroup(Instant now);
  StartAppend AppendNoOperation(Instant now);
  StartAppend Start(Instant now, const records::Batch& batch);
  void OnStored(Offset offset);
  void OnRefused();
  void OnUnanswered();
  void MeasureRate(Instant now);
  Offset LastOffset() const;

  const EntryId author_;
  const Incarnation incarnation_;
  const QueueLimits limits_;
  AppendBudget budget_;
  BackOff back_off_;
  Offset next_offset_;
  uint64_t last_ticket_ = 0;
  AppendId last_append_;
  bool is_in_flight_ = false;
  std::vector<Ticket> in_flight_;
  std::deque<Pending> pending_;
  size_t pending_bytes_ = 0;
  // Lower bound of the give-up times of the pending proposals.
  std::optional<Instant> next_give_up_at_;
  SentMap sent_;
  // Sent proposals whose append got no answer.
  size_t unanswered_count_ = 0;
  Instant last_progress_at_;
  // The lowest offset that the next append can get, as far as known.
  Offset tail_;
  // Measure the offsets read in the current and in the last whole period.
  Instant rate_period_ends_at_;
  Offset rate_period_start_;
  uint64_t offsets_of_last_period_ = 0;
  std::optional<SubmitFault> last_reason_;
};

}  // namespace papayadrift::proposals

#endif  // PAPAYADRIFT_PROPOSALS_PROPOSAL_QUEUE_H_
