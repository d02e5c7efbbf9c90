#include "outcomes/outcome_ledger.h"

#include <optional>

namespace papayadrift::outcomes {

namespace {

constexpr const char* kOther = "(other)";

}  // namespace

OutcomeLedger::OutcomeLedger(EntryId entry,
                             Incarnation incarnation,
                             WallInstant start,
                             size_t maximum_rows)
    : entry_(std::move(entry)),
      incarnation_(incarnation),
      maximum_rows_(maximum_rows),
      rows_(Rows()),
      reported_until_(start) {}

PendingOutcome OutcomeLedger::Begin(const CustomerId& customer,
                                    const ServiceId& service) {
  return PendingOutcome(CellsOf({customer, service}));
}

records::OutcomesReported OutcomeLedger::TakeReport(WallInstant now,
                                                    bool is_final) {
  const std::scoped_lock lock(reporting_);
  records::OutcomesReported report{entry_,
                                   incarnation_,
                                   ++last_sequence_,
                                   std::exchange(reported_until_, now),
                                   now,
                                   {},
                                   is_final};
  const Rows rows = rows_.Read([](const Rows& it) { return it; });
  for (const auto& [key, cells] : rows) {
    for (size_t index = 0; index < cells->counts.size(); ++index) {
      const uint64_t count = cells->counts[index].exchange(0);
      if (count == 0) {
        continue;
      }
      const Outcome outcome = OutcomeAt(index);
      report.counts.push_back(
          {key.first, key.second, ToText(outcome.ending), outcome.ran, count});
    }
  }
  return report;
}

uint64_t OutcomeLedger::violations() const {
  return rows_.Read([](const Rows& rows) {
    uint64_t sum = 0;
    for (const auto& [key, cells] : rows) {
      sum += cells->violations.load();
    }
    return sum;
  });
}

OutcomeLedger::Cells OutcomeLedger::CellsOf(const Key& key) {
  const auto known = rows_.Read([&](const Rows& rows) {
    const auto it = rows.find(key);
    return it == rows.end() ? Cells() : it->second;
  });
  return known != nullptr ? known : AddRow(key);
}

OutcomeLedger::Cells OutcomeLedger::AddRow(const Key& key) {
  const std::scoped_lock lock(adding_);
  Rows rows = rows_.Read([](const Rows& it) { return it; });
  const bool is_full = rows.size() >= maximum_rows_ && !rows.contains(key);
  const Key own = is_full ? Key(CustomerId(kOther), ServiceId(kOther)) : key;
  const auto [it, is_new] = rows.try_emplace(own);
  if (is_new) {
    it->second = std::make_shared<OutcomeCells>();
  }
  Cells cells = it->second;
  if (is_new) {
    rows_.Replace(std::move(rows));
  }
  return cells;
}

}  // namespace papayadrift::outcomes
