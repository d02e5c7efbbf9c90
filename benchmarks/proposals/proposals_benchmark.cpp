// Measures the cost of proposals at the required peak load: 240 starts a second
// in five regions, each start with one claim and one end. Time is simulated,
// not measured.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "bounds.h"
#include "proposals/proposal_queue.h"
#include "proposals/recovery_search.h"
#include "proposals/snapshot_schedule.h"
#include "records/codec.h"
#include "region.h"
#include "replay/snapshot_chunks.h"

namespace papayadrift::proposals {
namespace {

constexpr uint32_t kLogAppendsPerSecond = 400;
constexpr uint32_t kBudgetPerSecond = kLogAppendsPerSecond / 4;
// The rest of the budget is reserved for bursts and for the other streams.
constexpr uint32_t kDecisionsPerSecond = kBudgetPerSecond * 4 / 5;
constexpr uint32_t kRegions = 5;
constexpr uint32_t kEntriesPerRegion = 6;
constexpr uint32_t kStartsPerSecond = 240;
constexpr uint32_t kProposalsPerStart = 2;
constexpr uint32_t kSeconds = 60;
constexpr double kUrgentStartMilliseconds = 1'100;

double InMilliseconds(microseconds duration) {
  return static_cast<double>(duration.count()) / 1'000;
}

Region RunPeak(const QueueLimits& limits) {
  Region region(kEntriesPerRegion, limits, 42);
  constexpr uint64_t kPerSecond =
      uint64_t{kStartsPerSecond} * kProposalsPerStart / kRegions;
  uint64_t submitted = 0;
  for (uint64_t i = 1; i <= kSeconds * uint64_t{1'000}; ++i) {
    for (; submitted < i * kPerSecond / 1'000; ++submitted) {
      region.SubmitAny();
    }
    region.Step();
  }
  return region;
}

void MeasurePeak(Bounds& bounds) {
  QueueLimits limits;
  limits.append_interval = AppendBudget::IntervalPerProcess(
      kDecisionsPerSecond / kRegions, kEntriesPerRegion);
  const Region region = RunPeak(limits);
  std::vector<microseconds> delays = region.delays();
  std::ranges::sort(delays);
  bounds.AtMost("proposals_appends_per_second_at_240_starts",
                static_cast<double>(region.appends()) * kRegions / kSeconds,
                "1/s", kBudgetPerSecond);
  bounds.AtMost("proposals_outcome_delay_p99",
                InMilliseconds(delays[delays.size() * 99 / 100]), "ms",
                kUrgentStartMilliseconds / 2);
  // No backlog builds up: at most what arrives within the allowed delay.
  bounds.AtMost("proposals_open_at_the_end",
                static_cast<double>(region.open_count()), "proposals",
                static_cast<double>(kStartsPerSecond) * kProposalsPerStart /
                    kRegions * kUrgentStartMilliseconds / 2'000);
}

// Measures one append with a lost answer on an otherwise idle stream.
void MeasureLostAnswer(Bounds& bounds) {
  ProposalQueue queue(EntryId("e1"), Incarnation(1), Offset(1), {}, 42);
  Instant now{seconds(1'000)};
  const Instant begin = now;
  queue.Submit(now, records::JobCancelled(), std::nullopt);
  uint32_t appends = 0;
  Offset next(1);
  bool is_resolved = false;
  while (!is_resolved) {
    now += milliseconds(1);
    for (const QueueAction& action : queue.OnTime(now)) {
      const auto* append = std::get_if<StartAppend>(&action);
      if (append == nullptr) {
        continue;
      }
      if (appends++ == 0) {
        queue.OnAppendResult(now, append->append, log::AppendUnanswered());
        continue;
      }
      is_resolved = !queue.OnRead(now, next, {}).empty();
      queue.OnAppendResult(now, append->append, log::Appended{.offset = next});
      next = next.Next();
    }
  }
  bounds.AtMost("proposals_lost_answer_resolved_on_idle_stream",
                InMilliseconds(now - begin), "ms", kUrgentStartMilliseconds);
  bounds.Show("proposals_appends_to_prove_expiry", appends - 1, "appends");
}

// The stream of a region that stays within its budget, with a snapshot in each
// period, as a joiner finds it just before the next snapshot.
class StreamWithSnapshots {
 public:
  explicit StreamWithSnapshots(uint64_t period) : period_(period) {}

  log::ReadResult Answer(const StartRead& read) const {
    const Offset next(period_ * 5);
    log::ReadRecords answer = {
        .records = {}, .oldest = Offset(1), .next = next};
    for (Offset i = read.from; i < next && answer.records.size() < read.limit;
         i = i.Next()) {
      answer.records.push_back({.offset = i, .bytes = BytesAt(i.value())});
    }
    return answer;
  }

 private:
  std::string BytesAt(uint64_t offset) const {
    const uint64_t start = offset / period_ * period_;
    constexpr size_t kSnapshotBytes = 2'400'000;
    const auto index = static_cast<uint32_t>(offset - start);
    const auto count =
        static_cast<uint32_t>(kSnapshotBytes / replay::kMaximumChunkBytes + 1);
    if (start == 0 || index >= count) {
      return "";
    }
    return records::Encode({{.id = {},
                             .last_offset = Offset(offset),
                             .record = records::SnapshotChunk{
                                 .snapshot = start,
                                 .state_offset = Offset(start),
                                 .index = index,
                                 .count = count,
                                 .checksum = replay::SnapshotChecksum(""),
                                 .bytes = ""}}});
  }

  const uint64_t period_;
};

void MeasureRecovery(Bounds& bounds) {
  constexpr uint64_t kPeriodSeconds = SnapshotLimits().period / seconds(1);
  constexpr uint64_t kPeriod = kPeriodSeconds * kDecisionsPerSecond / kRegions;
  const StreamWithSnapshots stream(kPeriod);
  RecoverySearch search(kPeriod + kPeriod / 10);
  RecoveryStep step = search.Start();
  while (const auto* read = std::get_if<StartRead>(&step)) {
    step = search.OnResult(stream.Answer(*read));
  }
  const auto& found = std::get<RecoveryFound>(step);
  const uint64_t to_replay = kPeriod * 5 - found.from.value();
  bounds.AtMost("proposals_recovery_records_read",
                static_cast<double>(search.records_read() + to_replay),
                "records", 3 * static_cast<double>(kPeriod));
}

}  // namespace
}  // namespace papayadrift::proposals

int main() {
  papayadrift::Bounds bounds;
  papayadrift::proposals::MeasurePeak(bounds);
  papayadrift::proposals::MeasureLostAnswer(bounds);
  papayadrift::proposals::MeasureRecovery(bounds);
  return bounds.has_failed() ? 1 : 0;
}
