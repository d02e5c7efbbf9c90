#include "region.h"

#include <utility>

#include "records/codec.h"

namespace papayadrift::proposals {

namespace {

constexpr milliseconds kLogLatency(15);

std::vector<ReadProposal> Read(const std::string& bytes) {
  std::vector<ReadProposal> read;
  const records::Batch batch = *records::Decode(bytes);
  for (const records::Proposal& proposal : batch) {
    read.push_back({.id = proposal.id, .verdict = replay::Verdict::Accepted()});
  }
  return read;
}

}  // namespace

Region::Region(uint32_t entries, const QueueLimits& limits, uint64_t seed)
    : random_(seed) {
  for (uint32_t i = 0; i < entries; ++i) {
    queues_.emplace_back(EntryId("entry-" + std::to_string(i)), Incarnation(1),
                         next_offset_, limits, seed + i);
  }
}

void Region::SubmitAny() {
  records::TaskClaimed claim;
  claim.task = {.job = JobId("entry-117-4711"), .index = random_(25)};
  claim.worker = WorkerId("worker-1234");
  const uint32_t entry = random_(static_cast<uint32_t>(queues_.size()));
  const auto ticket = queues_[entry].Submit(now_, claim, std::nullopt);
  submitted_at_.emplace(Key(entry, *ticket), now_);
}

void Region::Step() {
  now_ += milliseconds(1);
  for (uint32_t i = 0; i < queues_.size(); ++i) {
    Perform(i, queues_[i].OnTime(now_));
  }
  while (!appended_.empty() && appended_.front().visible_at <= now_) {
    const Appended appended = std::move(appended_.front());
    appended_.pop_front();
    DeliverAppend(appended);
  }
}

void Region::Perform(uint32_t entry, const std::vector<QueueAction>& actions) {
  for (const QueueAction& action : actions) {
    if (const auto* append = std::get_if<StartAppend>(&action)) {
      appended_.push_back({.visible_at = now_ + kLogLatency,
                           .entry = entry,
                           .append = *append,
                           .offset = next_offset_});
      next_offset_ = next_offset_.Next();
    } else {
      const auto& outcome = std::get<ReportOutcome>(action);
      const auto node = submitted_at_.extract(Key(entry, outcome.ticket));
      delays_.push_back(now_ - node.mapped());
    }
  }
}

void Region::DeliverAppend(const Appended& appended) {
  const std::vector<ReadProposal> read = Read(appended.append.bytes);
  for (uint32_t i = 0; i < queues_.size(); ++i) {
    Perform(i, queues_[i].OnRead(now_, appended.offset, read));
  }
  Perform(appended.entry, queues_[appended.entry].OnAppendResult(
                              now_, appended.append.append,
                              log::Appended{.offset = appended.offset}));
}

}  // namespace papayadrift::proposals
