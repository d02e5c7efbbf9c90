#ifndef PAPAYADRIFT_ROUTING_SLOT_ACCOUNT_H_
#define PAPAYADRIFT_ROUTING_SLOT_ACCOUNT_H_

#include <atomic>
#include <cstdint>

#include "base/instant.h"

namespace papayadrift::routing {

// Slots of a runner that an entry may use, and until when it may take them.
struct SlotAllowance {
  static constexpr Instant kNoEnd = Instant::max();

  int32_t slots = 0;
  Instant until = kNoEnd;

  friend bool operator==(const SlotAllowance&, const SlotAllowance&) = default;
};

// Counts the slots of one runner that this entry uses, against what it may
// use. Allowance and use live in one word: no slot is taken above the
// allowance that holds at that instant, nor after its end, also when nobody
// has lowered it since. Safe to share between threads; never blocks.
class SlotAccount {
 public:
  static constexpr int32_t kMaximumSlots = 0xffff;

  SlotAccount() = default;
  SlotAccount(const SlotAccount&) = delete;
  SlotAccount& operator=(const SlotAccount&) = delete;

  // Sets what may be used, at most kMaximumSlots. Once this has returned
  // nothing is taken above it; slots in use beyond it are only given back.
  void Allow(const SlotAllowance& allowance);
  // The same if the use is within it; otherwise changes nothing and returns
  // false.
  bool TryAllow(const SlotAllowance& allowance);

  // Takes a slot at `now`; returns whether there was one.
  bool TryTake(Instant now);
  void GiveBack();

  int32_t share() const;
  int32_t in_use() const;
  bool HasFree(Instant now) const;

 private:
  std::atomic<uint64_t> word_{0};  // End of the allowance, slots, use.
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SLOT_ACCOUNT_H_
