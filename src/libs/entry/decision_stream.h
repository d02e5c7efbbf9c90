#ifndef PAPAYADRIFT_ENTRY_DECISION_STREAM_H_
#define PAPAYADRIFT_ENTRY_DECISION_STREAM_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/proposer.h"
#include "entry/stream_settings.h"
#include "proposals/recovery_search.h"
#include "replay/decision_state.h"

namespace papayadrift::entry {

// Hears of every change of the replayed state.
class DecisionListener {
 public:
  virtual ~DecisionListener() = default;

  // The proposal was applied; the state shows its effect.
  virtual void OnApplied(Offset offset,
                         const replay::AppliedProposal& applied) = 0;
  // The end of the stream was reached for the first time since the start, or
  // since the state was replaced whole.
  virtual void OnRestored() = 0;
};

// The decision stream of this entry's region and the state that follows from
// it. Starts from the newest snapshot that the log keeps. On the control
// thread only.
class DecisionStream : public Proposer {
 public:
  // `search_span` is how many records to look through for a snapshot at first.
  DecisionStream(const StreamSettings& settings,
                 uint64_t search_span,
                 log::LogPort& log,
                 std::shared_ptr<TaskRunner> runner,
                 const Clock& clock);

  void AddListener(DecisionListener& listener);
  void OnTime();
  // Replaces the state by one from a peer, if it is newer than this one.
  // Returns whether it did.
  bool Adopt(const std::string& snapshot);

  void Propose(records::Record record, OnOutcome on_outcome) override;
  void ProposeUntil(records::Record record,
                    Instant give_up_at,
                    OnOutcome on_outcome);
  bool is_log_available() const override;

  const replay::DecisionState& state() const { return state_; }
  // Whether the end of the stream was reached since the start.
  bool has_caught_up() const { return has_caught_up_; }
  // Whether the log is down or does not keep enough, so that a peer must help.
  bool needs_peer_state() const { return needs_peer_state_; }
  // When the last read began that reached the end of the stream.
  std::optional<Instant> tail_read_began_at() const;
  size_t unresolved_count() const;
  // Records read to find where replay begins.
  uint64_t recovery_records_read() const { return recovery_records_read_; }

 private:
  void Search();
  void ReadForSearch(const proposals::StartRead& read);
  void OnSearched(const log::ReadResult& result);
  void EndSearch(const proposals::RecoveryFound& found);
  std::vector<proposals::ReadProposal> Apply(const log::StoredRecord& record);
  void NoteTail();
  bool Restore(const std::string& snapshot);

  const StreamSettings settings_;
  const uint64_t search_span_;
  log::LogPort& log_;
  const std::shared_ptr<TaskRunner> runner_;
  const Clock& clock_;
  proposals::StreamDriver driver_;
  std::vector<DecisionListener*> listeners_;
  replay::DecisionState state_;
  // Set while looking for where to begin.
  std::optional<proposals::RecoverySearch> search_;
  bool is_searching_read_ = false;
  Instant search_again_at_;
  uint64_t recovery_records_read_ = 0;
  bool needs_peer_state_ = false;
  bool has_caught_up_ = false;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_DECISION_STREAM_H_
