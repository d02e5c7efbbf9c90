#include "standins/log/log_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "log/wire.h"

namespace papayadrift::standins {
namespace {

const log::StreamId kStream("s");

RC_GTEST_PROP(LogStoreTest, OffsetsHaveNoGaps, (uint8_t retained, uint8_t n)) {
  const uint64_t kept = std::max<uint64_t>(1, retained);
  LogStore store(kept);
  for (uint64_t i = 1; i <= n; ++i) {
    RC_ASSERT(store.Append(kStream, std::to_string(i)) == Offset(i));
  }
  const uint64_t oldest = n > kept ? n - kept + 1 : 1;
  if (oldest > 1) {
    RC_ASSERT(store.Read(kStream, Offset(oldest - 1), 9) ==
              log::ReadResult(
                  log::ReadTooOld{Offset(oldest), Offset(n + uint64_t{1})}));
  }
  const auto read =
      std::get<log::ReadRecords>(store.Read(kStream, Offset(oldest), 1000));
  RC_ASSERT(read.records.size() == n + 1 - oldest);
  for (uint64_t i = 0; i < read.records.size(); ++i) {
    RC_ASSERT(read.records[i].offset == Offset(oldest + i));
    RC_ASSERT(read.records[i].bytes == std::to_string(oldest + i));
  }
  RC_ASSERT(log::DecodeRead(log::EncodeRead(read)) == read);
}

RC_GTEST_PROP(LogWireTest, TornAnswersAreNoAnswers, (std::string text)) {
  const std::string bytes =
      log::EncodeRead({{{Offset(1), text}}, Offset(1), Offset(2)});
  const auto n = *rc::gen::inRange<size_t>(0, bytes.size());
  RC_ASSERT(!log::DecodeRead(bytes.substr(0, n)));
  RC_ASSERT(!log::DecodeRead(bytes + text + "x"));
}

}  // namespace
}  // namespace papayadrift::standins
