#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>

namespace papayadrift::cluster {
namespace {

// What only the drivers of these libraries may include.
constexpr std::array<std::string_view, 4> kIoHeaders = {
    "#include <boost/asio", "#include \"async_http/", "#include \"http/",
    "#include \"cluster_http/"};
constexpr std::array<std::string_view, 4> kLibraries = {"base", "cluster",
                                                        "jobs", "keyed_log"};

bool IncludesIo(const std::string& line) {
  return std::ranges::any_of(kIoHeaders, [&](std::string_view header) {
    return line.starts_with(header);
  });
}

// Guards against leader, agent and frontend that can't be played without
// sockets.
TEST(LayeringTest, FlowIncludesNoHeaderOfItsIo) {
  size_t file_count = 0;
  for (const std::string_view library : kLibraries) {
    for (const auto& it : std::filesystem::directory_iterator(
             std::filesystem::path(PAPAYADRIFT_LIBRARIES_PATH) / library)) {
      std::ifstream file(it.path());
      ++file_count;
      for (std::string line; std::getline(file, line);) {
        EXPECT_FALSE(IncludesIo(line)) << it.path() << ": " << line;
      }
    }
  }
  constexpr size_t kLeastFiles = 100;
  EXPECT_GE(file_count, kLeastFiles);
}

}  // namespace
}  // namespace papayadrift::cluster
