#include "peer_protocol/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayadrift::peer_protocol {
namespace {

const MemberKey kA{EntryId("a"), Incarnation(3)};
const MemberKey kB{EntryId("b"), Incarnation(1)};
const WorkerKey kWorker{WorkerId("w"), Incarnation(9)};
const TaskId kTask{JobId("j"), 4};

// One message of each kind, with every member set.
std::vector<Message> Samples() {
  return {
      PeerHello{1, kA, "10.0.0.1:9", std::string("n\0n", 3)},
      PeerChallenge{kA, "10.0.0.1:9", "nonce", "tag"},
      PeerProof{"tag"},
      PeerHeartbeat{kA,
                    "10.0.0.1:9",
                    ConfigurationVersion(5),
                    Offset(77),
                    Offset(64),
                    ~0ULL,
                    {400, 7000, 12, {1, 2, 3}, {1, 1, 1}}},
      lease::FreezeRequest{kA, 8, Offset(77), {{kB, Offset(78)}}, 64},
      lease::FreezeAnswer{kB, 8, lease::FreezeRefusal::kLapseWanted},
      lease::FreezeAnswer{kB, 9, std::nullopt, {kWorker, kA}},
      lease::JoinerNotice{kB, Offset(78)},
      lease::JoinerAcknowledgement{kA, kB, true},
      ConfigurationPush{ConfigurationVersion(6), "operator", "[services]"},
      StateRequest{Offset(70), 2},
      StateChunk{Offset(70), 2, 5, 123, 4500, std::string("\xff\0", 2)},
      GuardHello{1, kWorker, "10.0.0.2:80"},
      GuardReport{kWorker, 4, {{kTask, Attempt(2), {9, 9, 0}, {5, 7, 0}}}},
      GuardGrants{kWorker,
                  4,
                  8000,
                  Offset(70),
                  {{kTask, Attempt(2), FencingToken(60), {9, 9, 0}}},
                  {{CustomerId("c"), ServiceId("s"), IdempotencyKey("k"), kA}}},
      membership::SlotLoanRequest{kA, 3, "10.0.0.2:80", 2},
      membership::SlotLoan{kB, 3, 2},
      membership::SlotLoanReturn{kA, 3},
      WorkersHeard{{kWorker, {WorkerId("v"), Incarnation(2)}}},
  };
}

TEST(PeerCodecTest, EveryMessageReadsBackAndNoTornOneDoes) {
  for (const Message& message : Samples()) {
    const std::string bytes = Encode(message);
    EXPECT_EQ(Decode(bytes), message) << message.index();
    EXPECT_EQ(Decode(bytes + "x"), std::nullopt);
    for (size_t n = 0; n < bytes.size(); ++n) {
      EXPECT_EQ(Decode(std::string_view(bytes).substr(0, n)), std::nullopt);
    }
  }
}

TEST(PeerCodecTest, AnOlderAskerTakesNoExclusions) {
  lease::FreezeRequest request{kA, 8, Offset(77), {{kB, Offset(78)}}, 64};
  std::string bytes = Encode(request);
  constexpr char kFourMembers = '\x94';
  bytes.pop_back();
  bytes[2] = kFourMembers;
  request.most_exclusions = 0;
  EXPECT_EQ(Decode(bytes), Message(request));
}

TEST(PeerCodecTest, TooLongMessagesAreRefused) {
  StateChunk chunk;
  chunk.bytes.assign(kMaximumMessageBytes, 'x');
  EXPECT_EQ(Decode(Encode(chunk)), std::nullopt);
}

RC_GTEST_PROP(PeerCodecTest, ChangedBytesAreHarmless, ()) {
  const std::vector<Message> samples = Samples();
  std::string bytes =
      Encode(samples[*rc::gen::inRange<size_t>(0, samples.size())]);
  const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
  Decode(bytes);
}

}  // namespace
}  // namespace papayadrift::peer_protocol
