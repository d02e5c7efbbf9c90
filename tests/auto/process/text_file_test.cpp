#include "process/text_file.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace papayadrift::process {
namespace {

TEST(TextFileTest, ReadsAllBytes) {
  const std::string path = testing::TempDir() + "text_file_test";
  const std::string text("a\0b\r\n", 5);
  std::ofstream(path, std::ios::binary) << text;
  EXPECT_EQ(ReadTextFile(path), text);
  std::remove(path.c_str());
}

TEST(TextFileTest, AnEmptyFileIsReadable) {
  const std::string path = testing::TempDir() + "text_file_test_empty";
  std::ofstream(path).flush();
  EXPECT_EQ(ReadTextFile(path), "");
  std::remove(path.c_str());
}

TEST(TextFileTest, AMissingFileOrAFolderIsNothing) {
  EXPECT_EQ(ReadTextFile(testing::TempDir() + "not-there"), std::nullopt);
  EXPECT_EQ(ReadTextFile(testing::TempDir()), std::nullopt);
}

}  // namespace
}  // namespace papayadrift::process
