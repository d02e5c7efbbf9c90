#include "lease_model.h"

#include <algorithm>
#include <bit>

#include "lease/rule.h"

namespace papayadrift::lease::model {
namespace {

// Subjects are numbered with workers first, then entries. A log record is one
// byte, made of its kind and its author.
constexpr int kJoin = kWorkers + kEntries;
constexpr int kLeave = kJoin + 1;
constexpr int kJoiner = 2;
constexpr int kReplaced = 1;
constexpr uint8_t kAll = 255;  // Every subject.

// How long messages may still arrive after they have become invalid.
constexpr milliseconds kExtraMessageAge{2};

constexpr uint8_t Record(int what, int author) {
  return static_cast<uint8_t>(what * kEntries + author);
}
constexpr bool HasBit(unsigned mask, int i) {
  return (mask >> i & 1U) != 0;
}

// Conversions between instants and ages or remaining times, relative to now.
constexpr Instant kNow{};
Instant Ago(uint8_t age) {
  return kNow - milliseconds(age);
}
uint8_t Remaining(Instant until) {
  return static_cast<uint8_t>(
      std::chrono::ceil<milliseconds>(until - kNow).count());
}

// The membership that results from the first records of the log.
struct LogView {
  unsigned members = 0;
  unsigned lapsed = 0;  // Mask of subjects.
  uint8_t last_change = 0;
  uint8_t joined_at = kNever;

  bool IsLive(int e) const {
    return HasBit(members, e) && !HasBit(lapsed, kWorkers + e);
  }
};

unsigned InitialMembers(const Scenario& scenario) {
  return scenario.has_second_entry && !scenario.is_second_joining ? 3U : 1U;
}

class Step {
 public:
  Step(const Scenario& scenario, const State& state, std::vector<State>& next)
      : scenario_(scenario), state_(state), next_(next) {
    for (uint8_t size = 0; size <= state_.log_size; ++size) {
      views_[size] = ComputeView(size);
    }
  }

  void AppendAll() {
    Tick();
    for (int e = 0; e < kEntries; ++e) {
      StoreOrExpire(e);
      if (state_.entries[e].process_state == ProcessState::kRunning) {
        Read(e);
        Promise(e);
        Renew(e);
        Lapse(e);
        Stop(e);
      }
    }
    Join();
    Notice();
  }

  const LogView& ViewAt(uint8_t size) const { return views_[size]; }

  LogView ComputeView(uint8_t size) const {
    LogView view{InitialMembers(scenario_)};
    for (uint8_t i = 0; i < size; ++i) {
      const int what = state_.log[i] / kEntries;
      const int author = state_.log[i] % kEntries;
      const bool is_accepted = what == kJoin || view.IsLive(author) ||
                               IsFault(Fault::kLapseOfNonMemberAccepted);
      if (!is_accepted) {
        continue;
      }
      view.last_change = i + 1;
      if (what == kJoin) {
        view.members |= 1U << author;
        view.joined_at = author == kJoiner ? i + 1 : view.joined_at;
      } else if (what == kLeave) {
        view.members &= ~(1U << author);
      } else {
        view.lapsed |= 1U << what;
      }
    }
    return view;
  }

  bool MayRenew(int e, int subject, bool is_lapsed) const {
    const EntryState& entry = state_.entries[e];
    const LogView& view = ViewAt(entry.applied);
    if (!view.IsLive(e) || is_lapsed || entry.tail_age == kNever ||
        !HasBit(scenario_.renewers, e)) {
      return false;
    }
    if (IsTailFresh(Ago(entry.tail_age), kNow, scenario_.settings)) {
      return true;
    }
    if ((HasBit(entry.pending, subject) &&
         !IsFault(Fault::kOwnPendingLapseIgnored)) ||
        (scenario_.has_cap && !IsFault(Fault::kCapIgnoredByRenewer) &&
         !IsWithinOutageCap(Ago(entry.tail_age), kNow, scenario_.settings))) {
      return false;
    }
    int needed = 0;
    int held = 0;
    unsigned excluded = 0;
    for (int g = 0; g < kEntries; ++g) {
      const bool is_needed =
          g != e && (view.IsLive(g) || (g == kJoiner && entry.knows_joiner));
      needed += is_needed ? 1 : 0;
      held += is_needed && entry.promise_ages[g] != kNever ? 1 : 0;
      excluded |= is_needed ? entry.excluded[g] : 0U;
    }
    if (HasBit(excluded, subject) && !IsFault(Fault::kExclusionIgnored)) {
      return false;
    }
    return held == needed || (held > 0 && IsFault(Fault::kOnePromiseIsEnough));
  }

 private:
  bool IsFault(Fault fault) const { return scenario_.fault == fault; }

  void Emit(State state) {
    RemoveIrrelevantExclusions(state);
    if (scenario_.has_requests) {
      const Step after(scenario_, state, next_);
      for (int e = 0; e < kEntries; ++e) {
        if (state.entries[e].process_state == ProcessState::kRunning &&
            after.MayRenew(e, kWorkers + e, false)) {
          state.entries[e].using_for =
              Remaining(kNow + scenario_.settings.maximum_request +
                        scenario_.settings.pause_margin);
        }
      }
    }
    const unsigned all_workers = (1U << scenario_.workers) - 1;
    if (!scenario_.may_lapse_entries &&
        (ViewAt(state_.log_size).lapsed & all_workers) == all_workers) {
      // No lapse is left to author, so promises no longer restrict any entry.
      for (EntryState& entry : state.entries) {
        entry.kept_for = 0;
      }
    }
    next_.push_back(state);
  }

  // An exclusion is irrelevant to an entry that has replayed the lapse, or that
  // does not use promises about the subject.
  void RemoveIrrelevantExclusions(State& state) const {
    for (int e = 0; e < kEntries; ++e) {
      EntryState& entry = state.entries[e];
      const unsigned asked_about =
          ((1U << scenario_.workers) - 1) | 1U << (kWorkers + e);
      const unsigned needed = asked_about & ~ViewAt(entry.applied).lapsed;
      for (uint8_t& excluded : entry.excluded) {
        excluded &= needed;
      }
    }
  }

  static void AdvanceAge(uint8_t& age,
                         uint8_t rate,
                         milliseconds limit,
                         uint8_t last) {
    if (age != kNever) {
      age = age + rate >= limit.count() ? last : age + rate;
    }
  }
  static void CountDown(uint8_t& remaining, uint8_t rate) {
    if (remaining != kNever) {
      remaining = remaining > rate ? remaining - rate : 0;
    }
  }

  void Tick() {
    State state = state_;
    const LeaseSettings& s = scenario_.settings;
    const auto tail = scenario_.has_cap ? s.outage_cap : s.tail_freshness;
    const auto oldest = static_cast<uint8_t>(tail.count());
    for (int e = 0; e < kEntries; ++e) {
      EntryState& entry = state.entries[e];
      const uint8_t rate = scenario_.entry_rates[e];
      AdvanceAge(entry.tail_age, rate, tail, oldest);
      AdvanceAge(entry.read_age, rate, tail, oldest);
      CountDown(entry.kept_for, rate);
      CountDown(entry.full_in, rate);
      CountDown(entry.using_for, rate);
      for (int i = 0; i < kEntries; ++i) {
        AdvanceAge(entry.promise_ages[i], rate, s.promise, kNever);
        entry.excluded[i] &= entry.promise_ages[i] == kNever ? 0 : kAll;
        AdvanceAge(entry.asked[i].age, rate, s.promise + kExtraMessageAge,
                   kNever);
        if (entry.asked[i].age == kNever) {
          entry.asked[i] = Exchange();
        }
      }
    }
    for (uint8_t& remaining : state.complete_in) {
      CountDown(remaining, 1);
    }
    for (WorkerState& worker : state.workers) {
      CountDown(worker.runs_for, scenario_.worker_rate);
      AdvanceAge(worker.answer_age, scenario_.worker_rate,
                 s.renewal + kExtraMessageAge, kNever);
    }
    Emit(state);
  }

  // --- The log ---

  void StoreOrExpire(int e) {
    for (int subject = 0; subject < kJoin; ++subject) {
      const unsigned under_way =
          state_.entries[e].pending & ~state_.entries[e].stored;
      if (HasBit(under_way, subject)) {
        StoreOrExpire(e, subject);
      }
    }
  }

  void StoreOrExpire(int e, int subject) {
    State state = state_;
    state.entries[e].pending &= ~(1U << subject);
    Emit(state);
    // Replay rejects another lapse of the same subject.
    if (state_.log_size < kMaximumRecords &&
        !HasBit(ViewAt(state_.log_size).lapsed, subject)) {
      state.log[state.log_size++] = Record(subject, e);
      if (state.entries[e].process_state != ProcessState::kDead) {
        state.entries[e].pending |= 1U << subject;
        state.entries[e].stored |= 1U << subject;
      }
      Emit(state);
    }
  }

  void Read(int e) {
    State state = state_;
    EntryState& entry = state.entries[e];
    if (!scenario_.slow_reads) {
      Replay(e, state_.log_size, state);
      entry.tail_age = 0;
    } else if (entry.read_age == kNever) {
      entry.read_age = 0;
      entry.read_end = state_.log_size;
    } else {
      Replay(e, entry.read_end, state);
      const uint8_t age =
          IsFault(Fault::kFreshnessFromArrival) ? 0 : entry.read_age;
      entry.tail_age = std::min(entry.tail_age, age);
      entry.read_age = kNever;
      entry.read_end = 0;
    }
    if (!HasBit(scenario_.renewers, e)) {
      entry.tail_age = kNever;
    }
    Emit(state);
  }

  void Replay(int e, uint8_t end, State& state) const {
    EntryState& entry = state.entries[e];
    const LogView& before = ViewAt(entry.applied);
    const LogView& after = ViewAt(end);
    for (int subject = 0; subject < kWorkers + kEntries; ++subject) {
      const bool is_new =
          HasBit(after.lapsed, subject) && !HasBit(before.lapsed, subject);
      if (is_new && (subject < kWorkers || scenario_.has_requests)) {
        state.complete_in[subject] = std::min(state.complete_in[subject],
                                              TicksUntilComplete(e, subject));
      }
    }
    for (uint8_t i = entry.applied; i < end; ++i) {
      const int what = state_.log[i] / kEntries;
      if (what < kJoin && state_.log[i] % kEntries == e) {
        entry.pending &= ~(1U << what);
        entry.stored &= ~(1U << what);
      }
    }
    entry.applied = end;
    if (after.joined_at <= end) {
      entry.knows_joiner = 0;
    }
    if (!before.IsLive(e) && after.IsLive(e)) {
      const bool is_full =
          IsFault(Fault::kJoinerFullAtOnce) ||
          (IsFault(Fault::kRestartedIsFull) && scenario_.may_replace);
      entry.full_in =
          is_full ? 0
          : scenario_.has_cap
              ? Remaining(FullMemberAfterOutageCap(kNow, scenario_.settings))
              : kNever;
    }
    UpdateFullMembership(e, after, entry);
  }

  // Returns the ticks until the lapse is complete by the clock of entry `e`.
  uint8_t TicksUntilComplete(int e, int subject) const {
    LeaseSettings s = scenario_.settings;
    s.tail_freshness *= IsFault(Fault::kNoFreshnessInWait) ? 0 : 1;
    s.pause_margin *= IsFault(Fault::kNoPauseMarginInWait) ? 0 : 1;
    s.maximum_request *= IsFault(Fault::kNoRequestInEntryWait) ? 0 : 1;
    const int wait =
        Remaining(subject < kWorkers ? WorkerLapseCompleteAt(kNow, s)
                                     : EntryLapseCompleteAt(kNow, s));
    const int rate = scenario_.entry_rates[e];
    return static_cast<uint8_t>((wait + rate - 1) / rate);
  }

  void UpdateFullMembership(int e,
                            const LogView& view,
                            EntryState& entry) const {
    bool is_known_to_all = view.IsLive(e);
    for (int m = 0; m < kEntries; ++m) {
      const bool is_replaced =
          scenario_.may_replace && m == kReplaced && view.joined_at != kNever;
      is_known_to_all &= m == e || !view.IsLive(m) || is_replaced ||
                         HasBit(entry.acknowledged_by, m);
    }
    if (is_known_to_all) {
      entry.full_in = 0;
    }
  }

  // --- Promises ---

  void Promise(int e) {
    const LogView& view = ViewAt(state_.entries[e].applied);
    for (int g = 0; g < kEntries; ++g) {
      const bool is_peer =
          view.IsLive(g) || (g == kJoiner && state_.entries[e].knows_joiner);
      if (g == e || !is_peer || !HasBit(scenario_.renewers, e) ||
          state_.entries[g].process_state != ProcessState::kRunning) {
        continue;
      }
      State state = state_;
      Exchange& asked = state.entries[e].asked[g];
      if (!scenario_.slow_promises) {
        if (GivePromise(state.entries[g], e, state.entries[e])) {
          state.entries[e].promise_ages[g] = 0;
          state.entries[e].excluded[g] = Excluded(state.entries[g]);
          Emit(state);
        }
      } else if (asked.age == kNever) {
        asked.age = 0;
        Emit(state);
      } else if (asked.is_answered != 0) {
        const uint8_t since =
            IsFault(Fault::kPromiseFromArrival) ? 0 : asked.age;
        const uint8_t excluded = asked.excluded;
        asked = Exchange();
        uint8_t& age = state.entries[e].promise_ages[g];
        if (IsPromiseLive(Ago(since), kNow, scenario_.settings) &&
            since <= age) {
          age = since;
          state.entries[e].excluded[g] = excluded;
        }
        Emit(state);
      } else if (GivePromise(state.entries[g], e, state.entries[e])) {
        asked.is_answered = 1;
        asked.excluded = Excluded(state.entries[g]);
        Emit(state);
      }
    }
  }

  uint8_t Excluded(const EntryState& responder) const {
    return IsFault(Fault::kPromiseWhileLapsePending) ? 0 : responder.pending;
  }

  bool GivePromise(EntryState& responder,
                   int e,
                   const EntryState& requester) const {
    PromiseConditions conditions{Offset(requester.applied),
                                 Offset(ViewAt(responder.applied).last_change)};
    conditions.requester_knows_joiners =
        responder.knows_joiner == 0 || requester.knows_joiner != 0 ||
        ViewAt(requester.applied).joined_at != kNever;
    conditions.pending_lapses = std::popcount(responder.pending);
    conditions.most_exclusions = kMaximumExclusions;
    conditions.is_requester_pending =
        HasBit(responder.pending, kWorkers + e) &&
        !IsFault(Fault::kPromiseToPendingRequester);
    if (IsFault(Fault::kPromiseToLaggingRequester)) {
      conditions.last_change = Offset();
      conditions.requester_knows_joiners = true;
    }
    if (FindPromiseRefusal(conditions)) {
      return false;
    }
    const bool is_forgotten =
        IsFault(Fault::kPromiseNotKept) ||
        (IsFault(Fault::kExcludingPromiseNotKept) && responder.pending != 0);
    if (!is_forgotten) {
      responder.kept_for =
          std::max(responder.kept_for,
                   Remaining(PromiseKeptUntil(kNow, scenario_.settings)));
    }
    return true;
  }

  // --- Leases ---

  void Renew(int e) {
    const LogView& view = ViewAt(state_.entries[e].applied);
    const LeaseSettings& s = scenario_.settings;
    for (int w = 0; w < scenario_.workers; ++w) {
      State state = state_;
      WorkerState& worker = state.workers[w];
      uint8_t age = 0;
      if (scenario_.slow_renewals && worker.answer_age != kNever) {
        age = IsFault(Fault::kRenewalFromArrival) ? 0 : worker.answer_age;
        worker.answer_age = kNever;
      } else if (!MayRenew(e, w, HasBit(view.lapsed, w))) {
        continue;
      } else if (scenario_.slow_renewals) {
        worker.answer_age = 0;
        Emit(state);
        continue;
      }
      const Instant until = RenewedUntil(Ago(age), s);
      if (until > kNow) {
        worker.runs_for =
            std::max(worker.runs_for, Remaining(until + s.pause_margin));
      }
      Emit(state);
    }
  }

  void Lapse(int e) {
    const EntryState& entry = state_.entries[e];
    const LogView& view = ViewAt(entry.applied);
    if (!view.IsLive(e) || entry.kept_for != 0 ||
        (entry.pending != 0 && !scenario_.may_lapse_two)) {
      return;
    }
    for (int subject = 0; subject < kWorkers + kEntries; ++subject) {
      // Another record of an accepted lapse would only restrict its author.
      if (MayLapse(e, subject) && !HasBit(entry.pending, subject) &&
          !HasBit(ViewAt(state_.log_size).lapsed, subject)) {
        State state = state_;
        state.entries[e].pending |= 1U << subject;
        Emit(state);
      }
    }
  }

  bool MayLapse(int e, int subject) const {
    const bool is_full = state_.entries[e].full_in == 0;
    if (!HasBit(scenario_.may_author[e], subject)) {
      return false;
    }
    if (subject < kWorkers) {
      return is_full && subject < scenario_.workers;
    }
    const int other = subject - kWorkers;
    const unsigned members = ViewAt(state_.entries[e].applied).members;
    const bool is_gone =
        state_.entries[other].process_state == ProcessState::kDead ||
        IsFault(Fault::kFalseRetirement);
    const bool is_retired = scenario_.may_retire && e == kJoiner && is_gone;
    return other != e && HasBit(members, other) &&
           (is_retired || (scenario_.may_lapse_entries && is_full));
  }

  // --- Members ---

  void Stop(int e) {
    const EntryState& entry = state_.entries[e];
    EntryState dead;
    dead.process_state = ProcessState::kDead;
    dead.pending = entry.pending & ~entry.stored;
    if (scenario_.may_crash) {
      State state = state_;
      state.entries[e] = dead;
      state.entries[e].using_for = entry.using_for;
      Emit(state);
    }
    if (scenario_.may_leave && state_.log_size < kMaximumRecords) {
      State state = state_;
      state.entries[e] = dead;
      state.log[state.log_size++] = Record(kLeave, e);
      Emit(state);
    }
  }

  void Join() {
    const bool may_join =
        scenario_.may_join ||
        (scenario_.may_replace &&
         state_.entries[kReplaced].process_state == ProcessState::kDead);
    if (may_join &&
        state_.entries[kJoiner].process_state == ProcessState::kAbsent &&
        state_.log_size < kMaximumRecords) {
      State state = state_;
      state.entries[kJoiner].process_state = ProcessState::kRunning;
      state.log[state.log_size++] = Record(kJoin, kJoiner);
      Emit(state);
    }
  }

  void Notice() {
    const EntryState& joiner = state_.entries[kJoiner];
    const LogView& view = ViewAt(joiner.applied);
    if (joiner.process_state != ProcessState::kRunning ||
        !view.IsLive(kJoiner) || joiner.full_in == 0) {
      return;
    }
    for (int m = 0; m < kJoiner; ++m) {
      if (state_.entries[m].process_state != ProcessState::kRunning ||
          !view.IsLive(m)) {
        continue;
      }
      State state = state_;
      EntryState& member = state.entries[m];
      EntryState& joiner_state = state.entries[kJoiner];
      member.knows_joiner = member.applied < view.joined_at ? 1 : 0;
      joiner_state.acknowledged_by |= 1U << m;
      const bool is_member_full =
          member.full_in == 0 && ViewAt(member.applied).IsLive(m);
      if (is_member_full || IsFault(Fault::kJoinerAcknowledgedByJoiner)) {
        const uint8_t full_in = IsFault(Fault::kJoinerFullOnAcknowledgement)
                                    ? 0
                                    : Remaining(FullMemberAfterAcknowledgement(
                                          kNow, scenario_.settings));
        joiner_state.full_in = std::min(joiner_state.full_in, full_in);
      }
      UpdateFullMembership(kJoiner, view, joiner_state);
      Emit(state);
    }
  }

  const Scenario& scenario_;
  const State& state_;
  std::vector<State>& next_;
  std::array<LogView, kMaximumRecords + 1> views_;
};

}  // namespace

State Start(const Scenario& scenario) {
  State state;
  for (int e = 0; e < (scenario.has_second_entry ? 2 : 1); ++e) {
    EntryState& entry = state.entries[e];
    entry.process_state = ProcessState::kRunning;
    entry.tail_age = HasBit(scenario.renewers, e) ? 0 : kNever;
    entry.full_in = 0;
  }
  if (scenario.is_second_joining) {
    state.log[state.log_size++] = Record(kJoin, 1);
    state.entries[1].applied = state.log_size;
    state.entries[1].full_in = kNever;
  }
  return state;
}

void AppendNext(const Scenario& scenario,
                const State& state,
                std::vector<State>& next) {
  Step(scenario, state, next).AppendAll();
}

bool IsUnsafe(const State& state) {
  for (int subject = 0; subject < kWorkers + kEntries; ++subject) {
    const int remaining = subject < kWorkers
                              ? state.workers[subject].runs_for
                              : state.entries[subject - kWorkers].using_for;
    if (remaining > 0 && state.complete_in[subject] == 0) {
      return true;
    }
  }
  return false;
}

}  // namespace papayadrift::lease::model
