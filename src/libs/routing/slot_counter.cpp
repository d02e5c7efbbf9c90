#include "routing/slot_counter.h"

#include <algorithm>
#include <cassert>

namespace papayadrift::routing {

namespace {

constexpr int kSlotsShift = 16;
constexpr int kExpiryShift = 32;
constexpr uint64_t kCountMask = 0xffff;
// Expiry times are stored as the lower 32 bits of milliseconds. Comparisons are
// valid as long as both times differ by less than half of the range, 24 days.
constexpr uint32_t kNoExpiryMark = 0;

uint32_t MillisecondsOf(Instant instant) {
  return static_cast<uint32_t>(
      std::chrono::floor<milliseconds>(instant).time_since_epoch().count());
}

uint64_t WordOf(const SlotLimit& limit) {
  const auto slots = static_cast<uint64_t>(
      std::clamp(limit.slots, 0, SlotCounter::kMaximumSlots));
  uint32_t end = kNoExpiryMark;
  if (limit.until != SlotLimit::kNoExpiry) {
    end = MillisecondsOf(limit.until);
    end = end == kNoExpiryMark ? end - 1 : end;
  }
  return static_cast<uint64_t>(end) << kExpiryShift | slots << kSlotsShift;
}

uint64_t SlotsOf(uint64_t word) {
  return word >> kSlotsShift & kCountMask;
}

uint64_t UseOf(uint64_t word) {
  return word & kCountMask;
}

bool HasFreeSlotAt(uint64_t word, Instant now) {
  const auto end = static_cast<uint32_t>(word >> kExpiryShift);
  const bool is_over = end != kNoExpiryMark &&
                       static_cast<int32_t>(end - MillisecondsOf(now)) <= 0;
  return !is_over && UseOf(word) < SlotsOf(word);
}

}  // namespace

void SlotCounter::SetLimit(const SlotLimit& limit) {
  const uint64_t wanted = WordOf(limit);
  uint64_t word = word_.load();
  while (!word_.compare_exchange_weak(word, wanted | UseOf(word))) {
  }
}

bool SlotCounter::TrySetLimit(const SlotLimit& limit) {
  const uint64_t wanted = WordOf(limit);
  uint64_t word = word_.load();
  while (UseOf(word) <= SlotsOf(wanted)) {
    if (word_.compare_exchange_weak(word, wanted | UseOf(word))) {
      return true;
    }
  }
  return false;
}

bool SlotCounter::TryAcquire(Instant now) {
  uint64_t word = word_.load();
  while (HasFreeSlotAt(word, now)) {
    if (word_.compare_exchange_weak(word, word + 1)) {
      return true;
    }
  }
  return false;
}

void SlotCounter::Release() {
  [[maybe_unused]] const uint64_t before = word_.fetch_sub(1);
  assert(UseOf(before) > 0);
}

int32_t SlotCounter::limit() const {
  return static_cast<int32_t>(SlotsOf(word_.load()));
}

int32_t SlotCounter::in_use() const {
  return static_cast<int32_t>(UseOf(word_.load()));
}

bool SlotCounter::HasFreeSlot(Instant now) const {
  return HasFreeSlotAt(word_.load(), now);
}

}  // namespace papayadrift::routing
