#include "proposals/stream_reader.h"

#include <gtest/gtest.h>

#include "proposals/recovery_search.h"
#include "proposals/snapshot_schedule.h"
#include "records/codec.h"
#include "replay/snapshot_chunks.h"

namespace papayadrift::proposals {
namespace {

constexpr Instant At(int64_t after_milliseconds) {
  return Instant(seconds(1'000) + milliseconds(after_milliseconds));
}

log::ReadRecords Read(const std::vector<uint64_t>& offsets, uint64_t next) {
  log::ReadRecords read = {
      .records = {}, .oldest = Offset(1), .next = Offset(next)};
  for (const uint64_t offset : offsets) {
    read.records.push_back({.offset = Offset(offset), .bytes = ""});
  }
  return read;
}

class StreamReaderTest : public testing::Test {
 protected:
  ReadEvent ReadAt(Instant began_at, log::ReadResult result) {
    EXPECT_TRUE(reader_.Start(began_at));
    EXPECT_FALSE(reader_.Start(began_at));
    return reader_.OnResult(began_at + milliseconds(5), std::move(result));
  }

  StreamReader reader_{Offset(1), {}, 42};
};

TEST_F(StreamReaderTest, TailReadCountsFromItsStart) {
  ReadAt(At(0), Read({1, 2}, 9));
  EXPECT_EQ(reader_.tail_read_began_at(), std::nullopt);
  ReadAt(At(10), Read({3, 4, 5, 6, 7, 8}, 9));
  EXPECT_EQ(reader_.tail_read_began_at(), At(10));
  ReadAt(At(20), log::ReadFailed());
  EXPECT_EQ(reader_.tail_read_began_at(), At(10));
}

TEST_F(StreamReaderTest, RejectsGapsAndDecreasingOffsets) {
  EXPECT_EQ(ReadAt(At(0), Read({1, 3}, 4)), ReadEvent(ReadFault::kGap));
  EXPECT_EQ(reader_.next_offset(), Offset(1));
  ReadAt(At(3'000), Read({1, 2}, 3));
  EXPECT_EQ(ReadAt(At(6'000), Read({}, 2)),
            ReadEvent(ReadFault::kOffsetDecreased));
  EXPECT_EQ(reader_.next_offset(), Offset(3));
}

TEST_F(StreamReaderTest, WaitsForRestartBehindRetention) {
  const auto event =
      ReadAt(At(0), log::ReadTooOld{.oldest = Offset(50), .next = Offset(90)});
  EXPECT_TRUE(std::holds_alternative<ReadBehindRetention>(event));
  EXPECT_FALSE(reader_.Start(At(5'000)));
  reader_.Restart(Offset(70));
  EXPECT_EQ(reader_.Start(At(5'001))->from, Offset(70));
}

TEST_F(StreamReaderTest, RestartDiscardsReadInFlight) {
  reader_.Start(At(0));
  reader_.Restart(Offset(70));
  const auto event = reader_.OnResult(At(5), Read({1, 2}, 3));
  EXPECT_EQ(event, ReadEvent(NextRecords{.records = {}, .tail = Offset(70)}));
  EXPECT_EQ(reader_.tail_read_began_at(), std::nullopt);
  EXPECT_EQ(reader_.Start(At(6))->from, Offset(70));
}

// Searches a stream that ends at kNext, with a snapshot in the record at `at`.
class RecoverySearchTest : public testing::Test {
 protected:
  RecoveryStep Search(uint64_t span, uint64_t oldest, uint64_t at) {
    RecoverySearch search(span);
    RecoveryStep step = search.Start();
    while (const auto* read = std::get_if<StartRead>(&step)) {
      step = search.OnResult(Answer(*read, oldest, at));
    }
    records_read_ = search.records_read();
    return step;
  }

  static log::ReadResult Answer(const StartRead& read,
                                uint64_t oldest,
                                uint64_t at) {
    if (read.from < Offset(oldest)) {
      return log::ReadTooOld{.oldest = Offset(oldest), .next = kNext};
    }
    log::ReadRecords answer = {
        .records = {}, .oldest = Offset(oldest), .next = kNext};
    for (Offset i = read.from; i < kNext && answer.records.size() < read.limit;
         i = i.Next()) {
      answer.records.push_back(
          {.offset = i, .bytes = i == Offset(at) ? Snapshot(at) : ""});
    }
    return answer;
  }

  static std::string Snapshot(uint64_t at) {
    const auto chunks = replay::SplitSnapshot(1, Offset(at - 10), "bytes");
    return records::Encode(
        {{.id = {}, .last_offset = kNext, .record = chunks[0]}});
  }

  static constexpr Offset kNext{10'000};
  uint64_t records_read_ = 0;
};

TEST_F(RecoverySearchTest, ReadsOnlyTheEndOfTheStream) {
  const auto found = std::get<RecoveryFound>(Search(500, 1, 9'800));
  EXPECT_EQ(found.from, Offset(9'790));
  EXPECT_EQ(found.snapshot->bytes, "bytes");
  EXPECT_EQ(records_read_, 500U);
}

TEST_F(RecoverySearchTest, WidensSearchAndReportsMissingSnapshot) {
  EXPECT_EQ(std::get<RecoveryFound>(Search(500, 1, 8'000)).from, Offset(7'990));
  EXPECT_EQ(std::get<RecoveryFound>(Search(500, 1, 20'000)).from, Offset(1));
  EXPECT_EQ(Search(500, 100, 20'000), RecoveryStep(RecoveryFault::kNoSnapshot));
  // The state offset of the snapshot was already dropped.
  EXPECT_EQ(Search(500, 7'995, 8'000),
            RecoveryStep(RecoveryFault::kNoSnapshot));
}

TEST(SnapshotScheduleTest, IsDueByTimeOrOffsetsStaggeredByRank) {
  const SnapshotLimits limits;
  SnapshotSchedule schedule(limits, At(0), Offset(100));
  const Instant due = At(0) + limits.period;
  EXPECT_FALSE(schedule.IsDue(due - milliseconds(1), Offset(101), 0));
  EXPECT_TRUE(schedule.IsDue(due, Offset(101), 0));
  EXPECT_FALSE(schedule.IsDue(due, Offset(101), 1));
  EXPECT_TRUE(schedule.IsDue(due + limits.stagger, Offset(101), 1));
  EXPECT_TRUE(schedule.IsDue(At(1), Offset(100 + limits.offsets), 0));
  schedule.OnSnapshot(due, Offset(101));
  EXPECT_FALSE(schedule.IsDue(due, Offset(102), 0));
}

}  // namespace
}  // namespace papayadrift::proposals
