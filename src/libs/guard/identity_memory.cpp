#include "guard/identity_memory.h"

#include <algorithm>

#include "base/hash.h"

namespace papayadrift::guard {

namespace {

constexpr uint64_t kEmpty = 0;

}  // namespace

IdentityMemory::IdentityMemory(size_t capacity)
    : places_(std::max<size_t>(1, capacity)) {}

bool IdentityMemory::Insert(std::string_view identity) {
  const uint64_t hash = StableHash(identity);
  const uint64_t fingerprint = hash == kEmpty ? 1 : hash;
  // Each identity has one place only, so that one exchange decides.
  std::atomic<uint64_t>& place = places_[fingerprint % places_.size()];
  return place.exchange(fingerprint) != fingerprint;
}

}  // namespace papayadrift::guard
