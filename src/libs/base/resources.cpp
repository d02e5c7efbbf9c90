#include "base/resources.h"

#include <cstdio>

namespace papayadrift {

Resources operator+(const Resources& left, const Resources& right) {
  return {left.millicores + right.millicores,
          left.memory_mebibytes + right.memory_mebibytes,
          left.accelerators + right.accelerators};
}

Resources operator-(const Resources& left, const Resources& right) {
  return {left.millicores - right.millicores,
          left.memory_mebibytes - right.memory_mebibytes,
          left.accelerators - right.accelerators};
}

bool FitsIn(const Resources& need, const Resources& available) {
  return need.millicores <= available.millicores &&
         need.memory_mebibytes <= available.memory_mebibytes &&
         need.accelerators <= available.accelerators;
}

bool IsNonNegative(const Resources& resources) {
  return FitsIn(Resources(), resources);
}

std::string ToText(const Resources& resources) {
  constexpr double kMillicoresPerCore = 1000.0;
  char buf[96];
  std::snprintf(buf, sizeof(buf), "%.3f cores, %lld MiB, %lld accelerators",
                static_cast<double>(resources.millicores) / kMillicoresPerCore,
                static_cast<long long>(resources.memory_mebibytes),
                static_cast<long long>(resources.accelerators));
  return buf;
}

}  // namespace papayadrift
