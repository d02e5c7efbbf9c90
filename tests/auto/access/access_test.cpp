#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "access/access_control.h"
#include "access/token_hash.h"

namespace papayadrift::access {
namespace {

const std::string kSecret(64, 'a');
const std::string kToken = "recife." + kSecret;
const std::string kAddress = "10.0.0.1";

class AccessControlTest : public testing::Test {
 protected:
  AccessControlTest() {
    control_.SetBook(AccessBook({GrantOf("recife", Role::kCaller),
                                 GrantOf("recife", Role::kOperator, 'b')}));
  }

  static Grant GrantOf(const std::string& team, Role role, char fill = 'a') {
    return {TeamId(team), CustomerId("barril"), role,
            *NewTokenHash(std::string(64, fill))};
  }

  RefusalReason ReasonFor(const std::string& token, Role role) {
    const auto verdict = control_.Check(token, role, kAddress, now_);
    return std::get<AccessRefusal>(verdict).reason;
  }

  AccessControl control_{{.maximum_failures = 3}};
  Instant now_{seconds(50)};
};

TEST_F(AccessControlTest, TokenOpensItsOwnDoorOnly) {
  const auto verdict = control_.Check(kToken, Role::kCaller, kAddress, now_);
  EXPECT_EQ(std::get<Identity>(verdict).team, TeamId("recife"));
  for (const Role role : {Role::kOperator, Role::kWorker, Role::kPeer}) {
    EXPECT_EQ(ReasonFor(kToken, role), RefusalReason::kUnauthorized);
  }
}

TEST_F(AccessControlTest, DoorsStayClosedForWrongTokens) {
  const std::vector<std::string> wrong_tokens = {
      "",
      ".",
      kSecret,
      "recife.",
      "recife.aaaa",
      "other." + kSecret,
      "recife." + std::string(64, 'x'),
      "recife." + std::string(100'000, 'a'),
      kToken + "a"};
  for (const std::string& token : wrong_tokens) {
    AccessControl control({});
    control.SetBook(AccessBook({GrantOf("recife", Role::kCaller)}));
    EXPECT_TRUE(std::holds_alternative<AccessRefusal>(
        control.Check(token, Role::kCaller, kAddress, now_)))
        << token.substr(0, 80);
  }
}

TEST_F(AccessControlTest, FailuresAreLimitedButARightTokenIsNot) {
  const std::string wrong = "recife." + std::string(64, 'x');
  for (int it = 0; it < 3; ++it) {
    EXPECT_EQ(ReasonFor(wrong, Role::kCaller), RefusalReason::kUnauthorized);
  }
  EXPECT_EQ(ReasonFor(wrong, Role::kCaller), RefusalReason::kRateLimited);
  EXPECT_TRUE(std::holds_alternative<Identity>(
      control_.Check(kToken, Role::kCaller, kAddress, now_)));
  now_ += seconds(10);
  EXPECT_EQ(ReasonFor(wrong, Role::kCaller), RefusalReason::kUnauthorized);
}

TEST(FailureLimiterTest, ManyOtherAddressesDoNotLimitOne) {
  FailureLimiter limiter(20, seconds(10), 7);
  const Instant now(seconds(1));
  for (int it = 0; it < 2000; ++it) {
    limiter.RecordFailure("10.1.0." + std::to_string(it), now);
  }
  EXPECT_FALSE(limiter.IsOverLimit(kAddress, now));
}

RC_GTEST_PROP(TokenHashTest, OnlyTheSecretMatchesAndTheTextReadsBack, ()) {
  const auto secret =
      *rc::gen::container<std::string>(40, rc::gen::inRange('a', 'z'));
  const TokenHash hash = *NewTokenHash(secret);
  RC_ASSERT(TokenHashFromText(ToText(hash)) == hash);
  RC_ASSERT(Matches(hash, secret));
  std::string other = secret;
  other[*rc::gen::inRange<size_t>(0, other.size())] ^= 1;
  RC_ASSERT(!Matches(hash, other));
  RC_ASSERT(NewTokenHash(secret)->digest != hash.digest);
}

TEST(TokenHashTest, ShortSecretsAndTornTextsAreRefused) {
  EXPECT_EQ(NewTokenHash(std::string(31, 'a')), std::nullopt);
  const std::string text = ToText(*NewTokenHash(NewSecret()));
  for (size_t n = 0; n < text.size(); ++n) {
    EXPECT_EQ(TokenHashFromText(text.substr(0, n)), std::nullopt);
  }
  EXPECT_EQ(TokenHashFromText(text + "0"), std::nullopt);
}

}  // namespace
}  // namespace papayadrift::access
