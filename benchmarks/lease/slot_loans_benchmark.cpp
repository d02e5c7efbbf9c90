// Measures the effect of lending idle slots between entries, by counting
// requests in simulated time: four entries, eleven runners of eight slots,
// requests of 20 ms on average that are refused after 50 ms without a slot,
// messages of 1 ms.

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <random>
#include <string>
#include <vector>

#include "bounds.h"
#include "membership/slot_loans.h"
#include "membership/slot_shares.h"
#include "peer_protocol/codec.h"

namespace papayadrift::membership {
namespace {

constexpr size_t kEntries = 4;
constexpr size_t kRunners = 11;
constexpr RunnerShare kTotal{8, 64};
constexpr double kMeanServiceMicroseconds = 20'000;
constexpr microseconds kSlotWaitLimit = milliseconds(50);
constexpr microseconds kMessageDelay = milliseconds(1);
constexpr microseconds kWaitBeforeRequest = milliseconds(10);
constexpr microseconds kRequestPeriod = milliseconds(2);
constexpr microseconds kMaximumRequestPeriod = milliseconds(64);
constexpr microseconds kReturnPeriod = milliseconds(20);
constexpr int32_t kSlotsPerLoan = 2;
constexpr size_t kRequestsAtOnce = 4;
constexpr int64_t kSeconds = 20;
constexpr microseconds kDuration = seconds(kSeconds);
// Maximum control traffic of a node.
constexpr double kMaximumBytesPerSecond = 20'000;

enum class Policy { kShares, kLoans, kPooled };

struct Results {
  uint64_t requests = 0;
  uint64_t refused = 0;
  uint64_t messages = 0;    // Loan messages.
  uint64_t bytes = 0;       // Size of all loan messages.
  int32_t most_in_use = 0;  // Maximum slots in use at one runner.

  double RefusedPermille() const {
    return 1000.0 * static_cast<double>(refused) /
           static_cast<double>(requests);
  }
};

struct Entry {
  MemberKey key;
  SlotLoans loans;
  std::array<int32_t, kRunners> shares{};
  std::array<int32_t, kRunners> in_use{};
  std::deque<Instant> waiting;  // Arrival times.
  Instant next_request_at;
  microseconds request_period = kRequestPeriod;  // Doubles while no peer lends.
  size_t request_count = 0;
};

class Simulation {
 public:
  Simulation(Policy policy, double load, std::array<double, kEntries> weights)
      : policy_(policy), weights_(weights) {
    arrivals_per_microsecond_ =
        load * kRunners * kTotal.slots / kMeanServiceMicroseconds;
    std::vector<ShareMember> members;
    for (size_t e = 0; e < kEntries; ++e) {
      members.push_back(
          {{EntryId("e" + std::to_string(e)), Incarnation(1)}, false, true});
    }
    for (const ShareMember& member : members) {
      Entry entry{member.key, {member.key, {}}};
      for (size_t r = 0; r < kRunners; ++r) {
        entry.shares[r] =
            ShareOf(member.key, RunnerName(r), kTotal, members).slots;
      }
      entries_.push_back(std::move(entry));
    }
  }

  Results Run() {
    for (size_t e = 0; e < kEntries; ++e) {
      Arrive(e);
      After(kReturnPeriod, [this, e] { ReturnAll(e); });
    }
    while (!events_.empty() && events_.begin()->first < Instant(kDuration)) {
      now_ = events_.begin()->first;
      const auto run = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      run();
    }
    return results_;
  }

 private:
  static const std::string& RunnerName(size_t r) {
    static const std::vector<std::string> names_of_all = [] {
      std::vector<std::string> names;
      for (size_t i = 0; i < kRunners; ++i) {
        names.push_back("10.0.0." + std::to_string(i) + ":80");
      }
      return names;
    }();
    return names_of_all[r];
  }

  void After(microseconds delay, std::function<void()> run) {
    events_.emplace(now_ + delay, std::move(run));
  }

  microseconds Exponential(double mean) {
    return microseconds(static_cast<int64_t>(
        std::exponential_distribution<double>(1 / mean)(random_)));
  }

  void Arrive(size_t e) {
    const double rate = arrivals_per_microsecond_ * weights_[e];
    After(Exponential(1 / rate), [this, e] {
      ++results_.requests;
      entries_[e].waiting.push_back(now_);
      Serve(e);
      Arrive(e);
    });
  }

  int32_t InUse(size_t r) const {
    int32_t sum = 0;
    for (const Entry& entry : entries_) {
      sum += entry.in_use[r];
    }
    return sum;
  }

  int32_t Free(const Entry& entry, size_t r) const {
    if (policy_ == Policy::kPooled) {
      return kTotal.slots - InUse(r);
    }
    return entry.loans.Allowed(RunnerName(r), entry.shares[r], now_) -
           entry.in_use[r];
  }

  size_t FreestRunner(const Entry& entry) const {
    size_t freest = 0;
    for (size_t r = 1; r < kRunners; ++r) {
      freest = Free(entry, r) > Free(entry, freest) ? r : freest;
    }
    return freest;
  }

  void Serve(size_t e) {
    Entry& entry = entries_[e];
    while (!entry.waiting.empty()) {
      if (now_ - entry.waiting.front() > kSlotWaitLimit) {
        ++results_.refused;
        entry.waiting.pop_front();
        continue;
      }
      const size_t r = FreestRunner(entry);
      if (Free(entry, r) <= 0) {
        Borrow(e);
        return;
      }
      entry.waiting.pop_front();
      ++entry.in_use[r];
      results_.most_in_use = std::max(results_.most_in_use, InUse(r));
      After(Exponential(kMeanServiceMicroseconds), [this, e, r] {
        --entries_[e].in_use[r];
        Serve(e);
        Return(e, r);
        for (size_t i = 1; i < kEntries; ++i) {
          Serve((e + i) % kEntries);
        }
      });
    }
  }

  void Count(const peer_protocol::Message& message) {
    ++results_.messages;
    results_.bytes += peer_protocol::Encode(message).size();
  }

  // Requests slots from the peers in turn, for the runners in turn.
  void Borrow(size_t e) {
    Entry& entry = entries_[e];
    if (policy_ != Policy::kLoans || now_ < entry.next_request_at ||
        now_ - entry.waiting.front() < kWaitBeforeRequest) {
      return;
    }
    entry.next_request_at = now_ + entry.request_period;
    entry.request_period =
        std::min(2 * entry.request_period, kMaximumRequestPeriod);
    for (size_t i = 0; i < std::min(entry.waiting.size(), kRequestsAtOnce);
         ++i) {
      const size_t peer =
          (e + 1 + entry.request_count % (kEntries - 1)) % kEntries;
      const size_t r = entry.request_count / (kEntries - 1) % kRunners;
      ++entry.request_count;
      const SlotLoanRequest request =
          entry.loans.Ask(RunnerName(r), kSlotsPerLoan, now_);
      Count(request);
      After(kMessageDelay,
            [this, e, peer, r, request] { Lend(peer, e, r, request); });
    }
  }

  void Lend(size_t e,
            size_t borrower,
            size_t r,
            const SlotLoanRequest& request) {
    Entry& entry = entries_[e];
    // An entry with waiting requests needs its whole share itself.
    const int32_t needed =
        entry.waiting.empty() ? entry.in_use[r] : entry.shares[r];
    const auto loan =
        entry.loans.OnRequest(request, entry.shares[r], needed, now_);
    if (!loan) {
      return;
    }
    Count(*loan);
    After(kMessageDelay, [this, borrower, loan] {
      entries_[borrower].loans.OnLoan(*loan);
      entries_[borrower].request_period = kRequestPeriod;
      Serve(borrower);
    });
  }

  void Return(size_t e, size_t r) {
    Entry& entry = entries_[e];
    for (const LoanToReturn& it : entry.loans.ReturnUnneeded(
             RunnerName(r), entry.shares[r], entry.in_use[r], now_)) {
      Count(it.message);
      After(kMessageDelay, [this, it] {
        const auto lender = std::ranges::find(entries_, it.lender, &Entry::key);
        lender->loans.OnReturn(it.message);
        Serve(static_cast<size_t>(lender - entries_.begin()));
      });
    }
  }

  void ReturnAll(size_t e) {
    entries_[e].loans.OnTime(now_);
    for (size_t r = 0; r < kRunners; ++r) {
      Return(e, r);
    }
    After(kReturnPeriod, [this, e] { ReturnAll(e); });
  }

  const Policy policy_;
  const std::array<double, kEntries> weights_;
  double arrivals_per_microsecond_ = 0;
  pcg64 random_{20261204};
  Instant now_;
  std::vector<Entry> entries_;
  std::multimap<Instant, std::function<void()>> events_;
  Results results_;
};

// Loans must at least halve the refusals caused by uneven load, must not add
// any at even load, must stay within a node's limit on control traffic, and
// must never use more slots than a runner has.
void Compare(const std::string& name,
             double load,
             std::array<double, kEntries> weights,
             double maximum_ratio,
             Bounds& bounds) {
  const Results shares = Simulation(Policy::kShares, load, weights).Run();
  const Results loans = Simulation(Policy::kLoans, load, weights).Run();
  const Results pooled = Simulation(Policy::kPooled, load, weights).Run();
  const std::string prefix = "slot_loans_" + name;
  bounds.Show(prefix + "_refused_with_shares", shares.RefusedPermille(),
              "permille");
  bounds.Show(prefix + "_refused_if_pooled", pooled.RefusedPermille(),
              "permille");
  bounds.AtMost(prefix + "_refused", loans.RefusedPermille(), "permille",
                maximum_ratio * shares.RefusedPermille());
  bounds.AtMost(prefix + "_sent",
                static_cast<double>(loans.bytes) / kEntries / kSeconds,
                "bytes/s/entry", kMaximumBytesPerSecond);
  bounds.AtMost(prefix + "_most_in_use", loans.most_in_use, "slots",
                kTotal.slots);
}

}  // namespace
}  // namespace papayadrift::membership

int main() {
  using papayadrift::membership::Compare;
  papayadrift::Bounds bounds;
  Compare("even_090", 0.9, {0.25, 0.25, 0.25, 0.25}, 1.0, bounds);
  Compare("uneven_070", 0.7, {0.55, 0.15, 0.15, 0.15}, 0.5, bounds);
  Compare("uneven_090", 0.9, {0.55, 0.15, 0.15, 0.15}, 0.5, bounds);
  Compare("one_entry_060", 0.6, {0.97, 0.01, 0.01, 0.01}, 0.5, bounds);
  return bounds.has_failed() ? 1 : 0;
}
