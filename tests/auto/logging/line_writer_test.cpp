#include "logging/line_writer.h"

#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

#include "pipe.h"

namespace papayadrift::logging {
namespace {

constexpr seconds kPatience(20);
constexpr size_t kMaximumBytes = 100'000;
constexpr LineWriterSettings kSettings{kMaximumBytes, 50};
constexpr size_t kLineBytes = 100;  // With its end.

std::string LineOf(size_t n) {
  std::string line = std::to_string(n) + " ";
  line.resize(kLineBytes - 1, 'x');
  return line;
}

std::string GapLineOf(uint64_t dropped) {
  return LineOf(dropped);
}

// Offers `count` lines and returns how many were taken.
size_t OfferMany(LineWriter& writer, Precedence precedence, size_t count) {
  size_t taken = 0;
  for (size_t n = 0; n < count; ++n) {
    taken += writer.Offer(precedence, LineOf(n)) ? 1 : 0;
  }
  return taken;
}

TEST(LineWriterTest, LinesArriveWholeAndInOrder) {
  Pipe pipe;
  {
    LineWriter writer(pipe.write_end(), kSettings, &GapLineOf);
    EXPECT_EQ(OfferMany(writer, Precedence::kRoutine, 300), 300U);
    EXPECT_TRUE(writer.Finish(kPatience));
    EXPECT_EQ(writer.dropped_count(), 0U);
  }
  const std::vector<std::string> lines = pipe.TakeLines();
  ASSERT_EQ(lines.size(), 300U);
  for (size_t n = 0; n < lines.size(); ++n) {
    EXPECT_EQ(lines[n], LineOf(n));
  }
}

TEST(LineWriterTest, StoppedReaderHoldsUpNobodyAndImportantLinesGoLast) {
  Pipe pipe;
  pipe.Fill();
  LineWriter writer(pipe.write_end(), kSettings, &GapLineOf);
  constexpr size_t kOffers = 10'000;
  constexpr size_t kRoom = kMaximumBytes / kLineBytes;
  // These return although nobody reads.
  EXPECT_EQ(OfferMany(writer, Precedence::kRoutine, kOffers), kRoom / 2);
  // One place goes to the line that tells of the gap.
  EXPECT_EQ(OfferMany(writer, Precedence::kImportant, kOffers), kRoom / 2 - 1);
  EXPECT_EQ(writer.dropped_count(), 2 * kOffers - kRoom + 1);
  EXPECT_FALSE(writer.Finish(milliseconds(1)));
}

TEST(LineWriterTest, ReaderThatComesBackGetsAllThatWasTaken) {
  Pipe pipe;
  const size_t filled = pipe.Fill();
  LineWriter writer(pipe.write_end(), kSettings, &GapLineOf);
  const size_t taken = OfferMany(writer, Precedence::kImportant, 10'000);
  const std::vector<std::string> lines = pipe.ReadLines(filled + taken);
  EXPECT_TRUE(writer.Finish(kPatience));
  ASSERT_EQ(lines.size(), filled + taken);
  for (size_t n = 0; n < taken; ++n) {
    EXPECT_EQ(lines[filled + n], LineOf(n));
  }
  EXPECT_EQ(writer.dropped_count(), 10'000 - taken);
}

TEST(LineWriterTest, GapIsToldBeforeTheNextLine) {
  Pipe pipe;
  {
    LineWriter writer(pipe.write_end(), {kMaximumBytes, 0}, &GapLineOf);
    EXPECT_EQ(OfferMany(writer, Precedence::kRoutine, 7), 0U);
    EXPECT_EQ(OfferMany(writer, Precedence::kImportant, 2), 2U);
    EXPECT_TRUE(writer.Finish(kPatience));
  }
  EXPECT_EQ(pipe.TakeLines(),
            (std::vector<std::string>{GapLineOf(7), LineOf(0), LineOf(1)}));
}

TEST(LineWriterTest, LostGapLineIsNotCounted) {
  Pipe pipe;
  pipe.CloseReadEnd();
  LineWriter writer(pipe.write_end(), kSettings, &GapLineOf);
  EXPECT_TRUE(writer.Offer(Precedence::kRoutine, LineOf(0)));
  while (writer.dropped_count() == 0) {
    std::this_thread::yield();  // Until the line has met no reader.
  }
  EXPECT_TRUE(writer.Offer(Precedence::kRoutine, LineOf(1)));
  EXPECT_TRUE(writer.Finish(kPatience));
  EXPECT_EQ(writer.dropped_count(), 2U);
}

TEST(LineWriterTest, ReaderThatHasGoneEndsNothing) {
  Pipe pipe;
  pipe.CloseReadEnd();
  LineWriter writer(pipe.write_end(), kSettings, &GapLineOf);
  EXPECT_EQ(OfferMany(writer, Precedence::kRoutine, 10), 10U);
  EXPECT_TRUE(writer.Finish(kPatience));
  EXPECT_EQ(writer.dropped_count(), 10U);
  EXPECT_FALSE(writer.Offer(Precedence::kImportant, "late"));
}

}  // namespace
}  // namespace papayadrift::logging
