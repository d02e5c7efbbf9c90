#include "routing/slot_account.h"

#include <algorithm>
#include <cassert>

namespace papayadrift::routing {

namespace {

constexpr int kSlotsShift = 16;
constexpr int kEndShift = 32;
constexpr uint64_t kCountMask = 0xffff;
// Ends are kept in milliseconds, of which only the lower bits; they lie less
// than half of their range, 24 days, from the instants that they meet.
constexpr uint32_t kNoEndMark = 0;

uint32_t MillisecondsOf(Instant instant) {
  return static_cast<uint32_t>(
      std::chrono::floor<milliseconds>(instant).time_since_epoch().count());
}

uint64_t WordOf(const SlotAllowance& allowance) {
  const auto slots = static_cast<uint64_t>(
      std::clamp(allowance.slots, 0, SlotAccount::kMaximumSlots));
  uint32_t end = kNoEndMark;
  if (allowance.until != SlotAllowance::kNoEnd) {
    end = MillisecondsOf(allowance.until);
    end = end == kNoEndMark ? end - 1 : end;
  }
  return static_cast<uint64_t>(end) << kEndShift | slots << kSlotsShift;
}

uint64_t SlotsOf(uint64_t word) {
  return word >> kSlotsShift & kCountMask;
}

uint64_t UseOf(uint64_t word) {
  return word & kCountMask;
}

bool HasFreeAt(uint64_t word, Instant now) {
  const auto end = static_cast<uint32_t>(word >> kEndShift);
  const bool is_over =
      end != kNoEndMark && static_cast<int32_t>(end - MillisecondsOf(now)) <= 0;
  return !is_over && UseOf(word) < SlotsOf(word);
}

}  // namespace

void SlotAccount::Allow(const SlotAllowance& allowance) {
  const uint64_t wanted = WordOf(allowance);
  uint64_t word = word_.load();
  while (!word_.compare_exchange_weak(word, wanted | UseOf(word))) {
  }
}

bool SlotAccount::TryAllow(const SlotAllowance& allowance) {
  const uint64_t wanted = WordOf(allowance);
  uint64_t word = word_.load();
  while (UseOf(word) <= SlotsOf(wanted)) {
    if (word_.compare_exchange_weak(word, wanted | UseOf(word))) {
      return true;
    }
  }
  return false;
}

bool SlotAccount::TryTake(Instant now) {
  uint64_t word = word_.load();
  while (HasFreeAt(word, now)) {
    if (word_.compare_exchange_weak(word, word + 1)) {
      return true;
    }
  }
  return false;
}

void SlotAccount::GiveBack() {
  [[maybe_unused]] const uint64_t before = word_.fetch_sub(1);
  assert(UseOf(before) > 0);
}

int32_t SlotAccount::share() const {
  return static_cast<int32_t>(SlotsOf(word_.load()));
}

int32_t SlotAccount::in_use() const {
  return static_cast<int32_t>(UseOf(word_.load()));
}

bool SlotAccount::HasFree(Instant now) const {
  return HasFreeAt(word_.load(), now);
}

}  // namespace papayadrift::routing
