#ifndef PAPAYADRIFT_BASE_HASH_H_
#define PAPAYADRIFT_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace papayadrift {

// Returns a 64-bit hash that is the same on every machine. Not for secrets.
uint64_t StableHash(std::string_view text, uint64_t seed = 0);

// Returns the weight of `node` for `key` in rendezvous hashing: the node with
// the highest weight is the key's home.
uint64_t RendezvousWeight(std::string_view key, std::string_view node);

}  // namespace papayadrift

#endif  // PAPAYADRIFT_BASE_HASH_H_
