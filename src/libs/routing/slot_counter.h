#ifndef PAPAYADRIFT_ROUTING_SLOT_COUNTER_H_
#define PAPAYADRIFT_ROUTING_SLOT_COUNTER_H_

#include <atomic>
#include <cstdint>

#include "base/instant.h"

namespace papayadrift::routing {

// Number of slots of a runner that an entry may use, and until when it may
// acquire them.
struct SlotLimit {
  static constexpr Instant kNoExpiry = Instant::max();

  int32_t slots = 0;
  Instant until = kNoExpiry;

  friend bool operator==(const SlotLimit&, const SlotLimit&) = default;
};

// Counts the slots of one runner that this entry uses, against its limit. Limit
// and usage share one atomic word: no slot is acquired beyond the current
// limit, nor after its expiry, even if the limit has not been lowered since.
// Thread-safe; never blocks.
class SlotCounter {
 public:
  static constexpr int32_t kMaximumSlots = 0xffff;

  SlotCounter() = default;
  SlotCounter(const SlotCounter&) = delete;
  SlotCounter& operator=(const SlotCounter&) = delete;

  // Sets the limit, at most kMaximumSlots. After this returns, no slot is
  // acquired beyond it; excess slots in use can only be released.
  void SetLimit(const SlotLimit& limit);
  // Like SetLimit() if no more slots are in use than `limit` allows; otherwise
  // changes nothing and returns false.
  bool TrySetLimit(const SlotLimit& limit);

  // Acquires a slot at `now`; returns whether one was free.
  bool TryAcquire(Instant now);
  void Release();

  int32_t limit() const;
  int32_t in_use() const;
  bool HasFreeSlot(Instant now) const;

 private:
  std::atomic<uint64_t> word_{0};  // Expiry of the limit, limit, slots in use.
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SLOT_COUNTER_H_
