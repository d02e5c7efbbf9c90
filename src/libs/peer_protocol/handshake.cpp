#include "peer_protocol/handshake.h"

#include <sodium.h>

#include <utility>

#include "peer_protocol/codec.h"

namespace papayadrift::peer_protocol {
namespace {

static_assert(SharedKey::kBytes == crypto_auth_KEYBYTES);
static_assert(kTagBytes == crypto_auth_BYTES);

constexpr std::string_view kDialerLabel = "papayadrift dialer ";
constexpr std::string_view kListenerLabel = "papayadrift listener ";

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

PeerChallenge UntaggedChallenge(const HandshakeIdentity& self) {
  return {self.key, self.address, self.nonce, ""};
}

// What a tag covers: the role of its sender and the whole exchange. The
// encoded messages show where each field ends.
std::string Transcript(std::string_view label,
                       const PeerHello& hello,
                       PeerChallenge challenge) {
  challenge.tag.clear();
  return std::string(label) + Encode(hello) + Encode(challenge);
}

bool IsWellFormed(const MemberKey& key, const std::string& nonce) {
  return !key.entry.is_empty() && nonce.size() == kNonceBytes;
}

}  // namespace

std::optional<SharedKey> SharedKey::FromSecret(std::string_view secret) {
  if (secret.size() < kMinimumSecretBytes) {
    return std::nullopt;
  }
  SharedKey key;
  crypto_generichash(key.bytes_.data(), key.bytes_.size(), Bytes(secret),
                     secret.size(), nullptr, 0);
  return key;
}

std::string SharedKey::TagOf(std::string_view text) const {
  std::array<unsigned char, kTagBytes> tag{};
  crypto_auth(tag.data(), Bytes(text), text.size(), bytes_.data());
  return {tag.begin(), tag.end()};
}

bool SharedKey::IsTagOf(std::string_view tag, std::string_view text) const {
  return tag.size() == kTagBytes &&
         crypto_auth_verify(Bytes(tag), Bytes(text), text.size(),
                            bytes_.data()) == 0;
}

std::string MakeNonce() {
  std::array<unsigned char, kNonceBytes> nonce{};
  randombytes_buf(nonce.data(), nonce.size());
  return {nonce.begin(), nonce.end()};
}

DialerHandshake::DialerHandshake(HandshakeIdentity self, SharedKey key)
    : self_(std::move(self)), key_(key) {}

PeerHello DialerHandshake::Hello() const {
  return {kProtocolVersion, self_.key, self_.address, self_.nonce};
}

std::optional<PeerProof> DialerHandshake::OnChallenge(
    const PeerChallenge& challenge) {
  last_reason_.reset();
  if (!IsWellFormed(challenge.key, challenge.nonce)) {
    last_reason_ = HandshakeRefusal::kMalformed;
  } else if (challenge.key == self_.key) {
    last_reason_ = HandshakeRefusal::kSelf;
  } else if (!key_.IsTagOf(challenge.tag,
                           Transcript(kListenerLabel, Hello(), challenge))) {
    last_reason_ = HandshakeRefusal::kWrongTag;
  }
  if (last_reason_) {
    return std::nullopt;
  }
  peer_ = challenge.key;
  return PeerProof{key_.TagOf(Transcript(kDialerLabel, Hello(), challenge))};
}

ListenerHandshake::ListenerHandshake(HandshakeIdentity self, SharedKey key)
    : self_(std::move(self)), key_(key) {}

std::optional<PeerChallenge> ListenerHandshake::OnHello(
    const PeerHello& hello) {
  last_reason_.reset();
  if (hello.protocol_version != kProtocolVersion) {
    last_reason_ = HandshakeRefusal::kWrongVersion;
  } else if (!IsWellFormed(hello.key, hello.nonce)) {
    last_reason_ = HandshakeRefusal::kMalformed;
  } else if (hello.key == self_.key) {
    last_reason_ = HandshakeRefusal::kSelf;
  } else if (hello_) {
    // One nonce serves one handshake.
    last_reason_ = HandshakeRefusal::kOutOfOrder;
  }
  if (last_reason_) {
    return std::nullopt;
  }
  hello_ = hello;
  PeerChallenge challenge = UntaggedChallenge(self_);
  challenge.tag = key_.TagOf(Transcript(kListenerLabel, hello, challenge));
  return challenge;
}

void ListenerHandshake::OnProof(const PeerProof& proof) {
  last_reason_.reset();
  if (!hello_ || peer_) {
    last_reason_ = HandshakeRefusal::kOutOfOrder;
    return;
  }
  const std::string transcript =
      Transcript(kDialerLabel, *hello_, UntaggedChallenge(self_));
  if (!key_.IsTagOf(proof.tag, transcript)) {
    last_reason_ = HandshakeRefusal::kWrongTag;
    return;
  }
  peer_ = hello_->key;
}

}  // namespace papayadrift::peer_protocol
