#ifndef PAPAYADRIFT_BASE_RESOURCES_H_
#define PAPAYADRIFT_BASE_RESOURCES_H_

#include <compare>
#include <cstdint>
#include <string>

namespace papayadrift {

// Amounts of what a VM offers or a task takes.
struct Resources {
  int64_t millicores = 0;        // Thousandths of a processor core.
  int64_t memory_mebibytes = 0;  // MiB.
  int64_t accelerators = 0;      // Whole devices.

  friend bool operator==(const Resources&, const Resources&) = default;
};

Resources operator+(const Resources& left, const Resources& right);
Resources operator-(const Resources& left, const Resources& right);

// Returns whether every amount of `need` is at most that of `available`.
bool FitsIn(const Resources& need, const Resources& available);

// Returns whether no amount is negative.
bool IsNonNegative(const Resources& resources);

// Returns for example "2.000 cores, 512 MiB, 1 accelerators".
std::string ToText(const Resources& resources);

}  // namespace papayadrift

#endif  // PAPAYADRIFT_BASE_RESOURCES_H_
