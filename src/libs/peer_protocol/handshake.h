#ifndef PAPAYADRIFT_PEER_PROTOCOL_HANDSHAKE_H_
#define PAPAYADRIFT_PEER_PROTOCOL_HANDSHAKE_H_

// Two entries prove to each other that they know the shared secret of the
// region, over any connection: hello, challenge, proof. Each tag covers both
// nonces, both identities and the role of its sender, so that no message of an
// earlier handshake, or of the other side, is of use in this one. What follows
// on the connection is not authenticated again: a connection is to be used on
// the platform's own network only.

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "peer_protocol/messages.h"

namespace papayadrift::peer_protocol {

enum class HandshakeRefusal {
  kWrongVersion,  // Another version of the protocol.
  kMalformed,     // A nonce or identity of the wrong shape.
  kSelf,          // The peer claims to be this entry.
  kWrongTag,      // Another secret, or a message of another handshake.
  kOutOfOrder,    // No hello came before the proof.
};

// The key made from the secret in the settings.
class SharedKey {
 public:
  static constexpr size_t kMinimumSecretBytes = 16;
  static constexpr size_t kBytes = 32;

  // Returns nothing when the secret is too short.
  static std::optional<SharedKey> FromSecret(std::string_view secret);

  // Returns the tag of `text`.
  std::string TagOf(std::string_view text) const;
  // Compares in constant time.
  bool IsTagOf(std::string_view tag, std::string_view text) const;

 private:
  SharedKey() = default;

  std::array<unsigned char, kBytes> bytes_{};
};

// Who takes part, with a nonce that was never used before.
struct HandshakeIdentity {
  MemberKey key;
  std::string address;
  std::string nonce;

  friend bool operator==(const HandshakeIdentity&,
                         const HandshakeIdentity&) = default;
};

// Returns a fresh nonce from the operating system.
std::string MakeNonce();

// The side that opened the connection.
class DialerHandshake {
 public:
  DialerHandshake(HandshakeIdentity self, SharedKey key);

  PeerHello Hello() const;
  // Returns the proof to send, after which the listener is trusted; nothing
  // when the challenge is refused, see last_reason().
  std::optional<PeerProof> OnChallenge(const PeerChallenge& challenge);

  // The peer, once it is trusted.
  const std::optional<MemberKey>& peer() const { return peer_; }
  std::optional<HandshakeRefusal> last_reason() const { return last_reason_; }

 private:
  const HandshakeIdentity self_;
  const SharedKey key_;
  std::optional<MemberKey> peer_;
  std::optional<HandshakeRefusal> last_reason_;
};

// The side that accepted the connection; made anew for each connection.
class ListenerHandshake {
 public:
  ListenerHandshake(HandshakeIdentity self, SharedKey key);

  // Returns the challenge to send, or nothing; see last_reason().
  std::optional<PeerChallenge> OnHello(const PeerHello& hello);
  // Trusts the dialer if the proof holds; see peer() and last_reason().
  void OnProof(const PeerProof& proof);

  // The peer, once it is trusted.
  const std::optional<MemberKey>& peer() const { return peer_; }
  std::optional<HandshakeRefusal> last_reason() const { return last_reason_; }

 private:
  const HandshakeIdentity self_;
  const SharedKey key_;
  std::optional<PeerHello> hello_;
  std::optional<MemberKey> peer_;
  std::optional<HandshakeRefusal> last_reason_;
};

}  // namespace papayadrift::peer_protocol

#endif  // PAPAYADRIFT_PEER_PROTOCOL_HANDSHAKE_H_
