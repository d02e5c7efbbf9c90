// Random histories of one stream with copies, expired proposals, torn bytes,
// and snapshots at any point.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "records/codec.h"
#include "replay/decision_model.h"
#include "replay/decision_state.h"
#include "replay/record_chooser.h"
#include "replay/snapshot_assembler.h"
#include "replay/snapshot_chunks.h"

namespace papayadrift::replay {
namespace {

constexpr uint32_t kSteps = 250;
constexpr uint32_t kHistoriesPerCase = 5;

class History {
 public:
  // Appends something that the number chooses, and applies it.
  void Step(uint32_t number) {
    pcg32 random(number);
    const uint32_t kind = random(16);
    if (kind == 0 && !log_.empty()) {
      const size_t age = random(std::min<size_t>(log_.size(), 12));
      Append(std::string(log_[log_.size() - 1 - age]));  // A late copy.
    } else if (kind == 1) {
      Append(std::string(random(7), '\x93'));
    } else if (kind == 2) {
      RestoreFromSnapshot();
    } else {
      Append(records::Encode({Propose(random), Propose(random)}));
    }
  }

  const DecisionState& state() const { return state_; }
  const std::vector<std::string>& log() const { return log_; }
  const test::DecisionModel& model() const { return model_; }

 private:
  records::Proposal Propose(pcg32& random) {
    const EntryKey author = {.entry = EntryId("e" + std::to_string(random(3))),
                             .incarnation = Incarnation(1 + log_.size() / 50)};
    const Offset last_offset(state_.next_offset().value() + random(9));
    return {.id = {.author = author.entry,
                   .incarnation = author.incarnation,
                   .sequence = ++sequence_},
            .last_offset = last_offset,
            .record = test::RecordChooser(state_, random()).Choose(author)};
  }

  void Append(const std::string& bytes) {
    const Offset offset = state_.next_offset();
    log_.push_back(bytes);
    for (const AppliedProposal& applied : ApplyBytes(state_, offset, bytes)) {
      model_.OnApplied(offset, applied);
    }
    model_.OnCompleted(state_);
  }

  void RestoreFromSnapshot() {
    SnapshotAssembler assembler;
    for (const auto& chunk :
         SplitSnapshot(1, state_.next_offset(), state_.Snapshot())) {
      assembler.Add(state_.next_offset(), chunk);
    }
    const auto restored = DecisionState::Restore(assembler.newest()->bytes);
    RC_ASSERT(restored == state_);
    state_ = *restored;
  }

  uint64_t sequence_ = 0;
  std::vector<std::string> log_;
  DecisionState state_;
  test::DecisionModel model_;
};

std::vector<uint32_t> AnyNumbers() {
  return *rc::gen::container<std::vector<uint32_t>>(
      kSteps, rc::gen::inRange<uint32_t>(0, 2'000'000'000));
}

RC_GTEST_PROP(DecisionHistory, KeepsEveryPromise, ()) {
  for (uint32_t i = 0; i < kHistoriesPerCase; ++i) {
    History history;
    for (const uint32_t number : AnyNumbers()) {
      history.Step(number);
      RC_ASSERT(history.model().faults() == std::vector<std::string>());
    }
  }
}

RC_GTEST_PROP(DecisionHistory, EveryReplayerOfAPrefixIsEqual, ()) {
  for (uint32_t i = 0; i < kHistoriesPerCase; ++i) {
    History history;
    for (const uint32_t number : AnyNumbers()) {
      history.Step(number);
    }
    DecisionState other;
    for (const std::string& bytes : history.log()) {
      ApplyBytes(other, other.next_offset(), bytes);
    }
    RC_ASSERT(other == history.state());
    RC_ASSERT(other.StateDigest() == history.state().StateDigest());
    RC_ASSERT(other.digest_points() == history.state().digest_points());
  }
}

}  // namespace
}  // namespace papayadrift::replay
