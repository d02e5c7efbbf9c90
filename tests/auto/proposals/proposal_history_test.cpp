// Tests random histories of several proposers with a log that loses answers,
// stores appends late or twice, drops old records and is down at times, while
// processes crash, restart and write snapshots.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "fake_log.h"
#include "process.h"
#include "replay/decision_model.h"
#include "replay/record_chooser.h"

namespace papayadrift::proposals {
namespace {

using replay::DecisionState;
using test::Process;

constexpr uint32_t kProcesses = 3;
constexpr uint32_t kSteps = 200;
constexpr uint32_t kHistoriesPerCase = 5;

class History {
 public:
  explicit History(uint64_t seed) : random_(seed), log_(seed) {
    for (uint32_t i = 0; i < kProcesses; ++i) {
      processes_.push_back(Start(i));
    }
  }

  void Step() {
    clock_.Advance(milliseconds(random_(30)));
    Observe();
    Process& process = *processes_[random_(kProcesses)];
    switch (random_(24)) {
      case 0:
        Crash(random_(kProcesses));
        break;
      case 1:
        process.SubmitSnapshot(random_());
        break;
      case 2:
        DropOldRecords();
        break;
      case 3:
        log_.SetDown(random_(2) == 0);
        break;
      case 4:
      case 5:
        log_.StoreRandomDelayed();
        break;
      case 6:
      case 7:
      case 8:
        SubmitAny(process);
        break;
      default:
        process.Tick(observer_);
        log_.DeliverRandom();
    }
  }

  // Ends all faults and waits until every outcome is reported, then stores the
  // delayed appends and waits until they are read.
  void Settle() {
    constexpr uint32_t kMaximumRounds = 3'000;
    log_.SetDown(false);
    log_.SetFaulty(false);
    for (uint32_t i = 0; i < kMaximumRounds && !AreAllReported(); ++i) {
      RunRound();
    }
    RC_ASSERT(AreAllReported());
    log_.StoreAllDelayed();
    while (!AreAllCaughtUp()) {
      RunRound();
    }
    CollectOutcomes();
  }

  void Check() const {
    RC_ASSERT(model_.faults() == std::vector<std::string>());
    for (const auto& process : processes_) {
      RC_ASSERT(process->state().digest() == observer_.digest());
      RC_ASSERT(process->state() == observer_);
    }
    std::set<records::ProposalId> reported;
    for (const test::ReportedOutcome& outcome : reported_) {
      RC_ASSERT(reported.insert(outcome.id).second);
      CheckOutcome(outcome);
    }
  }

 private:
  struct LogPosition {
    Offset offset;
    uint32_t index_in_batch = 0;
    replay::Verdict verdict;
  };

  std::unique_ptr<Process> Start(uint32_t i) {
    const replay::EntryKey key = {
        .entry = EntryId("e" + std::to_string(i)),
        .incarnation = Incarnation(++last_incarnation_)};
    auto process =
        std::make_unique<Process>(log_, clock_, key, random_(), observer_);
    process->Submit(records::EntryJoined{.entry = key.entry,
                                         .incarnation = key.incarnation,
                                         .zone = {},
                                         .http_address = {},
                                         .stream_address = {}},
                    std::nullopt);
    return process;
  }

  void Crash(uint32_t i) {
    CollectOutcomesOf(*processes_[i]);
    processes_[i] = Start(i);
  }

  void SubmitAny(Process& process) {
    std::optional<Instant> give_up_at;
    if (random_(3) == 0) {
      give_up_at = clock_.Now() + milliseconds(random_(100));
    }
    process.Submit(
        test::RecordChooser(process.state(), random_()).Choose(process.key()),
        give_up_at);
  }

  void DropOldRecords() {
    const uint64_t kept = 5 + random_(60);
    if (log_.next().value() > kept) {
      log_.Drop(Offset(log_.next().value() - kept));
    }
  }

  // Replays the records stored since the last call, regardless of what reads
  // return.
  void Observe() {
    while (observer_.next_offset() < log_.next()) {
      const Offset offset = observer_.next_offset();
      uint32_t i = 0;
      for (const auto& applied : replay::ApplyBytes(
               observer_, offset, log_.records()[offset.value() - 1])) {
        model_.OnApplied(offset, applied);
        if (offset <= applied.proposal.last_offset) {
          positions_.try_emplace(applied.proposal.id,
                                 LogPosition{.offset = offset,
                                             .index_in_batch = i,
                                             .verdict = applied.verdict});
        }
        ++i;
      }
      model_.OnCompleted(observer_);
    }
  }

  void RunRound() {
    clock_.Advance(milliseconds(10));
    for (const auto& process : processes_) {
      process->Tick(observer_);
    }
    log_.DeliverAll();
    Observe();
  }

  bool AreAllReported() const {
    return std::ranges::all_of(processes_, [](const auto& process) {
      return process->reported().size() == process->submitted_count();
    });
  }

  bool AreAllCaughtUp() const {
    return std::ranges::all_of(processes_, [this](const auto& process) {
      return process->state().next_offset() == log_.next();
    });
  }

  void CollectOutcomes() {
    for (const auto& process : processes_) {
      CollectOutcomesOf(*process);
    }
  }

  void CollectOutcomesOf(const Process& process) {
    for (const test::ReportedOutcome& reported : process.reported()) {
      reported_.push_back(reported);
      const bool is_unknown =
          std::holds_alternative<ProposalUnknown>(reported.outcome);
      RC_ASSERT(!is_unknown || process.has_gap());
    }
  }

  void CheckOutcome(const test::ReportedOutcome& reported) const {
    const auto position = positions_.find(reported.id);
    if (std::holds_alternative<ProposalExpired>(reported.outcome)) {
      RC_ASSERT(position == positions_.end());
    }
    if (const auto* decided = std::get_if<ProposalDecided>(&reported.outcome)) {
      RC_ASSERT(position != positions_.end());
      RC_ASSERT(decided->offset == position->second.offset);
      RC_ASSERT(decided->index_in_batch == position->second.index_in_batch);
      RC_ASSERT(std::get<replay::Verdict>(decided->verdict) ==
                position->second.verdict);
    }
  }

  pcg32 random_;
  ManualClock clock_;
  test::FakeLog log_;
  uint64_t last_incarnation_ = 0;
  DecisionState observer_;
  test::DecisionModel model_;
  std::map<records::ProposalId, LogPosition> positions_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<test::ReportedOutcome> reported_;
};

RC_GTEST_PROP(ProposalHistory, OutcomesMatchLogAndStatesAgree, ()) {
  for (uint32_t i = 0; i < kHistoriesPerCase; ++i) {
    History history(
        *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<uint32_t>()));
    for (uint32_t step = 0; step < kSteps; ++step) {
      history.Step();
    }
    history.Settle();
    history.Check();
  }
}

}  // namespace
}  // namespace papayadrift::proposals
