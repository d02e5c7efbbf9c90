#ifndef PAPAYADRIFT_ENTRY_OUTCOMES_DESK_H_
#define PAPAYADRIFT_ENTRY_OUTCOMES_DESK_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/event_loop.h"
#include "http/message.h"
#include "log/log_port.h"
#include "outcomes/outcome_ledger.h"
#include "outcomes/promise_watch.h"

namespace papayadrift::entry {

struct OutcomesDeskSettings {
  log::StreamId stream;
  EntryId entry;
  Incarnation incarnation;
  milliseconds report_interval{0};

  friend bool operator==(const OutcomesDeskSettings&,
                         const OutcomesDeskSettings&) = default;
};

// Writes how requests ended into the outcomes stream, at least once each, and
// reads reports back from it. On the control thread only.
class OutcomesDesk {
 public:
  OutcomesDesk(const OutcomesDeskSettings& settings,
               log::LogPort& log,
               std::shared_ptr<TaskRunner> runner,
               const Clock& clock,
               outcomes::OutcomeLedger& ledger);

  void OnTime();
  // Notes whether a stated promise is kept at the moment.
  void Observe(const std::string& promise, bool is_kept);
  // Writes the last report; `on_written` runs once all have reached the log.
  void Finish(std::function<void()> on_written);

  // Responds with what the stream says of the interval.
  void Report(WallInstant since,
              WallInstant until,
              std::function<void(http::Response)> respond);

  // Records that an entry is gone for good, without a report of its own.
  void CloseRecordOf(const EntryId& entry, Incarnation incarnation);

  // Whether the log holds a report of this entry, so that its silence would
  // show as a gap.
  bool has_begun() const { return has_begun_; }
  size_t unwritten_count() const { return unwritten_.size(); }

 private:
  class Reading;

  void TakeReport(bool is_final);
  void Add(std::vector<records::Record> records);
  void AppendNext();
  void OnAppended(const log::AppendResult& result);
  void ReadOn(std::shared_ptr<Reading> reading);
  void OnRead(const std::shared_ptr<Reading>& reading,
              const log::ReadResult& result);

  const OutcomesDeskSettings settings_;
  log::LogPort& log_;
  const std::shared_ptr<TaskRunner> runner_;
  const Clock& clock_;
  outcomes::OutcomeLedger& ledger_;
  outcomes::PromiseWatch promises_;
  std::deque<std::string> unwritten_;
  bool is_appending_ = false;
  bool has_begun_ = false;
  Instant append_at_;
  Instant report_at_;
  uint64_t last_sequence_ = 0;
  std::function<void()> on_written_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_OUTCOMES_DESK_H_
