#include "control/table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace papayadrift::control {

namespace {

constexpr int64_t kSecond = 1000;  // In milliseconds.
constexpr int64_t kMinute = 60 * kSecond;
constexpr int64_t kHour = 60 * kMinute;
constexpr int64_t kLastShown = 2;  // A unit is used from two of it on.

}  // namespace

Table::Table(std::vector<std::string> titles) : rows_{std::move(titles)} {}

void Table::AddRow(std::vector<std::string> cells) {
  assert(cells.size() == rows_.front().size());
  rows_.push_back(std::move(cells));
}

std::string Table::ToText() const {
  std::vector<size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string AgeText(int64_t milliseconds) {
  if (milliseconds < kLastShown * kSecond) {
    return std::to_string(milliseconds) + " ms";
  }
  if (milliseconds < kLastShown * kMinute) {
    return std::to_string(milliseconds / kSecond) + " s";
  }
  if (milliseconds < kLastShown * kHour) {
    return std::to_string(milliseconds / kMinute) + " min";
  }
  return std::to_string(milliseconds / kHour) + " h";
}

}  // namespace papayadrift::control
