#ifndef PAPAYADRIFT_TESTS_AUTO_PROPOSALS_PROCESS_H_
#define PAPAYADRIFT_TESTS_AUTO_PROPOSALS_PROCESS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "fake_log.h"
#include "proposals/stream_driver.h"
#include "replay/decision_state.h"

namespace papayadrift::test {

// The outcome of a proposal, as reported to its process.
struct ReportedOutcome {
  records::ProposalId id;
  proposals::ProposalOutcome outcome;
};

// The part of an entry that handles one decision stream.
class Process {
 public:
  // Recovers from the log, or takes the state of `peer` if that fails.
  Process(FakeLog& log,
          const Clock& clock,
          replay::EntryKey key,
          uint64_t seed,
          const replay::DecisionState& peer);

  const replay::EntryKey& key() const { return key_; }
  const replay::DecisionState& state() const { return state_; }
  const proposals::StreamDriver& driver() const { return *driver_; }
  const std::vector<ReportedOutcome>& reported() const { return reported_; }
  size_t submitted_count() const { return submitted_count_; }
  bool has_gap() const { return has_gap_; }

  void Submit(records::Record record, std::optional<Instant> give_up_at);
  void SubmitSnapshot(uint64_t snapshot);
  // Performs the work that is due; takes the state of `peer` if the log dropped
  // too much.
  void Tick(const replay::DecisionState& peer);

 private:
  std::optional<replay::DecisionState> FindState() const;
  std::vector<proposals::ReadProposal> Apply(const log::StoredRecord& record);

  FakeLog& log_;
  const replay::EntryKey key_;
  replay::DecisionState state_;
  std::unique_ptr<proposals::StreamDriver> driver_;
  std::vector<ReportedOutcome> reported_;
  size_t submitted_count_ = 0;
  bool has_gap_ = false;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_AUTO_PROPOSALS_PROCESS_H_
