#include "entry/membership_driver.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/hash.h"

namespace papayadrift::entry {

namespace {

// Whether an accepted record changes the members or what has lapsed.
bool IsChange(const records::Record& record) {
  return std::holds_alternative<records::EntryJoined>(record) ||
         std::holds_alternative<records::EntryLeft>(record) ||
         std::holds_alternative<records::EntryLapsed>(record) ||
         std::holds_alternative<records::EntryRetired>(record) ||
         std::holds_alternative<records::WorkerLapsed>(record);
}

struct LapseRecord {
  records::Record operator()(const lease::WorkerKey& key) const {
    return records::WorkerLapsed{key.worker, key.incarnation};
  }
  records::Record operator()(const lease::MemberKey& key) const {
    return records::EntryLapsed{key.entry, key.incarnation};
  }
};

struct CompletionRecord {
  records::Record operator()(const lease::WorkerKey& key) const {
    return records::WorkerFreed{key.worker, key.incarnation};
  }
  records::Record operator()(const lease::MemberKey& key) const {
    return records::EntryRetired{key.entry, key.incarnation};
  }
};

struct RetirementOutcomeOf {
  RetirementOutcome operator()(const ProposalAccepted&) const {
    return EntryLapsedByWord();
  }
  RetirementOutcome operator()(const ProposalRejected& rejected) const {
    switch (rejected.rejection) {
      case replay::Rejection::kNoChange:
        return EntryLapsedByWord();
      case replay::Rejection::kEntryUnknown:
        return EntryNotFound();
      default:
        return RetirerNotMember();
    }
  }
  RetirementOutcome operator()(const ProposalExpired&) const {
    return RetirementLogDown();
  }
  RetirementOutcome operator()(const ProposalUnknown&) const {
    return RetirementUnknown();
  }
};

struct IsLapsedIn {
  const replay::DecisionState& state;

  bool operator()(const lease::WorkerKey& key) const {
    const replay::WorkerState* worker =
        state.workers().Find({key.worker, key.incarnation});
    return worker != nullptr && worker->phase == replay::WorkerPhase::kLapsed;
  }
  bool operator()(const lease::MemberKey& key) const {
    const replay::EntryState* entry =
        state.entries().Find({key.entry, key.incarnation});
    return entry != nullptr && entry->phase == replay::EntryPhase::kLapsed;
  }
};

}  // namespace

MembershipDriver::MembershipDriver(records::EntryJoined self,
                                   DecisionStream& decisions,
                                   lease::Renewer& renewer,
                                   lease::FreezePromises& promises,
                                   membership::MembershipView& view,
                                   const lease::LeaseSettings& settings,
                                   const Clock& clock,
                                   IsWithinShares is_within_shares)
    : self_(std::move(self)),
      decisions_(decisions),
      renewer_(renewer),
      promises_(promises),
      view_(view),
      clock_(clock),
      is_within_shares_(std::move(is_within_shares)),
      lapse_timeout_(settings.promise_period),
      lapses_(settings) {}

void MembershipDriver::OnTime() {
  if (const auto began_at = decisions_.tail_read_began_at()) {
    renewer_.OnTailRead(*began_at);
  }
  if (!decisions_.has_caught_up()) {
    return;
  }
  Join();
  Acknowledge();
  CompleteLapses();
  ProposeLapsesOfMembers();
}

void MembershipDriver::Leave(std::function<void()> on_left) {
  is_leaving_ = true;
  decisions_.Propose(
      records::EntryLeft{self_.entry, self_.incarnation},
      [on_left = std::move(on_left)](const ProposalOutcome&) { on_left(); });
}

void MembershipDriver::OnApplied(Offset offset,
                                 const replay::AppliedProposal& applied) {
  if (applied.verdict.is_accepted()) {
    NoteChange(offset, applied.proposal.record);
  }
}

void MembershipDriver::OnRestored() {
  const replay::DecisionState& state = decisions_.state();
  last_change_ = state.next_offset();
  for (const auto& [key, entry] : state.entries().entries()) {
    joined_at_.try_emplace(key, entry.phase_since);
    if (entry.phase == replay::EntryPhase::kLapsed) {
      lapses_.OnLapseSeen(lease::MemberKey{key.entry, key.incarnation},
                          clock_.Now());
    }
  }
  for (const auto& [key, worker] : state.workers().workers()) {
    if (worker.phase == replay::WorkerPhase::kLapsed) {
      lapses_.OnLapseSeen(lease::WorkerKey{key.worker, key.incarnation},
                          clock_.Now());
    }
  }
  TellReplayed();
}

const replay::EntryState* MembershipDriver::own_state() const {
  return decisions_.state().entries().Find(key());
}

bool MembershipDriver::is_superseded() const {
  if (!has_joined_ || is_leaving_) {
    return false;
  }
  const replay::EntryState* own = own_state();
  return own == nullptr || own->phase == replay::EntryPhase::kLapsed;
}

std::optional<lease::MemberKey> MembershipDriver::HomeOf(
    std::string_view key) const {
  const std::vector<lease::MemberKey> members = view_.LiveMembers();
  const auto it = std::ranges::max_element(members, {}, [&](const auto& it) {
    return RendezvousWeight(key, it.entry.text());
  });
  if (it == members.end()) {
    return std::nullopt;
  }
  return *it;
}

bool MembershipDriver::IsHomeOf(std::string_view key) const {
  return HomeOf(key) == lease::MemberKey{self_.entry, self_.incarnation};
}

uint32_t MembershipDriver::RankAmongLive() const {
  const lease::MemberKey self{self_.entry, self_.incarnation};
  const std::vector<lease::MemberKey> members = view_.LiveMembers();
  return static_cast<uint32_t>(std::ranges::count_if(
      members, [&](const lease::MemberKey& key) { return key < self; }));
}

membership::RunnerShare MembershipDriver::ShareOf(
    std::string_view runner,
    const membership::RunnerShare& total) const {
  return membership::ShareOf({self_.entry, self_.incarnation}, runner, total,
                             share_members_);
}

bool MembershipDriver::OwesAcknowledgement() const {
  const replay::EntryState* own = own_state();
  return own != nullptr && own->phase != replay::EntryPhase::kLapsed &&
         own->acknowledged < decisions_.state().entries().generation();
}

bool MembershipDriver::ProposeLapse(const lease::LapseSubject& subject,
                                    std::function<void()> on_resolved) {
  promises_.OnLapseWanted(subject);
  if (promises_.FindLapseRefusal(clock_.Now())) {
    return false;
  }
  HandOver(subject, [on_resolved = std::move(on_resolved)](
                        const ProposalOutcome&) { on_resolved(); });
  return true;
}

void MembershipDriver::Retire(const lease::MemberKey& member,
                              OnRetirement on_outcome) {
  if (const auto answer = AnswerToRetire(member)) {
    on_outcome(*answer);
    return;
  }
  HandOver(member, [on_outcome =
                        std::move(on_outcome)](const ProposalOutcome& outcome) {
    on_outcome(std::visit(RetirementOutcomeOf(), outcome));
  });
}

std::optional<RetirementOutcome> MembershipDriver::AnswerToRetire(
    const lease::MemberKey& member) const {
  const auto refusal = promises_.FindRetirementRefusal(clock_.Now());
  if (refusal == lease::LapseRefusal::kNotMember ||
      !decisions_.has_caught_up()) {
    return RetirerNotMember();
  }
  const replay::EntryState* state =
      decisions_.state().entries().Find({member.entry, member.incarnation});
  if (state == nullptr) {
    return EntryNotFound();
  }
  if (state->phase == replay::EntryPhase::kLapsed) {
    return EntryLapsedByWord();
  }
  if (view_.IsHeard(member)) {
    return EntryStillHeard();
  }
  if (!decisions_.is_log_available()) {
    return RetirementLogDown();
  }
  if (refusal) {
    return RetirementNotBefore{promises_.promises_kept_until()};
  }
  // Its lapse is on its way already.
  return promises_.IsLapsePending(member)
             ? std::optional<RetirementOutcome>(RetirementUnknown())
             : std::nullopt;
}

void MembershipDriver::HandOver(const lease::LapseSubject& subject,
                                OnOutcome on_outcome) {
  promises_.OnLapseProposed(subject);
  // While it waits for a log that is down, promises exclude its subject.
  decisions_.ProposeUntil(
      std::visit(LapseRecord(), subject), clock_.Now() + lapse_timeout_,
      [this, subject,
       on_outcome = std::move(on_outcome)](const ProposalOutcome& outcome) {
        promises_.OnLapseResolved(subject);
        on_outcome(outcome);
      });
}

void MembershipDriver::Join() {
  if (is_joining_ || has_joined_ || is_leaving_) {
    return;
  }
  is_joining_ = true;
  decisions_.Propose(self_, [this](const ProposalOutcome& outcome) {
    is_joining_ = false;
    has_joined_ = std::holds_alternative<ProposalAccepted>(outcome);
  });
}

void MembershipDriver::Acknowledge() {
  const Generation newest = decisions_.state().entries().generation();
  if (!OwesAcknowledgement() || is_acknowledging_ || !is_within_shares_()) {
    return;
  }
  is_acknowledging_ = true;
  decisions_.Propose(
      records::EntryAcknowledged{self_.entry, self_.incarnation, newest},
      [this](const ProposalOutcome&) { is_acknowledging_ = false; });
}

void MembershipDriver::CompleteLapses() {
  if (is_completing_) {
    return;
  }
  for (const lease::LapseSubject& subject :
       lapses_.CompletedLapses(clock_.Now())) {
    // It may have gone otherwise: a worker by the word of its next incarnation,
    // or either while this entry was behind the log's retention.
    if (!std::visit(IsLapsedIn{decisions_.state()}, subject)) {
      lapses_.OnSubjectRemoved(subject);
      continue;
    }
    is_completing_ = true;
    decisions_.Propose(
        std::visit(CompletionRecord(), subject),
        [this](const ProposalOutcome&) { is_completing_ = false; });
    return;
  }
}

void MembershipDriver::ProposeLapsesOfMembers() {
  std::vector<lease::MemberKey> wanted;
  if (own_state() != nullptr && decisions_.is_log_available()) {
    wanted = view_.ProposedLapses(clock_.Now());
  }
  for (const lease::MemberKey& member : wanted_lapses_) {
    if (std::ranges::find(wanted, member) == wanted.end()) {
      promises_.OnLapseUnwanted(member);
    }
  }
  wanted_lapses_ = std::move(wanted);
  for (const lease::MemberKey& member : wanted_lapses_) {
    if (!promises_.IsLapsePending(member)) {
      ProposeLapse(member, [] {});
    }
  }
}

void MembershipDriver::TellReplayed() {
  const replay::DecisionState& state = decisions_.state();
  share_members_.clear();
  lease::ReplayedMembers replayed;
  replayed.applied = state.next_offset();
  replayed.last_change = last_change_;
  for (const auto& [key, entry] : state.entries().entries()) {
    replayed.members.push_back({{key.entry, key.incarnation},
                                entry.phase == replay::EntryPhase::kLapsed,
                                joined_at_[key],
                                entry.stream_address});
    share_members_.push_back(
        {{key.entry, key.incarnation},
         entry.phase == replay::EntryPhase::kLapsed,
         entry.phase == replay::EntryPhase::kFull || entry.was_full});
  }
  renewer_.OnReplayed(replayed);
  promises_.OnReplayed(replayed, clock_.Now());
  view_.OnReplayed(replayed.members, clock_.Now());
}

void MembershipDriver::NoteChange(Offset offset,
                                  const records::Record& record) {
  if (const auto* joined = std::get_if<records::EntryJoined>(&record)) {
    joined_at_[{joined->entry, joined->incarnation}] = offset;
  }
  if (const auto* lapsed = std::get_if<records::EntryLapsed>(&record)) {
    lapses_.OnLapseSeen(lease::MemberKey{lapsed->entry, lapsed->incarnation},
                        clock_.Now());
  }
  if (const auto* lapsed = std::get_if<records::WorkerLapsed>(&record)) {
    lapses_.OnLapseSeen(lease::WorkerKey{lapsed->worker, lapsed->incarnation},
                        clock_.Now());
  }
  if (const auto* freed = std::get_if<records::WorkerFreed>(&record)) {
    lapses_.OnSubjectRemoved(
        lease::WorkerKey{freed->worker, freed->incarnation});
  }
  if (const auto* retired = std::get_if<records::EntryRetired>(&record)) {
    lapses_.OnSubjectRemoved(
        lease::MemberKey{retired->entry, retired->incarnation});
    joined_at_.erase({retired->entry, retired->incarnation});
  }
  if (const auto* left = std::get_if<records::EntryLeft>(&record)) {
    joined_at_.erase({left->entry, left->incarnation});
  }
  if (IsChange(record)) {
    last_change_ = offset;
  }
  // An acknowledgement may make a joiner full.
  if (IsChange(record) ||
      std::holds_alternative<records::EntryAcknowledged>(record)) {
    TellReplayed();
  }
}

}  // namespace papayadrift::entry
