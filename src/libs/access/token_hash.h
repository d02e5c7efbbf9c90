#ifndef PAPAYADRIFT_ACCESS_TOKEN_HASH_H_
#define PAPAYADRIFT_ACCESS_TOKEN_HASH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayadrift::access {

inline constexpr size_t kSaltBytes = 16;
inline constexpr size_t kDigestBytes = 32;
// A shorter secret could be guessed from its hash, which is fast to compute.
inline constexpr size_t kMinimumSecretCharacters = 32;
// A longer one would cost more to hash than a request may.
inline constexpr size_t kMaximumSecretCharacters = 256;

// What is kept of a token's secret: BLAKE2b with a salt of its own.
struct TokenHash {
  std::array<uint8_t, kSaltBytes> salt{};
  std::array<uint8_t, kDigestBytes> digest{};

  friend bool operator==(const TokenHash&, const TokenHash&) = default;
};

// Returns the hash of `secret` with the given salt.
TokenHash HashSecret(std::string_view secret,
                     const std::array<uint8_t, kSaltBytes>& salt);

// Returns whether `secret` is the one of `hash`; takes the same time for every
// secret of one length.
bool Matches(const TokenHash& hash, std::string_view secret);

// The form in the applied file: "blake2b$<salt>$<digest>", in hex.
std::string ToText(const TokenHash& hash);
std::optional<TokenHash> TokenHashFromText(std::string_view text);

// Returns a new secret of 256 random bits, for operators to hand out.
std::string NewSecret();

// Returns the hash of `secret` with a random salt; nothing when it is shorter
// or longer than allowed.
std::optional<TokenHash> NewTokenHash(std::string_view secret);

}  // namespace papayadrift::access

#endif  // PAPAYADRIFT_ACCESS_TOKEN_HASH_H_
