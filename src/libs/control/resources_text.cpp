#include "control/resources_text.h"

#include <fmt/core.h>

#include <nlohmann/json.hpp>

namespace papayadrift::control {

namespace {

constexpr double kMillicoresPerCore = 1000;
constexpr int64_t kMebibytesPerGibibyte = 1024;

}  // namespace

std::string CoresText(int64_t millicores) {
  return fmt::format("{:.4g}",
                     static_cast<double>(millicores) / kMillicoresPerCore);
}

std::string MemoryText(int64_t mebibytes) {
  if (mebibytes < kMebibytesPerGibibyte) {
    return fmt::format("{} MiB", mebibytes);
  }
  return fmt::format("{:.4g} GiB",
                     static_cast<double>(mebibytes) / kMebibytesPerGibibyte);
}

std::string ResourcesText(const nlohmann::json& amounts) {
  std::string text = CoresText(amounts.value("millicores", int64_t{0})) +
                     " cores, " +
                     MemoryText(amounts.value("memory_mebibytes", int64_t{0}));
  const auto accelerators = amounts.value("accelerators", int64_t{0});
  if (accelerators > 0) {
    text += fmt::format(", {} accelerators", accelerators);
  }
  return text;
}

}  // namespace papayadrift::control
