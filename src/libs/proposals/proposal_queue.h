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

// Names a proposal within one process.
using Ticket = Number<struct TicketTag>;
// Names an append within one process.
using AppendId = Number<struct AppendTag>;

using StreamVerdict =
    std::variant<replay::Verdict, replay::ConfigurationVerdict>;

// The proposal was read at its place, and this became of it.
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

// The log dropped records that would have told before they were read.
struct ProposalUnknown {
  friend bool operator==(const ProposalUnknown&,
                         const ProposalUnknown&) = default;
};

using ProposalOutcome =
    std::variant<ProposalDecided, ProposalExpired, ProposalUnknown>;

// Append the bytes, and pass the result to OnAppendResult().
struct StartAppend {
  AppendId append;
  std::string bytes;

  friend bool operator==(const StartAppend&, const StartAppend&) = default;
};

// Comes exactly once for each ticket.
struct ReportOutcome {
  Ticket ticket;
  ProposalOutcome outcome;

  friend bool operator==(const ReportOutcome&, const ReportOutcome&) = default;
};

using QueueAction = std::variant<StartAppend, ReportOutcome>;

// A proposal that was read in the stream, of whatever author.
struct ReadProposal {
  records::ProposalId id;
  StreamVerdict verdict;

  friend bool operator==(const ReadProposal&, const ReadProposal&) = default;
};

struct QueueLimits {
  // A proposal waits at most this long for others to share its append.
  microseconds group_delay = milliseconds(10);
  size_t maximum_proposals_per_append = 1'024;
  size_t maximum_bytes_per_append = size_t{256} * 1'024;
  size_t maximum_pending = 20'000;
  // Of one process on this stream.
  microseconds append_interval = milliseconds(20);
  uint32_t append_burst = 4;
};

enum class SubmitFault : uint8_t {
  kQueueFull,
  kTooLarge,
};

// Puts the proposals of one process into one stream: groups them into appends,
// one in flight, within a budget, and finds out what became of each.
//
// A proposal may take effect up to its last offset only. Its outcome comes
// from reading the stream: either it is read, or everything up to its last
// offset was read without it. On an idle stream the queue appends records
// without effect until then. The answer to an append decides nothing by
// itself. Not safe to share between threads.
class ProposalQueue {
 public:
  // `seed` is for the jitter of retries.
  ProposalQueue(EntryId author,
                Incarnation incarnation,
                Offset next_offset,
                const QueueLimits& limits,
                uint64_t seed);

  // Whether appends succeed, as far as was seen.
  bool is_log_available() const { return back_off_.is_available(); }
  std::optional<Instant> unavailable_since() const {
    return back_off_.unavailable_since();
  }
  // Proposals that were not handed to the log yet.
  size_t pending_count() const { return pending_.size(); }
  // Proposals that were, and whose outcome is not known yet.
  size_t unresolved_count() const { return sent_.size(); }
  // When OnTime() has something to do next, if nothing else happens.
  std::optional<Instant> wake_at() const;
  // Why the last Submit() returned nothing.
  std::optional<SubmitFault> last_reason() const { return last_reason_; }

  // Takes a record. If it was not handed to the log by `give_up_at`, it
  // expires. Returns nothing if the queue is full or the record too large.
  std::optional<Ticket> Submit(Instant now,
                               records::Record record,
                               std::optional<Instant> give_up_at);
  std::vector<QueueAction> OnTime(Instant now);
  std::vector<QueueAction> OnAppendResult(Instant now,
                                          AppendId append,
                                          const log::AppendResult& result);
  // Takes the whole record at `offset`, in log order and without a gap.
  std::vector<QueueAction> OnRead(Instant now,
                                  Offset offset,
                                  std::span<const ReadProposal> proposals);
  // Reading goes on from `next_offset`, as records before were dropped.
  std::vector<QueueAction> OnGap(Offset next_offset);
  // The next append gets at least the offset `next`.
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
  // Handed to the log.
  struct Sent {
    Offset last_offset;
    // The append got no answer: nothing tells where to read up to.
    bool is_unanswered = false;
    // Kept until the log answers, because a refused append is tried again.
    std::optional<Pending> retry;
  };

  using SentMap = std::map<Ticket, Sent>;

  void Resolve(SentMap::iterator it,
               const ProposalOutcome& outcome,
               std::vector<QueueAction>& actions);
  void ExpirePending(Instant now, std::vector<QueueAction>& actions);
  void AddPending(Pending pending);
  void UpdateNextGiveUp(const Pending& pending);
  // When the group that waits is to be appended, if one waits.
  std::optional<Instant> GroupDueAt() const;
  // When a record without effect is to be appended, if one is needed.
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
  // No pending proposal gives up before this.
  std::optional<Instant> next_give_up_at_;
  SentMap sent_;
  // Sent proposals whose append got no answer.
  size_t unanswered_count_ = 0;
  Instant last_progress_at_;
  // The lowest offset that the next append can get, as far as is known.
  Offset tail_;
  // The offsets read in the present and the last whole period.
  Instant rate_period_ends_at_;
  Offset rate_period_start_;
  uint64_t offsets_of_last_period_ = 0;
  std::optional<SubmitFault> last_reason_;
};

}  // namespace papayadrift::proposals

#endif  // PAPAYADRIFT_PROPOSALS_PROPOSAL_QUEUE_H_
