#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "reference_page.h"

namespace papayadrift {
namespace {

TEST(ReferenceTest, PageIsWhatTheCodeHas) {
  const std::string expected = ReferencePage();
  if (std::getenv("UPDATE_REFERENCE") != nullptr) {
    std::ofstream(PAPAYADRIFT_REFERENCE_PATH) << expected;
  }
  std::ostringstream page;
  page << std::ifstream(PAPAYADRIFT_REFERENCE_PATH).rdbuf();
  EXPECT_EQ(page.str(), expected);
}

}  // namespace
}  // namespace papayadrift
