#include "entry/key_desk.h"

#include <gtest/gtest.h>

#include "fake_region.h"

namespace papayadrift::entry {
namespace {

TEST(KeyDeskTest, WindowFollowsFromTheKeyAlone) {
  // 0x018bcfe56800 is 1'700'000'000'000 ms.
  const IdempotencyKey key("018bcfe5-6800-7abc-8def-0123456789ab");
  EXPECT_EQ(WindowEndOf(key), WallInstant(milliseconds(1'700'000'000'000)) +
                                  replay::KeyTable::kWindow);
}

TEST(KeyDeskTest, OtherKeysHaveNoWindow) {
  for (const char* text : {"", "key", "018bcfe5-6800-4abc-8def-0123456789ab",
                           "018bcfe5-6800-7abc-8def-0123456789a",
                           "018bcfe5x6800-7abc-8def-0123456789ab",
                           "018BCFE5-6800-7abc-8def-0123456789ab"}) {
    EXPECT_EQ(WindowEndOf(IdempotencyKey(text)), std::nullopt) << text;
  }
}

TEST(KeyDeskTest, KeyOfAnotherHomeIsRefused) {
  FakeRegion region;
  region.Start(
      "[region region]\naddress = 10.0.0.1:80\n"
      "[region other]\naddress = 10.0.1.1:80\n");
  KeyDesk& keys = region.entry().keys();
  routing::RequestInfo facts;
  facts.key = IdempotencyKey("018bcfe5-6800-7abc-8def-0123456789ab@other");
  const std::optional<routing::KeyClaimResult> expected =
      routing::KeyRejected{RefusalReason::kNotHomeRegion,
                           HomeRegion{RegionId("other"), "10.0.1.1:80"}};
  EXPECT_EQ(keys.LookUp(facts), expected);
  facts.key = IdempotencyKey("018bcfe5-6800-7abc-8def-0123456789ab@region");
  EXPECT_EQ(keys.LookUp(facts), std::nullopt);
}

}  // namespace
}  // namespace papayadrift::entry
