#ifndef PAPAYADRIFT_ROUTING_SLOT_COUNTER_H_
#define PAPAYADRIFT_ROUTING_SLOT_COUNTER_H_

#include <atomic>
#include <cstdint>

#include "base/instant.h"

namespace papayadrift::routing {

// Slots of a runner that an entry may use, and until when it may take them.
struct SlotLimit {
  static constexpr Instant kNoExpiry = Instant::max();

  int32_t slots = 0;
  Instant until = kNoExpiry;

  friend bool operator==(const SlotLimit&, const SlotLimit&) = default;
};

// Counts the slots of one runner that this entry uses, against what it may
// use. Allowance and use live in one word: no slot is taken above the
// limit that holds at that instant, nor after its end, also when nobody
// has lowered it since. Safe to limit between threads; never blocks.
class SlotCounter {
 public:
  static constexpr int32_t kMaximumSlots = 0xffff;

  SlotCounter() = default;
  SlotCounter(const SlotCounter&) = delete;
  SlotCounter& operator=(const SlotCounter&) = delete;

  // Sets what may be used, at most kMaximumSlots. Once this has returned
  // nothing is taken above it; slots in use beyond it are only given back.
  void SetLimit(const SlotLimit& limit);
  // The same if the use is within it; otherwise changes nothing and returns
  // false.
  bool TrySetLimit(const SlotLimit& limit);

  // Takes a slot at `now`; returns whether there was one.
  bool TryAcquire(Instant now);
  void Release();

  int32_t limit() const;
  int32_t in_use() const;
  bool HasFreeSlot(Instant now) const;

 private:
  std::atomic<uint64_t> word_{0};  // End of the limit, slots, use.
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SLOT_COUNTER_H_
