#include "entry/stream_settings.h"

#include <utility>

namespace papayadrift::entry {

proposals::StreamDriver MakeStreamDriver(
    const StreamSettings& settings,
    log::LogPort& log,
    std::shared_ptr<TaskRunner> runner,
    const Clock& clock,
    proposals::StreamDriver::ApplyRecord apply) {
  const Offset first(1);
  return {{log, clock, settings.stream,
           [runner = std::move(runner)](std::function<void()> task) {
             runner->Post(std::move(task));
           },
           std::move(apply)},
          proposals::ProposalQueue(settings.author, settings.incarnation, first,
                                   settings.queue, settings.seed),
          proposals::StreamReader(first, settings.reader, settings.seed + 1)};
}

void SubmitOrExpire(proposals::StreamDriver& driver,
                    records::Record record,
                    std::optional<Instant> give_up_at,
                    const proposals::StreamDriver::HandleOutcome& handle) {
  const std::optional<proposals::Ticket> ticket =
      driver.Submit(std::move(record), give_up_at, handle);
  if (!ticket) {
    handle(proposals::ProposalExpired());
  }
}

}  // namespace papayadrift::entry
