#include "replay/snapshot_assembler.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "replay/snapshot_chunks.h"

namespace papayadrift::replay {
namespace {

std::vector<records::SnapshotChunk> Chunks(uint64_t snapshot,
                                           uint64_t state_offset,
                                           char letter) {
  return SplitSnapshot(snapshot, Offset(state_offset),
                       std::string(2 * kMaximumChunkBytes + 1, letter));
}

TEST(SnapshotAssemblerTest, PutsInterleavedAndRepeatedChunksTogether) {
  SnapshotAssembler assembler;
  const auto a = Chunks(1, 10, 'a');
  const auto b = Chunks(2, 20, 'b');
  ASSERT_EQ(a.size(), 3U);
  for (const size_t i : {2U, 0U, 0U, 1U}) {
    EXPECT_FALSE(assembler.newest());
    assembler.Add(Offset(30 + i), a[i]);
    assembler.Add(Offset(40 + i), b[i % 2]);
  }
  EXPECT_EQ(assembler.newest()->state_offset, Offset(10));
  assembler.Add(Offset(50), b[2]);
  EXPECT_EQ(assembler.newest()->state_offset, Offset(20));
  EXPECT_EQ(assembler.newest()->bytes,
            std::string(b[0].bytes + b[1].bytes + "b"));
}

TEST(SnapshotAssemblerTest, IgnoresTornMismatchedAndSuperseded) {
  SnapshotAssembler assembler;
  auto torn = Chunks(1, 10, 'a');
  torn[1].bytes[7] = 'x';
  for (const auto& chunk : torn) {
    assembler.Add(Offset(30), chunk);
  }
  EXPECT_EQ(assembler.last_reason(), SnapshotFault::kMismatched);
  EXPECT_FALSE(assembler.newest());

  auto other = Chunks(2, 20, 'b');
  assembler.Add(Offset(31), other[0]);
  other[1].checksum ^= 1;
  assembler.Add(Offset(32), other[1]);
  EXPECT_EQ(assembler.last_reason(), SnapshotFault::kMismatched);
  EXPECT_EQ(assembler.partial_count(), 0U);

  for (const auto& chunk : Chunks(3, 40, 'c')) {
    assembler.Add(Offset(41), chunk);
  }
  for (const auto& chunk : Chunks(4, 39, 'd')) {
    assembler.Add(Offset(42), chunk);
  }
  EXPECT_EQ(assembler.last_reason(), SnapshotFault::kSuperseded);
  EXPECT_EQ(assembler.newest()->snapshot, 3U);
}

}  // namespace
}  // namespace papayadrift::replay
