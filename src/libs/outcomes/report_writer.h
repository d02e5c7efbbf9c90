#ifndef PAPAYADRIFT_OUTCOMES_REPORT_WRITER_H_
#define PAPAYADRIFT_OUTCOMES_REPORT_WRITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "outcomes/outcome_report.h"

namespace papayadrift::outcomes {

// Folds the records of the outcomes stream, from the oldest kept to the end,
// into a report about an interval. Records may be repeated and out of order.
class ReportWriter {
 public:
  // An entry that has not reported for `silence` before `now` leaves a gap
  // until `now`, or until another entry states that it was gone.
  ReportWriter(WallInstant since,
               WallInstant until,
               WallInstant now,
               milliseconds silence);

  // The oldest record kept is not the first of the stream.
  void SetIsTruncated(bool is_truncated) { is_truncated_ = is_truncated; }

  void Add(const records::Record& record);

  OutcomeReport Write() const;

 private:
  using Life = std::pair<EntryId, Incarnation>;
  using CountKey = std::tuple<CustomerId, ServiceId, std::string, Ran>;
  struct Span {
    WallInstant from;
    WallInstant until;
    bool is_final = false;
  };
  using Spans = std::map<uint64_t, Span>;  // By sequence.

  void Take(const records::OutcomesReported& report);
  void Take(const records::PromiseMissed& missed);
  bool Overlaps(WallInstant from, WallInstant until) const;
  void AddGap(Gap gap, std::vector<Gap>& gaps) const;
  void FindGapsOf(const Life& life,
                  const Spans& spans,
                  std::vector<Gap>& gaps) const;
  void FindRetentionGap(std::vector<Gap>& gaps) const;

  const WallInstant since_;
  const WallInstant until_;
  const WallInstant now_;
  const milliseconds silence_;
  bool is_truncated_ = false;
  std::optional<WallInstant> oldest_;
  std::map<Life, Spans> lives_;
  std::map<Life, Span> closings_;
  std::map<CountKey, uint64_t> counts_;
  WallInstant covered_from_;
  WallInstant covered_until_;
  std::vector<records::PromiseMissed> missed_;
};

// Returns what an entry records for another one that ended without a final
// report, was first known at `known_since` and is surely gone by `gone_by`.
records::OutcomesReported ClosingReport(const EntryId& entry,
                                        Incarnation incarnation,
                                        WallInstant known_since,
                                        WallInstant gone_by);

// Returns the report in the form that `papayadrift-ctl outcomes` reads.
std::string ToJson(const OutcomeReport& report);

}  // namespace papayadrift::outcomes

#endif  // PAPAYADRIFT_OUTCOMES_REPORT_WRITER_H_
