#include "process.h"

#include "proposals/recovery_search.h"
#include "replay/snapshot_chunks.h"

namespace papayadrift::test {

Process::Process(FakeLog& log,
                 const Clock& clock,
                 replay::EntryKey key,
                 uint64_t seed,
                 const replay::DecisionState& peer)
    : log_(log), key_(std::move(key)), state_(FindState().value_or(peer)) {
  const Offset next = state_.next_offset();
  driver_ = std::make_unique<proposals::StreamDriver>(
      proposals::StreamDriver::Environment{
          .log = log,
          .clock = clock,
          .stream = log::StreamId("decisions"),
          .execute = [](const std::function<void()>& run) { run(); },
          .apply = [this](const auto& record) { return Apply(record); }},
      proposals::ProposalQueue(key_.entry, key_.incarnation, next, {}, seed),
      proposals::StreamReader(next, {.maximum_records = 5}, seed + 1));
}

void Process::Submit(records::Record record,
                     std::optional<Instant> give_up_at) {
  // The ticket is known only after Submit(), and the outcome comes later.
  const auto ticket = std::make_shared<proposals::Ticket>();
  const auto submitted = driver_->Submit(
      std::move(record), give_up_at,
      [this, ticket](const proposals::ProposalOutcome& outcome) {
        reported_.push_back({.id = {.author = key_.entry,
                                    .incarnation = key_.incarnation,
                                    .sequence = ticket->value()},
                             .outcome = outcome});
      });
  if (submitted) {
    *ticket = *submitted;
    ++submitted_count_;
  }
}

void Process::SubmitSnapshot(uint64_t snapshot) {
  for (records::SnapshotChunk& chunk : replay::SplitSnapshot(
           snapshot, state_.next_offset(), state_.Snapshot())) {
    Submit(std::move(chunk), std::nullopt);
  }
}

void Process::Tick(const replay::DecisionState& peer) {
  driver_->Tick();
  if (driver_->behind_retention()) {
    has_gap_ = true;
    const auto found = FindState();
    state_ =
        found && found->next_offset() >= state_.next_offset() ? *found : peer;
    driver_->Restart(state_.next_offset());
  }
}

std::optional<replay::DecisionState> Process::FindState() const {
  proposals::RecoverySearch search(8);
  proposals::RecoveryStep step = search.Start();
  while (const auto* read = std::get_if<proposals::StartRead>(&step)) {
    step = search.OnResult(log_.ReadNow(read->from, read->limit));
  }
  const auto* found = std::get_if<proposals::RecoveryFound>(&step);
  if (found == nullptr) {
    return std::nullopt;
  }
  return found->snapshot
             ? replay::DecisionState::Restore(found->snapshot->bytes)
             : replay::DecisionState();
}

std::vector<proposals::ReadProposal> Process::Apply(
    const log::StoredRecord& record) {
  std::vector<proposals::ReadProposal> read;
  for (const auto& applied :
       replay::ApplyBytes(state_, record.offset, record.bytes)) {
    read.push_back({.id = applied.proposal.id, .verdict = applied.verdict});
  }
  return read;
}

}  // namespace papayadrift::test
