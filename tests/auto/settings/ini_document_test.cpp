#include "settings/ini_document.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayadrift::settings {
namespace {

// Returns the kinds of all problems with `text`; empty when it is accepted.
std::vector<ProblemKind> KindsOf(const std::string& text) {
  std::vector<Problem> problems;
  const auto document = IniDocument::Parse(text, problems);
  EXPECT_EQ(document.has_value(), problems.empty());
  std::vector<ProblemKind> kinds;
  for (const Problem& problem : problems) {
    kinds.push_back(problem.kind);
  }
  return kinds;
}

using Kinds = std::vector<ProblemKind>;

TEST(IniDocumentTest, KeepsSectionsInOrderAlsoEmptyOnes) {
  std::vector<Problem> problems;
  const auto document =
      IniDocument::Parse("[b]\n[a]\nkey = value ; note\n", problems);
  ASSERT_TRUE(document);
  const std::vector<IniSection> expected = {{"b", {}},
                                            {"a", {{"key", "value"}}}};
  EXPECT_EQ(document->sections(), expected);
}

TEST(IniDocumentTest, RefusesWhatTheLibraryWouldMergeOrShorten) {
  EXPECT_EQ(KindsOf("[a]\nx=1\n[b]\n[a]\ny=2\n"),
            Kinds{ProblemKind::kSectionRepeated});
  EXPECT_EQ(KindsOf("[a]\n[a]\n"), Kinds{ProblemKind::kSectionRepeated});
  EXPECT_EQ(KindsOf("[a]\nx=1\nx=2\n"), Kinds{ProblemKind::kKeyRepeated});
  EXPECT_EQ(KindsOf("[a]\nx=1\n  2\n"), Kinds{ProblemKind::kKeyRepeated});
  EXPECT_EQ(KindsOf("x=1\n"), Kinds{ProblemKind::kKeyOutsideSection});
  EXPECT_EQ(KindsOf("[a]\nx=" + std::string(kMaximumLineBytes, 'y')),
            Kinds{ProblemKind::kLineTooLong});
  EXPECT_EQ(KindsOf("[" + std::string(60, 'a') + "]\n"),
            Kinds{ProblemKind::kBadValue});
}

TEST(IniDocumentTest, RefusesTornTextWithItsLine) {
  std::vector<Problem> problems;
  EXPECT_FALSE(IniDocument::Parse("[a]\nx=1\n[b\n", problems));
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_EQ(problems[0].kind, ProblemKind::kSyntax);
  EXPECT_EQ(problems[0].line, 3);
}

TEST(IniDocumentTest, RefusesOversizedAndBinaryText) {
  EXPECT_EQ(KindsOf(std::string(kMaximumFileBytes + 1, '\n')),
            Kinds{ProblemKind::kTooLarge});
  EXPECT_EQ(KindsOf(std::string("[a]\nx=\0\n", 8)),
            Kinds{ProblemKind::kNotText});
}

RC_GTEST_PROP(IniDocumentTest, AnyTextIsHarmless, (const std::string& text)) {
  KindsOf(text);
}

}  // namespace
}  // namespace papayadrift::settings
