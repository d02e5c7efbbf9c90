#ifndef PAPAYADRIFT_BENCHMARKS_SUPPORT_BOUNDS_H_
#define PAPAYADRIFT_BENCHMARKS_SUPPORT_BOUNDS_H_

#include <set>
#include <string>
#include <string_view>

namespace papayadrift {

// Prints one line for each bound: "name figure unit bound pass|fail". A bound
// that has a section in KNOWN-RED.txt in the working directory is printed as
// known-red instead of fail, and does not count.
class Bounds {
 public:
  Bounds();

  void AtMost(const std::string& name,
              double figure,
              std::string_view unit,
              double bound);
  // Below the bound, or both are none.
  void Below(const std::string& name,
             double figure,
             std::string_view unit,
             double bound);
  void AtLeast(const std::string& name,
               double figure,
               std::string_view unit,
               double bound);

  // Prints a figure that has no bound.
  void Show(const std::string& name, double figure, std::string_view unit);

  // Returns whether a bound failed that is not known to fail.
  bool has_failed() const { return has_failed_; }

 private:
  void Print(const std::string& name,
             double figure,
             std::string_view unit,
             std::string_view relation,
             double bound,
             bool is_kept);

  std::set<std::string> known_red_;
  bool has_failed_ = false;
};

}  // namespace papayadrift

#endif  // PAPAYADRIFT_BENCHMARKS_SUPPORT_BOUNDS_H_
