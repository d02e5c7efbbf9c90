#ifndef PAPAYADRIFT_PROPOSALS_STREAM_DRIVER_H_
#define PAPAYADRIFT_PROPOSALS_STREAM_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "log/log_port.h"
#include "proposals/proposal_queue.h"
#include "proposals/stream_reader.h"

namespace papayadrift::proposals {

// Connects the queue and the reader of one stream to the log. All methods and
// handlers run on the owner's thread; `execute` runs the log's callbacks there.
class StreamDriver {
 public:
  using Execute = std::function<void(std::function<void()>)>;
  // Applies a record to the owner's state and returns its proposals with their
  // verdicts.
  using ApplyRecord =
      std::function<std::vector<ReadProposal>(const log::StoredRecord&)>;
  using HandleOutcome = std::function<void(const ProposalOutcome&)>;

  struct Environment {
    log::LogPort& log;
    const Clock& clock;
    log::StreamId stream;
    Execute execute;
    ApplyRecord apply;
  };

  StreamDriver(Environment environment,
               ProposalQueue queue,
               StreamReader reader);

  const ProposalQueue& queue() const { return queue_; }
  const StreamReader& reader() const { return reader_; }
  // Set while reading is suspended until a snapshot is restored; Restart()
  // clears it.
  const std::optional<ReadBehindRetention>& behind_retention() const {
    return behind_retention_;
  }
  // The fault of the last read, until a read succeeds.
  std::optional<ReadFault> last_read_fault() const { return last_read_fault_; }
  // When Tick() has work to do next, if nothing else happens.
  std::optional<Instant> wake_at() const;

  // Queues a record; see ProposalQueue::Submit(). `handle` is called once.
  std::optional<Ticket> Submit(records::Record record,
                               std::optional<Instant> give_up_at,
                               HandleOutcome handle);
  // Performs the appends and reads that are due. Call it at wake_at() and after
  // Submit().
  void Tick();
  // Continues at `from`, after the state as of that offset was restored.
  void Restart(Offset from);
  void SetAppendInterval(microseconds interval) {
    queue_.SetAppendInterval(interval);
  }

 private:
  void StartReadIfDue();
  void OnReadResult(log::ReadResult result);
  void OnNextRecords(const NextRecords& read);
  void Perform(const std::vector<QueueAction>& actions);
  void Perform(const StartAppend& action);
  void Perform(const ReportOutcome& action);
  // Wraps a handler so that it runs on the owner's thread, and only while this
  // object lives.
  template <typename Result>
  std::function<void(Result)> OnOwnerThread(std::function<void(Result)> handle);

  const Environment environment_;
  ProposalQueue queue_;
  StreamReader reader_;
  std::map<Ticket, HandleOutcome> handlers_;
  std::optional<ReadBehindRetention> behind_retention_;
  std::optional<ReadFault> last_read_fault_;
  const std::shared_ptr<const bool> alive_;
};

}  // namespace papayadrift::proposals

#endif  // PAPAYADRIFT_PROPOSALS_STREAM_DRIVER_H_
