#include "membership/slot_shares.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace papayadrift::membership {
namespace {

// Returns a number from `low` to before `end`, all as likely at any test size.
template <typename T>
T Pick(T low, T end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, end));
}

constexpr RunnerShare kTotal{8, 64};
constexpr size_t kMaximumEntries = 5;

MemberKey Key(size_t n) {
  return {EntryId("e" + std::to_string(n)), Incarnation(1)};
}

enum class What { kJoined, kAcknowledged, kLapsed, kGone };

struct LogRecord {
  What what;
  size_t entry;
  size_t generation;  // Of kAcknowledged: number of records it has seen.
};

// The members after a prefix of the log, by the rule that replay follows.
class Table {
 public:
  explicit Table(const std::vector<LogRecord>& log, size_t size) {
    for (size_t i = 0; i < size; ++i) {
      Apply(log[i], i + 1);
    }
  }
  std::vector<ShareMember> members;
  std::vector<size_t> joined;
  std::vector<size_t> acknowledged;

  size_t IndexOf(size_t entry) const {
    return std::ranges::find(members, Key(entry), &ShareMember::key) -
           members.begin();
  }

 private:
  void Apply(const LogRecord& record, size_t offset) {
    const size_t i = IndexOf(record.entry);
    if (record.what == What::kJoined) {
      members.push_back({Key(record.entry)});
      joined.push_back(offset);
      acknowledged.push_back(offset);
    } else if (record.what == What::kAcknowledged && !members[i].is_lapsed) {
      acknowledged[i] = std::max(acknowledged[i], record.generation);
    } else if (record.what == What::kLapsed) {
      members[i].is_lapsed = true;
    } else if (record.what == What::kGone) {
      const auto n = static_cast<std::ptrdiff_t>(i);
      members.erase(members.begin() + n);
      joined.erase(joined.begin() + n);
      acknowledged.erase(acknowledged.begin() + n);
    }
    Promote(offset);
  }
  void Promote(size_t offset) {
    for (size_t j = 0; j < members.size(); ++j) {
      bool is_known = !members[j].was_full && !members[j].is_lapsed;
      for (size_t i = 0; i < members.size(); ++i) {
        is_known &=
            i == j || !members[i].was_full || acknowledged[i] >= joined[j];
      }
      if (is_known) {
        members[j].was_full = true;
        acknowledged[j] = offset;
      }
    }
  }
};

struct Process {
  size_t applied = 0;
  int32_t in_use = 0;
  bool has_stopped = false;
};

// Entries with prefixes of one log and requests on one runner.
class Region {
 public:
  void Step() {
    if (processes_.empty() ||
        (processes_.size() < kMaximumEntries && Pick(0, 6) == 0)) {
      log_.push_back({What::kJoined, processes_.size(), 0});
      processes_.push_back({log_.size()});
      return;
    }
    const auto n = Pick<size_t>(0, processes_.size());
    Process& process = processes_[n];
    switch (Pick(0, 8)) {
      case 0:
      case 1:
        process.applied = Pick(process.applied, log_.size() + 1);
        return;
      case 2:
        process.in_use = Pick(0, process.in_use + 1);
        return;
      case 3:
        return Acknowledge(n);
      case 4:
        return Remove(n, *rc::gen::arbitrary<bool>());
      default:
        process.in_use = std::max(process.in_use, Allowed(n).slots);
    }
  }

  void Settle() {
    for (size_t round = 0; round < 2; ++round) {
      for (size_t n = 0; n < processes_.size(); ++n) {
        processes_[n].applied = log_.size();
        processes_[n].in_use = 0;
        if (Now().IndexOf(n) < Now().members.size() &&
            Now().members[Now().IndexOf(n)].is_lapsed) {
          Remove(n, false);
        }
        Acknowledge(n);
      }
    }
    for (Process& process : processes_) {
      process.applied = log_.size();
    }
  }

  int32_t InUse() const {
    return std::accumulate(
        processes_.begin(), processes_.end(), 0,
        [](int32_t sum, const Process& p) { return sum + p.in_use; });
  }
  RunnerShare SumOfShares() const {
    RunnerShare sum;
    for (size_t n = 0; n < processes_.size(); ++n) {
      sum.slots += Allowed(n).slots;
      sum.connections += Allowed(n).connections;
    }
    return sum;
  }
  bool HasMembers() const { return !Now().members.empty(); }

 private:
  Table Now() const { return Table(log_, log_.size()); }
  RunnerShare Allowed(size_t n) const {
    const Process& process = processes_[n];
    return process.has_stopped ? RunnerShare()
                               : ShareOf(Key(n), "10.0.0.1:80", kTotal,
                                         Table(log_, process.applied).members);
  }
  void Acknowledge(size_t n) {
    const RunnerShare allowed = Allowed(n);
    const Process& process = processes_[n];
    if (!process.has_stopped &&
        IsWithinShares({{{process.in_use, 0}, allowed}})) {
      log_.push_back({What::kAcknowledged, n, process.applied});
    }
  }
  // Leaves or is retired without a request in flight, else lapses.
  void Remove(size_t n, bool by_itself) {
    const Table now = Now();
    const size_t i = now.IndexOf(n);
    if (i == now.members.size()) {
      return;
    }
    if (processes_[n].in_use == 0 && (by_itself || now.members[i].is_lapsed)) {
      processes_[n].has_stopped = true;
      log_.push_back({What::kGone, n, 0});
    } else {
      log_.push_back({What::kLapsed, n, 0});
    }
  }

  std::vector<LogRecord> log_;
  std::vector<Process> processes_;
};

RC_GTEST_PROP(SlotSharesTest,
              EntriesWithAnyPrefixesNeverUseMoreThanThereIs,
              ()) {
  Region region;
  for (int i = 0; i < 150; ++i) {
    region.Step();
    RC_ASSERT(region.InUse() <= kTotal.slots);
  }
  region.Settle();
  RC_ASSERT(!region.HasMembers() || region.SumOfShares() == kTotal);
}

RC_GTEST_PROP(SlotSharesTest, AMemberMoreNeverGivesAnyoneMore, ()) {
  const auto count = Pick<size_t>(1, 20);
  const RunnerShare total{Pick(0, 30), Pick(0, 99)};
  std::vector<ShareMember> members;
  for (size_t n = 0; n < count; ++n) {
    members.push_back({Key(n), false, true});
  }
  std::vector<ShareMember> more = members;
  more.push_back({Key(count), false, false});
  for (const ShareMember& member : members) {
    const RunnerShare before = ShareOf(member.key, "r", total, members);
    const RunnerShare after = ShareOf(member.key, "r", total, more);
    RC_ASSERT(after.slots <= before.slots);
    RC_ASSERT(after.connections <= before.connections);
  }
}

}  // namespace
}  // namespace papayadrift::membership
