#include "control/time_text.h"

#include <fmt/core.h>

#include <charconv>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace papayadrift::control {

namespace {

constexpr char kForm[] = "%Y-%m-%dT%H:%M:%SZ";

std::optional<WallInstant> FromUnix(const std::string& text) {
  int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (text.empty() || ec != std::errc() || rest != end || number < 0) {
    return std::nullopt;
  }
  return WallInstant(milliseconds(number));
}

}  // namespace

std::string TimeText(WallInstant time) {
  const auto whole = std::chrono::floor<seconds>(time.time_since_epoch());
  const auto rest =
      std::chrono::floor<milliseconds>(time.time_since_epoch() - whole);
  const std::time_t unix_time = whole.count();
  std::tm parts{};
  gmtime_r(&unix_time, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S");
  return fmt::format("{}.{:03}Z", text.str(), rest.count());
}

std::optional<WallInstant> TimeFromText(const std::string& text) {
  if (const auto time = FromUnix(text)) {
    return time;
  }
  std::tm parts{};
  // Not std::get_time: that of libstdc++ takes a part of the form for all.
  const char* const rest = strptime(text.c_str(), kForm, &parts);
  if (rest == nullptr || *rest != '\0') {
    return std::nullopt;
  }
  return WallInstant(seconds(timegm(&parts)));
}

}  // namespace papayadrift::control
