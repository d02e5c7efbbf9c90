// Explores every state that the model of the lease rule can reach.

#include <gtest/gtest.h>

#include <iostream>
#include <string_view>
#include <vector>

#include "base/hash.h"
#include "lease_model.h"

namespace papayadrift::lease::model {
namespace {

constexpr uint8_t kSlow = 1;
constexpr uint8_t kFast = 2;

struct Result {
  size_t states = 0;
  bool is_safe = true;
  bool is_complete = true;
};

std::string_view BytesOf(const State& state) {
  return {reinterpret_cast<const char*>(&state), sizeof(state)};
}

// The distinct states found so far, in order of their discovery.
class StateSet {
 public:
  const std::vector<State>& states() const { return states_; }

  void Insert(const State& state) {
    if ((states_.size() + 1) * 2 > slots_.size()) {
      Grow();
    }
    uint32_t& slot = SlotOf(state);
    if (slot == kEmpty) {
      slot = static_cast<uint32_t>(states_.size());
      states_.push_back(state);
    }
  }

 private:
  static constexpr uint32_t kEmpty = ~0U;

  uint32_t& SlotOf(const State& state) {
    size_t i = StableHash(BytesOf(state)) & (slots_.size() - 1);
    while (slots_[i] != kEmpty &&
           BytesOf(states_[slots_[i]]) != BytesOf(state)) {
      i = (i + 1) & (slots_.size() - 1);
    }
    return slots_[i];
  }
  void Grow() {
    slots_.assign(std::max<size_t>(1024, slots_.size() * 2), kEmpty);
    for (uint32_t i = 0; i < states_.size(); ++i) {
      SlotOf(states_[i]) = i;
    }
  }

  std::vector<State> states_;
  std::vector<uint32_t> slots_;
};

Result Explore(const Scenario& scenario, size_t limit) {
  StateSet seen;
  seen.Insert(Start(scenario));
  std::vector<State> next;
  for (size_t i = 0; i < seen.states().size(); ++i) {
    if (seen.states().size() > limit) {
      return {seen.states().size(), true, false};
    }
    const State state = seen.states()[i];
    if (IsUnsafe(state)) {
      return {seen.states().size(), false, false};
    }
    next.clear();
    AppendNext(scenario, state, next);
    for (const State& it : next) {
      seen.Insert(it);
    }
  }
  return {seen.states().size(), true, true};
}

Scenario Base() {
  Scenario scenario;
  scenario.settings.renewal = milliseconds(2);
  scenario.settings.tail_freshness = milliseconds(2);
  scenario.settings.promise = milliseconds(4);
  scenario.settings.pause_margin = milliseconds(2);
  scenario.settings.maximum_request = milliseconds(2);
  scenario.settings.loan_term = milliseconds(0);
  scenario.settings.outage_cap = milliseconds(8);
  // A fast clock runs at twice the rate of a slow one.
  scenario.settings.clock_rate_error_ppm = 333'333;
  scenario.entry_rates = {kSlow, kFast, kFast};
  scenario.worker_rate = kSlow;
  return scenario;
}

// A scenario and what it allows beyond reads, promises, renewals and lapses of
// workers at any time.
struct NamedScenario {
  const char* name;
  Scenario scenario;
};

NamedScenario TwoWorkers() {
  Scenario s = Base();
  s.workers = 2;
  return {"two entries, two workers", s};
}
// One entry renews leases; the other may have pending lapses of both workers.
NamedScenario TwoLapsesUnderWay() {
  Scenario s = Base();
  s.workers = 2;
  s.renewers = 1;
  s.may_author = {};
  s.may_author[1] = 3;
  s.may_lapse_two = true;
  return {"two pending lapses", s};
}
NamedScenario SlowReads() {
  Scenario s = Base();
  s.slow_reads = true;
  return {"slow reads", s};
}
NamedScenario SlowPromises() {
  Scenario s = Base();
  s.slow_promises = true;
  return {"slow promises", s};
}
NamedScenario SlowRenewals() {
  Scenario s = Base();
  s.slow_renewals = true;
  return {"slow renewals", s};
}
NamedScenario Join() {
  Scenario s = Base();
  s.may_join = true;
  s.renewers = 1;
  return {"join", s};
}
NamedScenario JoinTwoRenewers() {
  Scenario s = Base();
  s.may_join = true;
  s.renewers = 3;
  s.entry_rates = {kFast, kFast, kFast};
  return {"join, two renewers", s};
}
NamedScenario JoinerRenews() {
  Scenario s = Base();
  s.may_join = true;
  s.renewers = 4;
  return {"join, joiner renews", s};
}
NamedScenario TwoJoiners() {
  Scenario s = Base();
  s.may_join = s.is_second_joining = true;
  s.renewers = 1;
  return {"two joiners", s};
}
NamedScenario Replace() {
  Scenario s = Base();
  s.may_replace = s.may_crash = true;
  return {"crash and replacement", s};
}
NamedScenario LapseEntries() {
  Scenario s = Base();
  s.may_crash = s.may_leave = true;
  s.may_lapse_entries = s.has_requests = true;
  return {"crash, leaving, lapse of entries", s};
}
// A joiner needs no acknowledgement from the renewing entry once that has
// lapsed.
NamedScenario LapseOfTheRenewer() {
  Scenario s = Base();
  s.may_join = s.may_lapse_entries = true;
  s.renewers = 1;
  s.may_author = {0, 1 << kWorkers, 1};
  return {"lapse of the renewer, join", s};
}
NamedScenario Cap() {
  Scenario s = Base();
  s.has_second_entry = false;
  s.may_join = s.has_cap = true;
  return {"cap, lone entry and joiner", s};
}

// The only entry is replaced at a new address, and retired by operators.
NamedScenario Retire() {
  Scenario s = Base();
  s.has_second_entry = false;
  s.may_join = s.may_crash = s.may_retire = true;
  return {"retired by operators", s};
}
// Operators retire an entry that still runs, but it renews only on a fresh
// tail.
NamedScenario RetireWhileItReads() {
  Scenario s = Retire().scenario;
  s.has_cap = true;
  s.settings.outage_cap = s.settings.tail_freshness;
  s.fault = Fault::kFalseRetirement;
  return {"retired by operators while running, with the log", s};
}

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// The exploration is too slow under sanitizers to be completed.
constexpr size_t kLimit = 50'000;
constexpr bool kIsWhole = false;
#else
constexpr size_t kLimit = 8'000'000;
constexpr bool kIsWhole = true;
#endif

Result ExploreAndPrint(const NamedScenario& named) {
  const Result result = Explore(named.scenario, kLimit);
  std::cout << "lease model: " << named.name << ": " << result.states
            << " states, " << (result.is_safe ? "safe" : "unsafe")
            << (result.is_complete ? "" : ", not all explored") << '\n';
  return result;
}

class SafeTest : public testing::TestWithParam<NamedScenario (*)()> {};

TEST_P(SafeTest, NoLeaseOutlivesItsLapse) {
  const Result result = ExploreAndPrint(GetParam()());
  EXPECT_TRUE(result.is_safe);
  EXPECT_TRUE(result.is_complete || !kIsWhole);
}

INSTANTIATE_TEST_SUITE_P(Lease,
                         SafeTest,
                         testing::Values(TwoWorkers,
                                         TwoLapsesUnderWay,
                                         SlowReads,
                                         SlowPromises,
                                         SlowRenewals,
                                         Join,
                                         JoinTwoRenewers,
                                         JoinerRenews,
                                         TwoJoiners,
                                         Replace,
                                         LapseEntries,
                                         LapseOfTheRenewer,
                                         Cap,
                                         Retire,
                                         RetireWhileItReads));

// A fault in the rule, and a scenario in which the exploration must find it.
struct Ablation {
  Fault fault;
  NamedScenario (*scenario)();
};

class AblationTest : public testing::TestWithParam<Ablation> {};

TEST_P(AblationTest, ExplorationFindsViolation) {
  NamedScenario named = GetParam().scenario();
  named.scenario.fault = GetParam().fault;
  if (GetParam().fault == Fault::kNoRateErrorInMargins) {
    named.scenario.settings.clock_rate_error_ppm = 0;
  }
  std::cout << "without part " << static_cast<int>(GetParam().fault) << ": ";
  EXPECT_TRUE(!ExploreAndPrint(named).is_safe || !kIsWhole);
}

INSTANTIATE_TEST_SUITE_P(
    Lease,
    AblationTest,
    testing::Values(
        Ablation{Fault::kRenewalFromArrival, SlowRenewals},
        Ablation{Fault::kFreshnessFromArrival, SlowReads},
        Ablation{Fault::kPromiseFromArrival, SlowPromises},
        Ablation{Fault::kPromiseNotKept, SlowRenewals},
        Ablation{Fault::kPromiseToLaggingRequester, SlowRenewals},
        Ablation{Fault::kPromiseWhileLapsePending, SlowRenewals},
        Ablation{Fault::kPromiseToPendingRequester, LapseOfTheRenewer},
        Ablation{Fault::kExcludingPromiseNotKept, TwoLapsesUnderWay},
        Ablation{Fault::kExclusionIgnored, TwoWorkers},
        Ablation{Fault::kOnePromiseIsEnough, Replace},
        Ablation{Fault::kOwnPendingLapseIgnored, SlowRenewals},
        Ablation{Fault::kJoinerFullAtOnce, Cap},
        Ablation{Fault::kJoinerFullOnAcknowledgement, Join},
        Ablation{Fault::kJoinerAcknowledgedByJoiner, TwoJoiners},
        Ablation{Fault::kRestartedIsFull, Replace},
        Ablation{Fault::kCapIgnoredByRenewer, Cap},
        Ablation{Fault::kNoRateErrorInMargins, SlowRenewals},
        Ablation{Fault::kNoFreshnessInWait, SlowRenewals},
        Ablation{Fault::kNoPauseMarginInWait, SlowRenewals},
        Ablation{Fault::kNoRequestInEntryWait, LapseEntries},
        Ablation{Fault::kFalseRetirement, Retire},
        Ablation{Fault::kLapseOfNonMemberAccepted, LapseEntries}));

}  // namespace
}  // namespace papayadrift::lease::model
