#include <algorithm>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "outcomes/outcome_ledger.h"
#include "outcomes/promise_watch.h"
#include "outcomes/report_writer.h"

namespace papayadrift::outcomes {
namespace {

const EntryId kEntry("entry-1");
const CustomerId kCustomer("barril");
const ServiceId kService("checks");
constexpr milliseconds kSilence(10'000);

WallInstant At(int64_t milliseconds_since_epoch) {
  return WallInstant(milliseconds(milliseconds_since_epoch));
}

records::OutcomesReported Report(uint64_t sequence,
                                 int64_t from,
                                 int64_t until,
                                 bool is_final = false) {
  return {kEntry,    Incarnation(1),
          sequence,  At(from),
          At(until), {{kCustomer, kService, "answered", Ran::kYes, 5}},
          is_final};
}

OutcomeReport Fold(const std::vector<records::Record>& all,
                   bool is_truncated = false) {
  ReportWriter writer(At(1000), At(5000), At(100'000), kSilence);
  writer.SetIsTruncated(is_truncated);
  for (const records::Record& it : all) {
    writer.Add(it);
  }
  return writer.Write();
}

TEST(OutcomeTest, EveryOutcomeHasItsOwnIndex) {
  for (size_t it = 0; it < OutcomeCount(); ++it) {
    EXPECT_EQ(IndexOf(OutcomeAt(it)), it);
  }
}

TEST(OutcomeLedgerTest, CountsOfThreadsAreAllReportedOnce) {
  OutcomeLedger ledger(kEntry, Incarnation(1), At(0));
  constexpr int kThreads = 4;
  constexpr int kRequests = 5000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int it = 0; it < kThreads; ++it) {
    threads.emplace_back([&] {
      for (int n = 0; n < kRequests; ++n) {
        ledger.Begin(kCustomer, kService).End({Answered(), Ran::kYes});
      }
    });
  }
  uint64_t reported = 0;
  const auto add = [&](bool is_final) {
    for (const auto& it : ledger.TakeReport(At(1), is_final).counts) {
      reported += it.count;
    }
  };
  add(false);
  for (std::thread& it : threads) {
    it.join();
  }
  add(true);
  EXPECT_EQ(reported, kThreads * kRequests);
  EXPECT_EQ(ledger.violations(), 0);
}

TEST(OutcomeLedgerTest, EndingTwiceOrNeverIsAViolation) {
  OutcomeLedger ledger(kEntry, Incarnation(1), At(0));
  PendingOutcome twice = ledger.Begin(kCustomer, kService);
  twice.End({Answered(), Ran::kYes});
  twice.End({Refused{RefusalReason::kOverloaded}, Ran::kNo});
  {
    const PendingOutcome never = ledger.Begin(kCustomer, kService);
  }
  EXPECT_EQ(ledger.violations(), 2);
  const auto counts = ledger.TakeReport(At(1), false).counts;
  ASSERT_EQ(counts.size(), 2);
  EXPECT_EQ(counts[0].outcome, "answered");
  EXPECT_EQ(counts[1].outcome, "entry_lost");
  EXPECT_EQ(counts[1].ran, Ran::kUnknown);
}

TEST(OutcomeLedgerTest, HostileNamesUseBoundedMemory) {
  constexpr int kRows = 64;
  constexpr int kNames = 100;
  OutcomeLedger ledger(kEntry, Incarnation(1), At(0), kRows);
  for (int it = 0; it < kNames; ++it) {
    ledger.Begin(kCustomer, ServiceId(std::to_string(it)))
        .End({Refused{RefusalReason::kServiceUnknown}, Ran::kNo});
  }
  const auto counts = ledger.TakeReport(At(1), false).counts;
  EXPECT_EQ(counts.size(), kRows + 1);
  EXPECT_EQ(counts.front().count, kNames - kRows);
}

TEST(ReportWriterTest, RepeatsAndDisorderChangeNothing) {
  const auto report = Fold({Report(2, 2000, 5000, true), Report(1, 1000, 2000),
                            Report(2, 2000, 5000, true)});
  ASSERT_EQ(report.counts.size(), 1);
  EXPECT_EQ(report.counts[0].count, 10);
  EXPECT_TRUE(report.gaps.empty());
}

// Whatever reports are lost, each lost interval inside the question is shown
// as a gap, and nothing else is.
RC_GTEST_PROP(ReportWriterTest, LostReportsAreGaps, ()) {
  std::vector<records::Record> kept;
  std::vector<bool> is_kept;
  for (uint64_t sequence = 1; sequence <= 6; ++sequence) {
    is_kept.push_back(*rc::gen::arbitrary<bool>());
    const auto from = static_cast<int64_t>(sequence) * 1000;
    if (is_kept.back()) {
      kept.push_back(Report(sequence, from, from + 1000, sequence == 6));
    }
  }
  RC_PRE(!kept.empty());
  const OutcomeReport report = Fold(kept);
  const auto has_gap_at = [&](int64_t from) {
    return std::ranges::any_of(report.gaps, [&](const Gap& gap) {
      return gap.from <= At(from) && At(from + 1000) <= gap.until;
    });
  };
  for (int64_t it = 0; it < 4; ++it) {
    const int64_t from = 1000 * (it + 1);
    RC_ASSERT(has_gap_at(from) == !is_kept[static_cast<size_t>(it)]);
  }
}

TEST(ReportWriterTest, EntryThatDiedLeavesAGapUntilItIsKnownToBeGone) {
  const auto open = Fold({Report(1, 1000, 2000)});
  ASSERT_EQ(open.gaps.size(), 1);
  EXPECT_EQ(open.gaps[0].kind, GapKind::kEndedUnreported);
  EXPECT_EQ(open.gaps[0].until, At(5000));
  const auto closed =
      Fold({Report(1, 1000, 2000),
            ClosingReport(kEntry, Incarnation(1), At(1000), At(3000))});
  ASSERT_EQ(closed.gaps.size(), 1);
  EXPECT_EQ(closed.gaps[0].from, At(2000));
  EXPECT_EQ(closed.gaps[0].until, At(3000));
}

TEST(ReportWriterTest, WhatRetentionRemovedIsAGap) {
  const auto report =
      Fold({Report(7, 3000, 4000), Report(8, 4000, 5000, true)}, true);
  ASSERT_EQ(report.gaps.size(), 1);
  EXPECT_EQ(report.gaps[0].kind, GapKind::kBeyondRetention);
  EXPECT_EQ(report.gaps[0].until, At(3000));
}

TEST(PromiseWatchTest, AMissIsDisclosedWhileItLasts) {
  PromiseWatch watch;
  watch.Observe("in_time", true, At(1));
  watch.Observe("in_time", false, At(2));
  EXPECT_EQ(watch.TakeMissed(At(5)),
            (std::vector<records::PromiseMissed>{{"in_time", At(2), At(5)}}));
  watch.Observe("in_time", true, At(7));
  EXPECT_EQ(watch.TakeMissed(At(9)),
            (std::vector<records::PromiseMissed>{{"in_time", At(5), At(7)}}));
  EXPECT_TRUE(watch.TakeMissed(At(10)).empty());
}

}  // namespace
}  // namespace papayadrift::outcomes
