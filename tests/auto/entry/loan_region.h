#ifndef PAPAYADRIFT_TESTS_ENTRY_LOAN_REGION_H_
#define PAPAYADRIFT_TESTS_ENTRY_LOAN_REGION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "base/clock.h"
#include "entry/loan_driver.h"
#include "lease/lease_settings.h"
#include "membership/slot_shares.h"
#include "routing/slot_counter.h"

namespace papayadrift::entry {

// Parts of the rule that a test may leave out, to see that they are needed.
struct LoanRules {
  bool allowances_end = true;  // By themselves, also while an entry is frozen.
  bool waits_for_lent_to_leave = true;

  friend bool operator==(const LoanRules&, const LoanRules&) = default;
};

inline constexpr membership::RunnerShare kRunnerTotal{8, 64};

// Entries with loan drivers and slot accounts, prefixes of one log, and two
// runners. Messages are lost, repeated and late; entries join, leave, die,
// freeze and lose each other; clocks are off by up to 5 %. What the runners
// work on is counted by the runners.
class LoanRegion {
 public:
  LoanRegion(uint64_t seed, LoanRules rules);
  ~LoanRegion();
  LoanRegion(const LoanRegion&) = delete;
  LoanRegion& operator=(const LoanRegion&) = delete;

  void Step();
  // Ends all faults and lets everything settle.
  void Settle();

  // The most that a runner works on now.
  int32_t MostInUse() const;
  // What all entries together may use of each runner, and have lent.
  std::vector<int32_t> AllowedSums() const;
  int32_t LentSum() const;
  bool HasLiveMembers() const;
  int loans() const { return loans_; }

 private:
  enum class What { kJoined, kAcknowledged, kLapsed, kGone };
  struct LogRecord {
    What what;
    size_t entry;
    size_t generation = 0;  // Of kAcknowledged: records it has seen.
  };
  class Table;
  struct Node;
  struct Message {
    size_t from;
    size_t to;
    peer_protocol::Message message;
  };
  struct Request {
    size_t runner;
    size_t node;
    int64_t end;  // True milliseconds.
    bool is_given_back = false;
  };

  uint32_t Pick(uint32_t end) { return random_(end); }
  void Advance(int64_t true_milliseconds);
  void Join();
  void Act(size_t n);
  void Read(size_t n);
  void Publish(Node& node);
  void Tick(Node& node);
  void Take(size_t n);
  void GiveBack();
  void Acknowledge(size_t n);
  void Leave(size_t n);
  void Lapse(size_t n);
  void LapseFrozen();
  void Retire(size_t n);
  void Deliver();
  LoanPort PortOf(size_t n);
  Table Prefix(size_t size) const;
  membership::RunnerShare ShareOf(size_t n, size_t runner) const;
  int32_t InUseAt(size_t runner) const;

  pcg32 random_;
  const LoanRules rules_;
  // In true milliseconds; with short ones much happens within one request.
  const uint32_t longest_step_;
  int64_t now_ = 0;  // True milliseconds.
  std::vector<LogRecord> log_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Message> sent_;
  std::vector<Request> requests_;
  bool has_faults_ = true;
  int loans_ = 0;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_TESTS_ENTRY_LOAN_REGION_H_
