#include "proposals/stream_driver.h"

#include <algorithm>
#include <utility>

namespace papayadrift::proposals {

StreamDriver::StreamDriver(Environment environment,
                           ProposalQueue queue,
                           StreamReader reader)
    : environment_(std::move(environment)),
      queue_(std::move(queue)),
      reader_(std::move(reader)),
      alive_(std::make_shared<const bool>(true)) {}

std::optional<Instant> StreamDriver::wake_at() const {
  const std::optional<Instant> queue_at = queue_.wake_at();
  const std::optional<Instant> reader_at = reader_.wake_at();
  if (queue_at && reader_at) {
    return std::min(*queue_at, *reader_at);
  }
  return queue_at ? queue_at : reader_at;
}

std::optional<Ticket> StreamDriver::Submit(records::Record record,
                                           std::optional<Instant> give_up_at,
                                           HandleOutcome handle) {
  const std::optional<Ticket> ticket =
      queue_.Submit(environment_.clock.Now(), std::move(record), give_up_at);
  if (ticket) {
    handlers_.emplace(*ticket, std::move(handle));
  }
  return ticket;
}

void StreamDriver::Tick() {
  Perform(queue_.OnTime(environment_.clock.Now()));
  StartReadIfDue();
}

void StreamDriver::Restart(Offset from) {
  behind_retention_.reset();
  reader_.Restart(from);
  Perform(queue_.OnGap(from));
  Tick();
}

void StreamDriver::StartReadIfDue() {
  const std::optional<StartRead> read = reader_.Start(environment_.clock.Now());
  if (!read) {
    return;
  }
  environment_.log.Read(
      environment_.stream, read->from, read->limit, read->wait_milliseconds,
      OnOwnerThread<log::ReadResult>(
          [this](log::ReadResult result) { OnReadResult(std::move(result)); }));
}

void StreamDriver::OnReadResult(log::ReadResult result) {
  const ReadEvent event =
      reader_.OnResult(environment_.clock.Now(), std::move(result));
  last_read_fault_.reset();
  if (const auto* read = std::get_if<NextRecords>(&event)) {
    OnNextRecords(*read);
  } else if (const auto* behind = std::get_if<ReadBehindRetention>(&event)) {
    behind_retention_ = *behind;
  } else {
    last_read_fault_ = std::get<ReadFault>(event);
  }
  Tick();
}

void StreamDriver::OnNextRecords(const NextRecords& read) {
  queue_.OnTail(read.tail);
  for (const log::StoredRecord& record : read.records) {
    const std::vector<ReadProposal> proposals = environment_.apply(record);
    Perform(queue_.OnRead(environment_.clock.Now(), record.offset, proposals));
  }
}

void StreamDriver::Perform(const std::vector<QueueAction>& actions) {
  for (const QueueAction& action : actions) {
    std::visit([this](const auto& held) { Perform(held); }, action);
  }
}

void StreamDriver::Perform(const StartAppend& action) {
  environment_.log.Append(
      environment_.stream, action.bytes,
      OnOwnerThread<log::AppendResult>(
          [this, append = action.append](const log::AppendResult& result) {
            Perform(queue_.OnAppendResult(environment_.clock.Now(), append,
                                          result));
          }));
}

void StreamDriver::Perform(const ReportOutcome& action) {
  auto node = handlers_.extract(action.ticket);
  if (!node.empty()) {
    node.mapped()(action.outcome);
  }
}

template <typename Result>
std::function<void(Result)> StreamDriver::OnOwnerThread(
    std::function<void(Result)> handle) {
  return [execute = environment_.execute,
          alive = std::weak_ptr<const bool>(alive_),
          handle = std::move(handle)](Result result) {
    execute([alive, handle, result = std::move(result)] {
      if (!alive.expired()) {
        handle(result);
      }
    });
  };
}

}  // namespace papayadrift::proposals
