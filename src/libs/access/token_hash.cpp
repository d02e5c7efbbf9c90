#include "access/token_hash.h"

#include <span>

#include <sodium.h>

namespace papayadrift::access {

namespace {

constexpr std::string_view kPrefix = "blake2b$";
constexpr size_t kSecretBytes = 32;

// Keeps hashes of tokens apart from any other use of BLAKE2b.
constexpr std::array<uint8_t, crypto_generichash_blake2b_PERSONALBYTES>
    kPurpose = {'p', 'a', 'p', 'a', 'y', 'a', 'd', 'r',
                'i', 'f', 't', '-', 't', 'o', 'k', '1'};

static_assert(kSaltBytes == crypto_generichash_blake2b_SALTBYTES);

std::string ToHex(std::span<const uint8_t> bytes) {
  std::string text(2 * bytes.size() + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

// Fills `bytes`; returns whether `text` has exactly as many.
bool FromHex(std::string_view text, std::span<uint8_t> bytes) {
  size_t n = 0;
  return text.size() == 2 * bytes.size() &&
         sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(),
                        nullptr, &n, nullptr) == 0 &&
         n == bytes.size();
}

}  // namespace

TokenHash HashSecret(std::string_view secret,
                     const std::array<uint8_t, kSaltBytes>& salt) {
  TokenHash hash{salt, {}};
  crypto_generichash_blake2b_salt_personal(
      hash.digest.data(), hash.digest.size(),
      reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
      nullptr, 0, salt.data(), kPurpose.data());
  return hash;
}

bool Matches(const TokenHash& hash, std::string_view secret) {
  const TokenHash given = HashSecret(secret, hash.salt);
  return sodium_memcmp(given.digest.data(), hash.digest.data(), kDigestBytes) ==
         0;
}

std::string ToText(const TokenHash& hash) {
  return std::string(kPrefix) + ToHex(hash.salt) + "$" + ToHex(hash.digest);
}

std::optional<TokenHash> TokenHashFromText(std::string_view text) {
  constexpr size_t kSaltAt = kPrefix.size();
  constexpr size_t kDigestAt = kSaltAt + 2 * kSaltBytes + 1;
  if (!text.starts_with(kPrefix) || text.size() < kDigestAt ||
      text[kDigestAt - 1] != '$') {
    return std::nullopt;
  }
  TokenHash hash;
  const bool is_whole =
      FromHex(text.substr(kSaltAt, 2 * kSaltBytes), hash.salt) &&
      FromHex(text.substr(kDigestAt), hash.digest);
  return is_whole ? std::optional(hash) : std::nullopt;
}

std::string NewSecret() {
  std::array<uint8_t, kSecretBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return ToHex(bytes);
}

std::optional<TokenHash> NewTokenHash(std::string_view secret) {
  if (secret.size() < kMinimumSecretCharacters ||
      secret.size() > kMaximumSecretCharacters) {
    return std::nullopt;
  }
  std::array<uint8_t, kSaltBytes> salt{};
  randombytes_buf(salt.data(), salt.size());
  return HashSecret(secret, salt);
}

}  // namespace papayadrift::access
