#include "outcomes/report_writer.h"

#include <algorithm>
#include <iterator>
#include <variant>

#include <nlohmann/json.hpp>

namespace papayadrift::outcomes {

namespace {

using nlohmann::json;

// Reports of an entry itself count from 1.
constexpr uint64_t kClosingSequence = 0;

int64_t InMilliseconds(WallInstant instant) {
  return instant.time_since_epoch().count();
}

json ToObject(const records::OutcomeCount& it) {
  return {{"customer", it.customer.text()},
          {"service", it.service.text()},
          {"outcome", it.outcome},
          {"ran", ToText(it.ran)},
          {"count", it.count}};
}

json ToObject(const records::PromiseMissed& it) {
  return {{"promise", it.promise},
          {"from", InMilliseconds(it.from)},
          {"until", InMilliseconds(it.until)}};
}

json ToObject(const Gap& it) {
  return {{"kind", ToText(it.kind)},
          {"entry", it.entry.text()},
          {"incarnation", it.incarnation.value()},
          {"from", InMilliseconds(it.from)},
          {"until", InMilliseconds(it.until)}};
}

template <typename Item>
json ToArray(const std::vector<Item>& items) {
  json list = json::array();
  for (const Item& it : items) {
    list.push_back(ToObject(it));
  }
  return list;
}

}  // namespace

ReportWriter::ReportWriter(WallInstant since,
                           WallInstant until,
                           WallInstant now,
                           milliseconds silence)
    : since_(since),
      until_(until),
      now_(now),
      silence_(silence),
      covered_from_(since),
      covered_until_(until) {}

void ReportWriter::Add(const records::Record& record) {
  if (const auto* report = std::get_if<records::OutcomesReported>(&record)) {
    Take(*report);
  } else if (const auto* it = std::get_if<records::PromiseMissed>(&record)) {
    Take(*it);
  }
}

OutcomeReport ReportWriter::Write() const {
  OutcomeReport report{since_,  until_, covered_from_, covered_until_, {},
                       missed_, {}};
  for (const auto& [key, count] : counts_) {
    const auto& [customer, service, outcome, ran] = key;
    report.counts.push_back({customer, service, outcome, ran, count});
  }
  for (const auto& [life, spans] : lives_) {
    FindGapsOf(life, spans, report.gaps);
  }
  for (const auto& [life, span] : closings_) {
    if (!lives_.contains(life)) {
      AddGap({GapKind::kEndedUnreported, life.first, life.second, span.from,
              span.until},
             report.gaps);
    }
  }
  FindRetentionGap(report.gaps);
  return report;
}

void ReportWriter::Take(const records::OutcomesReported& report) {
  const Span span{report.from, report.until, report.is_final};
  const Life life{report.entry, report.incarnation};
  if (report.sequence == kClosingSequence) {
    closings_.try_emplace(life, span);
    return;
  }
  Spans& spans = lives_[life];
  const bool is_new = spans.try_emplace(report.sequence, span).second;
  oldest_ = oldest_ ? std::min(*oldest_, report.from) : report.from;
  if (!is_new || !Overlaps(report.from, report.until)) {
    return;
  }
  covered_from_ = std::min(covered_from_, report.from);
  covered_until_ = std::max(covered_until_, report.until);
  for (const records::OutcomeCount& it : report.counts) {
    counts_[{it.customer, it.service, it.outcome, it.ran}] += it.count;
  }
}

void ReportWriter::Take(const records::PromiseMissed& missed) {
  const bool is_known = std::ranges::find(missed_, missed) != missed_.end();
  if (!is_known && Overlaps(missed.from, missed.until)) {
    missed_.push_back(missed);
  }
}

bool ReportWriter::Overlaps(WallInstant from, WallInstant until) const {
  return from < until_ && since_ < until;
}

void ReportWriter::AddGap(Gap gap, std::vector<Gap>& gaps) const {
  if (Overlaps(gap.from, gap.until)) {
    gap.from = std::max(gap.from, since_);
    gap.until = std::min(gap.until, until_);
    gaps.push_back(std::move(gap));
  }
}

void ReportWriter::FindGapsOf(const Life& life,
                              const Spans& spans,
                              std::vector<Gap>& gaps) const {
  const auto gap = [&](GapKind kind, WallInstant from, WallInstant until) {
    AddGap({kind, life.first, life.second, from, until}, gaps);
  };
  // Before the first report that is kept only retention excuses a missing one.
  if (spans.begin()->first > 1 && !is_truncated_) {
    gap(GapKind::kReportsMissing, since_, spans.begin()->second.from);
  }
  for (auto it = std::next(spans.begin()); it != spans.end(); ++it) {
    const auto before = std::prev(it);
    if (it->first != before->first + 1) {
      gap(GapKind::kReportsMissing, before->second.until, it->second.from);
    }
  }
  const Span& last = spans.rbegin()->second;
  const auto closing = closings_.find(life);
  const bool is_closed = closing != closings_.end();
  const bool is_silent = is_closed || last.until + silence_ < now_;
  if (!last.is_final && is_silent) {
    gap(GapKind::kEndedUnreported, last.until,
        is_closed ? closing->second.until : now_);
  }
}

void ReportWriter::FindRetentionGap(std::vector<Gap>& gaps) const {
  if (is_truncated_) {
    AddGap({GapKind::kBeyondRetention, EntryId(), Incarnation(), since_,
            oldest_.value_or(now_)},
           gaps);
  }
}

records::OutcomesReported ClosingReport(const EntryId& entry,
                                        Incarnation incarnation,
                                        WallInstant known_since,
                                        WallInstant gone_by) {
  return {entry, incarnation, kClosingSequence, known_since, gone_by, {}, true};
}

std::string ToJson(const OutcomeReport& report) {
  const json object = {{"since", InMilliseconds(report.since)},
                       {"until", InMilliseconds(report.until)},
                       {"covered_from", InMilliseconds(report.covered_from)},
                       {"covered_until", InMilliseconds(report.covered_until)},
                       {"counts", ToArray(report.counts)},
                       {"missed_promises", ToArray(report.missed_promises)},
                       {"gaps", ToArray(report.gaps)}};
  return object.dump();
}

}  // namespace papayadrift::outcomes
