#ifndef PAPAYADRIFT_GUARD_IDENTITY_MEMORY_H_
#define PAPAYADRIFT_GUARD_IDENTITY_MEMORY_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace papayadrift::guard {

// Remembers which identities were seen, as far as its bounded memory reaches:
// a newer identity may take the place of an older one. Of several concurrent
// calls with one identity, one is the first. Takes no lock.
class IdentityMemory {
 public:
  // Remembers at most `capacity` identities.
  explicit IdentityMemory(size_t capacity);

  // Returns whether the identity is new, and remembers it.
  bool Insert(std::string_view identity);

 private:
  std::vector<std::atomic<uint64_t>> places_;
};

}  // namespace papayadrift::guard

#endif  // PAPAYADRIFT_GUARD_IDENTITY_MEMORY_H_
