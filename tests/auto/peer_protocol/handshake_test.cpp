#include "peer_protocol/handshake.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayadrift::peer_protocol {
namespace {

constexpr std::string_view kSecret = "a secret of the region";

SharedKey KeyOf(std::string_view secret) {
  return *SharedKey::FromSecret(secret);
}
HandshakeIdentity IdentityOf(const std::string& name, char nonce) {
  return {{EntryId(name), Incarnation(1)},
          "10.0.0.1:90",
          std::string(kNonceBytes, nonce)};
}
DialerHandshake Dialer(char nonce, std::string_view secret = kSecret) {
  return {IdentityOf("dialer", nonce), KeyOf(secret)};
}
ListenerHandshake Listener(char nonce, std::string_view secret = kSecret) {
  return {IdentityOf("listener", nonce), KeyOf(secret)};
}

TEST(HandshakeTest, BothSidesTrustEachOtherWithTheSameSecret) {
  DialerHandshake dialer = Dialer('d');
  ListenerHandshake listener = Listener('l');
  const auto proof = dialer.OnChallenge(*listener.OnHello(dialer.Hello()));
  EXPECT_FALSE(listener.peer());
  listener.OnProof(*proof);
  EXPECT_EQ(listener.peer(), IdentityOf("dialer", 'd').key);
  EXPECT_EQ(dialer.peer(), IdentityOf("listener", 'l').key);
  listener.OnProof(*proof);
  EXPECT_EQ(listener.last_reason(), HandshakeRefusal::kOutOfOrder);
}

TEST(HandshakeTest, WrongSecretsAreRefusedByBothSides) {
  DialerHandshake dialer = Dialer('d', "A secret of the region");
  ListenerHandshake listener = Listener('l');
  const auto challenge = listener.OnHello(dialer.Hello());
  EXPECT_FALSE(dialer.OnChallenge(*challenge));
  EXPECT_EQ(dialer.last_reason(), HandshakeRefusal::kWrongTag);
  listener.OnProof({std::string(kTagBytes, 'x')});
  EXPECT_EQ(listener.last_reason(), HandshakeRefusal::kWrongTag);
  EXPECT_FALSE(listener.peer());
  EXPECT_FALSE(SharedKey::FromSecret("too short"));
}

TEST(HandshakeTest, AReplayedHelloAndProofAreOfNoUse) {
  DialerHandshake dialer = Dialer('d');
  ListenerHandshake first = Listener('l');
  const auto proof = dialer.OnChallenge(*first.OnHello(dialer.Hello()));
  ListenerHandshake second = Listener('m');
  EXPECT_TRUE(second.OnHello(dialer.Hello()));
  second.OnProof(*proof);
  EXPECT_EQ(second.last_reason(), HandshakeRefusal::kWrongTag);
  EXPECT_FALSE(second.peer());
}

TEST(HandshakeTest, AReplayedChallengeAndAReflectedTagAreOfNoUse) {
  DialerHandshake dialer = Dialer('d');
  ListenerHandshake listener = Listener('l');
  const auto challenge = listener.OnHello(dialer.Hello());
  DialerHandshake later = Dialer('e');
  EXPECT_FALSE(later.OnChallenge(*challenge));
  listener.OnProof({challenge->tag});
  EXPECT_FALSE(listener.peer());
}

TEST(HandshakeTest, OddHellosAreRefused) {
  const auto refusal_of = [](const PeerHello& hello) {
    ListenerHandshake listener = Listener('l');
    EXPECT_FALSE(listener.OnHello(hello));
    return listener.last_reason();
  };
  PeerHello hello = Dialer('d').Hello();
  hello.protocol_version = 2;
  EXPECT_EQ(refusal_of(hello), HandshakeRefusal::kWrongVersion);
  hello = Dialer('d').Hello();
  hello.nonce.pop_back();
  EXPECT_EQ(refusal_of(hello), HandshakeRefusal::kMalformed);
  hello = Dialer('d').Hello();
  hello.key = IdentityOf("listener", 'l').key;
  EXPECT_EQ(refusal_of(hello), HandshakeRefusal::kSelf);
}

// Whatever is changed on the way, the listener does not trust the dialer.
RC_GTEST_PROP(HandshakeTest, AChangedMessageBreaksTheHandshake, ()) {
  DialerHandshake dialer = Dialer('d');
  ListenerHandshake listener = Listener('l');
  PeerHello hello = dialer.Hello();
  const auto part = *rc::gen::inRange(0, 4);
  hello.key.incarnation = part == 0 ? Incarnation(2) : hello.key.incarnation;
  hello.address += part == 1 ? "1" : "";
  auto challenge = *listener.OnHello(hello);
  const auto at = *rc::gen::inRange<size_t>(0, kTagBytes);
  const auto changed = [&](std::string tag) {
    tag[at] = static_cast<char>(tag[at] + 1);
    return tag;
  };
  challenge.tag = part == 2 ? changed(challenge.tag) : challenge.tag;
  auto proof = dialer.OnChallenge(challenge);
  RC_ASSERT(proof.has_value() == (part == 3));
  if (proof) {
    proof->tag = changed(proof->tag);
    listener.OnProof(*proof);
  }
  RC_ASSERT(!listener.peer());
}

}  // namespace
}  // namespace papayadrift::peer_protocol
