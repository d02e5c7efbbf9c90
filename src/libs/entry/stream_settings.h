#ifndef PAPAYADRIFT_ENTRY_STREAM_SETTINGS_H_
#define PAPAYADRIFT_ENTRY_STREAM_SETTINGS_H_

#include <cstdint>
#include <memory>

#include "base/clock.h"
#include "base/identifiers.h"
#include "entry/event_loop.h"
#include "log/log_port.h"
#include "proposals/proposal_queue.h"
#include "proposals/stream_driver.h"
#include "proposals/stream_reader.h"

namespace papayadrift::entry {

// How an entry follows one stream and appends to it.
struct StreamSettings {
  log::StreamId stream;
  EntryId author;
  Incarnation incarnation;
  proposals::QueueLimits queue;
  proposals::ReaderLimits reader;
  uint64_t seed = 0;

  friend bool operator==(const StreamSettings&,
                         const StreamSettings&) = default;
};

// Returns a driver that reads from offset 1 on, and runs on the runner's
// thread.
proposals::StreamDriver MakeStreamDriver(
    const StreamSettings& settings,
    log::LogPort& log,
    std::shared_ptr<TaskRunner> runner,
    const Clock& clock,
    proposals::StreamDriver::ApplyRecord apply);

// Submits a record; a record that can't be taken has expired at once.
void SubmitOrExpire(proposals::StreamDriver& driver,
                    records::Record record,
                    std::optional<Instant> give_up_at,
                    const proposals::StreamDriver::HandleOutcome& handle);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_STREAM_SETTINGS_H_
