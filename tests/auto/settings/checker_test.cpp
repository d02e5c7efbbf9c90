#include "settings/checker.h"

#include <gtest/gtest.h>

#include <array>

#include "settings/keys.h"

namespace papayadrift::settings {
namespace {

constexpr auto kKeys = std::to_array<KeySpecification>({
    RequiredAmountKey("period", ValueKind::kDuration, 10, kMinute, "A."),
    AmountKey("cores", ValueKind::kCores, "1.5 cores", 1, 64'000, "B."),
    AmountKey("memory", ValueKind::kMemory, "1 GiB", 1, 4096, "C."),
    OptionalKey("on", ValueKind::kBoolean, "no", "D."),
    OptionalKey("at", ValueKind::kAddressList, "", "E."),
    OptionalKey("names", ValueKind::kNameList, "", "G."),
    OptionalKey("hash", ValueKind::kTokenHash, "", "H."),
});
constexpr auto kFriendKeys = std::to_array<KeySpecification>({
    ReferenceKey("of", "person", "F."),
});
constexpr auto kSections = std::to_array<SectionSpecification>({
    {"main", false, true, kKeys, "The main one."},
    {"person", true, false, {}, "A person."},
    {"friend", true, false, kFriendKeys, "A friend."},
});
constexpr Schema kSchema{"Sample", kSections};

Problem FirstProblem(const std::string& text) {
  std::vector<Problem> problems;
  EXPECT_FALSE(ReadChecked(kSchema, text, problems)) << text;
  return problems.empty() ? Problem() : problems.front();
}

void ExpectProblem(const std::string& text,
                   ProblemKind kind,
                   const std::string& section,
                   const std::string& key) {
  const Problem problem = FirstProblem(text);
  EXPECT_EQ(ToText(problem.kind), ToText(kind)) << text;
  EXPECT_EQ(problem.section, section) << text;
  EXPECT_EQ(problem.key, key) << text;
}

TEST(CheckerTest, ReadsAmountsInTheirUnitsAndFallbacks) {
  std::vector<Problem> problems;
  const auto sections = ReadChecked(
      kSchema, "[main]\nperiod = 1.5 s\nmemory = 2 GiB\n", problems);
  ASSERT_TRUE(sections) << ToText(problems.front(), "f");
  const CheckedSection& section = FindSection(*sections, "main");
  EXPECT_EQ(section.Amount("period"), 1500);
  EXPECT_EQ(section.Amount("cores"), 1500);
  EXPECT_EQ(section.Amount("memory"), 2048);
  EXPECT_FALSE(section.IsSet("on"));
  EXPECT_TRUE(section.List("at").empty());
  EXPECT_TRUE(section.List("names").empty());
}

TEST(CheckerTest, EachKindOfBadInputNamesSectionAndKey) {
  const std::string good = "[main]\nperiod = 1 s\n";
  ExpectProblem("", ProblemKind::kSectionMissing, "main", "");
  ExpectProblem("[main]\n", ProblemKind::kKeyMissing, "main", "period");
  ExpectProblem(good + "x = 1\n", ProblemKind::kKeyUnknown, "main", "x");
  ExpectProblem(good + "[other]\n", ProblemKind::kSectionUnknown, "other", "");
  ExpectProblem(good + "[person]\n", ProblemKind::kBadValue, "person", "");
  ExpectProblem(good + "[person a b]\n", ProblemKind::kBadValue, "person a b",
                "");
  ExpectProblem("[main x]\n", ProblemKind::kSectionUnknown, "main x", "");
  ExpectProblem("[main]\nperiod = 1\n", ProblemKind::kBadUnit, "main",
                "period");
  ExpectProblem("[main]\nperiod = 1 parsec\n", ProblemKind::kBadUnit, "main",
                "period");
  ExpectProblem("[main]\nperiod = soon\n", ProblemKind::kBadValue, "main",
                "period");
  ExpectProblem("[main]\nperiod = 9 ms\n", ProblemKind::kOutOfRange, "main",
                "period");
  ExpectProblem("[main]\nperiod = -1 s\n", ProblemKind::kOutOfRange, "main",
                "period");
  ExpectProblem("[main]\nperiod = nan s\n", ProblemKind::kBadValue, "main",
                "period");
  ExpectProblem(good + "on = maybe\n", ProblemKind::kBadValue, "main", "on");
  ExpectProblem(good + "at = host:1\n", ProblemKind::kBadValue, "main", "at");
  ExpectProblem(good + "at = 10.0.0.1:0\n", ProblemKind::kBadValue, "main",
                "at");
  ExpectProblem(good + "names = a, b c\n", ProblemKind::kBadValue, "main",
                "names");
  ExpectProblem(good + "names = a,,b\n", ProblemKind::kBadValue, "main",
                "names");
  std::string too_many = good + "names = n";
  for (int i = 0; i < 16; ++i) {
    too_many += ",n";
  }
  ExpectProblem(too_many + "\n", ProblemKind::kBadValue, "main", "names");
  ExpectProblem(good + "hash = blake2b$00$11\n", ProblemKind::kBadValue, "main",
                "hash");
  ExpectProblem(good + "[friend a]\nof = b\n", ProblemKind::kReferenceUnknown,
                "friend a", "of");
}

TEST(CheckerTest, ReportsEveryProblemAtOnce) {
  std::vector<Problem> problems;
  EXPECT_FALSE(
      ReadChecked(kSchema, "[main]\nperiod = 1\nx = 1\n[zzz]\n", problems));
  EXPECT_EQ(problems.size(), 3u);
}

TEST(CheckerTest, ProblemTextNamesFileSectionKeyAndReason) {
  EXPECT_EQ(ToText(FirstProblem("[main]\nperiod = 9 ms\n"), "a.ini"),
            "a.ini: [main] period: out_of_range: Expected 10 to 60000 ms.");
}

}  // namespace
}  // namespace papayadrift::settings
