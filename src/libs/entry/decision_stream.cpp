#include "entry/decision_stream.h"

#include <utility>

namespace papayadrift::entry {

namespace {

// Between two tries to find where replay begins, while the log is down.
constexpr milliseconds kSearchPause(200);

ProposalOutcome OutcomeOf(const proposals::ProposalOutcome& outcome) {
  if (std::holds_alternative<proposals::ProposalUnknown>(outcome)) {
    return ProposalUnknown();
  }
  const auto* decided = std::get_if<proposals::ProposalDecided>(&outcome);
  if (decided == nullptr) {
    return ProposalExpired();
  }
  const auto& verdict = std::get<replay::Verdict>(decided->verdict);
  if (verdict.is_accepted()) {
    return ProposalAccepted();
  }
  return ProposalRejected{*verdict.rejection()};
}

}  // namespace

DecisionStream::DecisionStream(const StreamSettings& settings,
                               uint64_t search_span,
                               log::LogPort& log,
                               std::shared_ptr<TaskRunner> runner,
                               const Clock& clock)
    : settings_(settings),
      search_span_(search_span),
      log_(log),
      runner_(runner),
      clock_(clock),
      driver_(MakeStreamDriver(
          settings,
          log,
          std::move(runner),
          clock,
          [this](const log::StoredRecord& record) { return Apply(record); })),
      search_(search_span),
      search_again_at_(clock.Now()) {}

void DecisionStream::AddListener(DecisionListener& listener) {
  listeners_.push_back(&listener);
}

void DecisionStream::OnTime() {
  if (!search_ && driver_.behind_retention()) {
    has_caught_up_ = false;
    search_.emplace(search_span_);
  }
  if (search_) {
    Search();
    return;
  }
  driver_.Tick();
  NoteTail();
}

bool DecisionStream::Adopt(const std::string& snapshot) {
  const std::optional<replay::DecisionState> adopted =
      replay::DecisionState::Restore(snapshot);
  if (!adopted || adopted->next_offset() <= state_.next_offset() ||
      !Restore(snapshot)) {
    return false;
  }
  search_.reset();
  needs_peer_state_ = false;
  return true;
}

void DecisionStream::Propose(records::Record record, OnOutcome on_outcome) {
  SubmitOrExpire(driver_, std::move(record), std::nullopt,
                 [on_outcome = std::move(on_outcome)](const auto& outcome) {
                   on_outcome(OutcomeOf(outcome));
                 });
}

void DecisionStream::ProposeUntil(records::Record record,
                                  Instant give_up_at,
                                  OnOutcome on_outcome) {
  SubmitOrExpire(driver_, std::move(record), give_up_at,
                 [on_outcome = std::move(on_outcome)](const auto& outcome) {
                   on_outcome(OutcomeOf(outcome));
                 });
}

bool DecisionStream::is_log_available() const {
  return !search_ && driver_.reader().is_log_available() &&
         driver_.queue().is_log_available();
}

std::optional<Instant> DecisionStream::tail_read_began_at() const {
  return has_caught_up_ ? driver_.reader().tail_read_began_at() : std::nullopt;
}

size_t DecisionStream::unresolved_count() const {
  return driver_.queue().unresolved_count() + driver_.queue().pending_count();
}

void DecisionStream::Search() {
  if (is_searching_read_ || clock_.Now() < search_again_at_) {
    return;
  }
  ReadForSearch(search_->Start());
}

void DecisionStream::ReadForSearch(const proposals::StartRead& read) {
  is_searching_read_ = true;
  log_.Read(settings_.stream, read.from, read.limit, read.wait_milliseconds,
            [this, runner = runner_](log::ReadResult result) {
              runner->Post(
                  [this, result = std::move(result)] { OnSearched(result); });
            });
}

void DecisionStream::OnSearched(const log::ReadResult& result) {
  is_searching_read_ = false;
  if (!search_) {
    return;  // A peer has helped meanwhile.
  }
  const proposals::RecoveryStep step = search_->OnResult(result);
  recovery_records_read_ = search_->records_read();
  if (const auto* read = std::get_if<proposals::StartRead>(&step)) {
    ReadForSearch(*read);
    return;
  }
  if (const auto* found = std::get_if<proposals::RecoveryFound>(&step)) {
    EndSearch(*found);
    return;
  }
  search_again_at_ = clock_.Now() + kSearchPause;
  needs_peer_state_ = true;
  if (std::get<proposals::RecoveryFault>(step) ==
      proposals::RecoveryFault::kNoSnapshot) {
    search_.emplace(search_span_);
  }
}

void DecisionStream::EndSearch(const proposals::RecoveryFound& found) {
  const bool is_newer =
      found.snapshot && found.snapshot->state_offset > state_.next_offset();
  if (is_newer && !Restore(found.snapshot->bytes)) {
    search_again_at_ = clock_.Now() + kSearchPause;
    search_.emplace(search_span_);
    return;
  }
  search_.reset();
  needs_peer_state_ = false;
  driver_.Restart(state_.next_offset());
}

std::vector<proposals::ReadProposal> DecisionStream::Apply(
    const log::StoredRecord& record) {
  std::vector<proposals::ReadProposal> read;
  for (const replay::AppliedProposal& applied :
       replay::ApplyBytes(state_, record.offset, record.bytes)) {
    read.push_back({applied.proposal.id, applied.verdict});
    for (DecisionListener* listener : listeners_) {
      listener->OnApplied(record.offset, applied);
    }
  }
  return read;
}

void DecisionStream::NoteTail() {
  if (has_caught_up_ || !driver_.reader().tail_read_began_at()) {
    return;
  }
  has_caught_up_ = true;
  for (DecisionListener* listener : listeners_) {
    listener->OnRestored();
  }
}

bool DecisionStream::Restore(const std::string& snapshot) {
  std::optional<replay::DecisionState> restored =
      replay::DecisionState::Restore(snapshot);
  if (!restored) {
    return false;
  }
  state_ = std::move(*restored);
  has_caught_up_ = false;
  driver_.Restart(state_.next_offset());
  return true;
}

}  // namespace papayadrift::entry
