#include "worker_protocol/json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayadrift::worker_protocol {
namespace {

const TaskId kTask{JobId("j"), 7};

Heartbeat SampleHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.sequence = 5;
  heartbeat.announcement = {WorkerId("w"),
                            Incarnation(UINT64_MAX),
                            ZoneId("z"),
                            RackId("r"),
                            "10.0.0.1:80",
                            {16000, 60000, 2},
                            {{ServiceId("s"), "10.0.0.1:81", 8, 64, {1, 2, 0}}},
                            true};
  heartbeat.attempts = {{kTask,
                         Attempt(2),
                         FencingToken(99),
                         true,
                         records::TaskEnding::kCheckpointed,
                         CheckpointId("c"),
                         {1, 2, 0},
                         {3, 4, 0},
                         500}};
  heartbeat.latencies = {{ServiceId("s"), 1, 2, 3}};
  return heartbeat;
}

HeartbeatAnswer SampleAnswer() {
  HeartbeatAnswer answer;
  answer.sequence = 5;
  answer.incarnation = Incarnation(3);
  answer.renewal_milliseconds = 8000;
  answer.state_offset = Offset(77);
  answer.is_incarnation_over = true;
  answer.home_address = "10.0.0.2:80";
  answer.entry_addresses = {"10.0.0.2:80", "10.0.0.3:80"};
  answer.orders = {
      StartOrder{kTask,
                 Attempt(1),
                 FencingToken(8),
                 KindId("k"),
                 {5, 6, 0},
                 CheckpointId(),
                 1000,
                 true},
      StopOrder{kTask, Attempt(1)}, CheckpointOrder{kTask, Attempt(1)},
      GrantOrder{kTask, Attempt(1), {7, 8, 0}}, ForgetOrder{kTask, Attempt(1)}};
  answer.ask_again_milliseconds = 10;
  return answer;
}

TEST(JsonTest, MessagesReadBack) {
  EXPECT_EQ(HeartbeatFromJson(ToJson(SampleHeartbeat())), SampleHeartbeat());
  EXPECT_EQ(HeartbeatAnswerFromJson(ToJson(SampleAnswer())), SampleAnswer());
}

TEST(JsonTest, AnswerOfAnOlderEntryDoesNotAskAgain) {
  HeartbeatAnswer older = SampleAnswer();
  older.ask_again_milliseconds.reset();
  const std::string text = ToJson(older);
  EXPECT_EQ(text.find("ask_again"), std::string::npos);
  EXPECT_EQ(HeartbeatAnswerFromJson(text), older);
}

TEST(JsonTest, TornMessagesAreNone) {
  const std::string text = ToJson(SampleAnswer());
  for (size_t n = 0; n < text.size(); ++n) {
    EXPECT_EQ(HeartbeatAnswerFromJson(text.substr(0, n)), std::nullopt);
  }
}

void ReplaceFirst(std::string& text,
                  const std::string& a,
                  const std::string& b) {
  const size_t at = text.find(a);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, a.size(), b);
}

TEST(JsonTest, WrongTypesAndRangesAreRefused) {
  const auto with = [](const std::string& a, const std::string& b) {
    std::string text = ToJson(SampleHeartbeat());
    ReplaceFirst(text, a, b);
    return HeartbeatFromJson(text);
  };
  EXPECT_EQ(with("\"sequence\":5", "\"sequence\":-5"), std::nullopt);
  EXPECT_EQ(with("\"sequence\":5", "\"sequence\":\"5\""), std::nullopt);
  EXPECT_EQ(with("\"sequence\":5", "\"sequence\":5.5"), std::nullopt);
  EXPECT_EQ(with("\"sequence\":5", "\"other\":5"), std::nullopt);
  EXPECT_EQ(with("\"ending\":2", "\"ending\":9"), std::nullopt);
  EXPECT_EQ(with("\"index\":7", "\"index\":4294967296"), std::nullopt);
  EXPECT_EQ(with("\"has_ended\":true", "\"has_ended\":1"), std::nullopt);
  EXPECT_TRUE(with("\"sequence\":5", "\"new\":1,\"sequence\":5"));
}

TEST(JsonTest, UnknownOrderIsRefused) {
  std::string text = ToJson(SampleAnswer());
  ReplaceFirst(text, "\"stop\"", "\"dance\"");
  EXPECT_EQ(HeartbeatAnswerFromJson(text), std::nullopt);
}

RC_GTEST_PROP(JsonTest, AnyTextIsHarmless, (const std::string& text)) {
  HeartbeatFromJson(text);
  HeartbeatAnswerFromJson("{" + text + "}");
}

}  // namespace
}  // namespace papayadrift::worker_protocol
