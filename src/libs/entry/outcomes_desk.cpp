#include "entry/outcomes_desk.h"

#include <utility>
#include <variant>

#include "entry/json_response_p.h"
#include "entry/refusal_response.h"
#include "outcomes/report_writer.h"
#include "records/codec.h"

namespace papayadrift::entry {

namespace {

constexpr int kOk = 200;
constexpr seconds kRetryDelay(1);
constexpr uint32_t kRecordsPerRead = 500;
// Reports that wait for a log that is down; older ones become a gap.
constexpr size_t kMaximumUnwritten = 4096;
// An entry that is silent for this many intervals leaves a gap.
constexpr int kSilentIntervals = 3;

}  // namespace

// One pass through the stream for a report.
class OutcomesDesk::Reading {
 public:
  Reading(outcomes::ReportWriter writer,
          std::function<void(http::Response)> respond)
      : writer_(std::move(writer)), respond_(std::move(respond)) {}

  Offset next() const { return next_; }

  void SkipTo(Offset oldest) {
    next_ = oldest;
    writer_.SetIsTruncated(true);
  }

  void Add(const log::StoredRecord& record) {
    next_ = record.offset.Next();
    for (const records::Proposal& proposal :
         records::Decode(record.bytes).value_or(records::Batch())) {
      writer_.Add(proposal.record);
    }
  }

  void Finish() const {
    respond_(JsonTextResponse(kOk, outcomes::ToJson(writer_.Write())));
  }

  void Fail(WallInstant now) const {
    respond_(ResponseTo(NotRun(RefusalReason::kLogUnavailable,
                               "The outcomes can't be read at the moment."),
                        now));
  }

 private:
  outcomes::ReportWriter writer_;
  const std::function<void(http::Response)> respond_;
  Offset next_{1};
};

OutcomesDesk::OutcomesDesk(const OutcomesDeskSettings& settings,
                           log::LogPort& log,
                           std::shared_ptr<TaskRunner> runner,
                           const Clock& clock,
                           outcomes::OutcomeLedger& ledger)
    : settings_(settings),
      log_(log),
      runner_(std::move(runner)),
      clock_(clock),
      ledger_(ledger),
      append_at_(clock.Now()),
      report_at_(clock.Now()) {}

void OutcomesDesk::OnTime() {
  if (clock_.Now() >= report_at_) {
    report_at_ = clock_.Now() + settings_.report_interval;
    TakeReport(false);
  }
  AppendNext();
}

void OutcomesDesk::Observe(const std::string& promise, bool is_kept) {
  promises_.Observe(promise, is_kept, clock_.WallNow());
}

void OutcomesDesk::Finish(std::function<void()> on_written) {
  on_written_ = std::move(on_written);
  TakeReport(true);
  AppendNext();
}

void OutcomesDesk::Report(WallInstant since,
                          WallInstant until,
                          std::function<void(http::Response)> respond) {
  const outcomes::ReportWriter writer(
      since, until, clock_.WallNow(),
      settings_.report_interval * kSilentIntervals);
  ReadOn(std::make_shared<Reading>(writer, std::move(respond)));
}

void OutcomesDesk::CloseRecordOf(const EntryId& entry,
                                 Incarnation incarnation) {
  const WallInstant now = clock_.WallNow();
  Add({outcomes::ClosingReport(entry, incarnation, now, now)});
}

void OutcomesDesk::TakeReport(bool is_final) {
  if (unwritten_.size() >= kMaximumUnwritten) {
    return;  // What has ended stays in the ledger for the next report.
  }
  std::vector<records::Record> records = {
      ledger_.TakeReport(clock_.WallNow(), is_final)};
  for (records::PromiseMissed& missed :
       promises_.TakeMissed(clock_.WallNow())) {
    records.emplace_back(std::move(missed));
  }
  Add(std::move(records));
}

void OutcomesDesk::Add(std::vector<records::Record> records) {
  records::Batch batch;
  for (records::Record& record : records) {
    const records::ProposalId id{settings_.entry, settings_.incarnation,
                                 ++last_sequence_};
    batch.push_back({id, Offset(UINT64_MAX), std::move(record)});
  }
  unwritten_.push_back(records::Encode(batch));
}

void OutcomesDesk::AppendNext() {
  if (unwritten_.empty() || is_appending_ || clock_.Now() < append_at_) {
    return;
  }
  is_appending_ = true;
  log_.Append(settings_.stream, unwritten_.front(),
              [this, runner = runner_](const log::AppendResult& result) {
                runner->Post([this, result] { OnAppended(result); });
              });
}

void OutcomesDesk::OnAppended(const log::AppendResult& result) {
  is_appending_ = false;
  if (!std::holds_alternative<log::Appended>(result)) {
    // Repeats are recognized by their sequence, so it is safe to try again.
    append_at_ = clock_.Now() + kRetryDelay;
    return;
  }
  has_begun_ = true;
  unwritten_.pop_front();
  if (unwritten_.empty() && on_written_) {
    std::exchange(on_written_, nullptr)();
  }
  AppendNext();
}

void OutcomesDesk::ReadOn(std::shared_ptr<Reading> reading) {
  const Offset from = reading->next();
  log_.Read(settings_.stream, from, kRecordsPerRead, 0,
            [this, reading = std::move(reading),
             runner = runner_](log::ReadResult result) {
              runner->Post([this, reading, result = std::move(result)] {
                OnRead(reading, result);
              });
            });
}

void OutcomesDesk::OnRead(const std::shared_ptr<Reading>& reading,
                          const log::ReadResult& result) {
  if (std::holds_alternative<log::ReadFailed>(result)) {
    reading->Fail(clock_.WallNow());
    return;
  }
  if (const auto* too_old = std::get_if<log::ReadTooOld>(&result)) {
    reading->SkipTo(too_old->oldest);
    ReadOn(reading);
    return;
  }
  const auto& read = std::get<log::ReadRecords>(result);
  for (const log::StoredRecord& record : read.records) {
    reading->Add(record);
  }
  if (read.records.empty() || reading->next() >= read.next) {
    reading->Finish();
    return;
  }
  ReadOn(reading);
}

}  // namespace papayadrift::entry
