#ifndef PAPAYADRIFT_TESTS_COMPOSITION_LINKS_H_
#define PAPAYADRIFT_TESTS_COMPOSITION_LINKS_H_

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace papayadrift::test {

// Which processes can't reach each other at the moment. Names are those of
// entries and workers, and kLogName.
class Links {
 public:
  void Cut(const std::string& one, const std::string& other) {
    cuts_.emplace(std::min(one, other), std::max(one, other));
  }
  void HealAll() { cuts_.clear(); }
  bool IsCut(const std::string& one, const std::string& other) const {
    return cuts_.contains({std::min(one, other), std::max(one, other)});
  }

 private:
  std::set<std::pair<std::string, std::string>> cuts_;
};

inline constexpr char kLogName[] = "log";

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_COMPOSITION_LINKS_H_
