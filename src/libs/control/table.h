#ifndef PAPAYADRIFT_CONTROL_TABLE_H_
#define PAPAYADRIFT_CONTROL_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace papayadrift::control {

// Text in aligned columns.
class Table {
 public:
  explicit Table(std::vector<std::string> titles);

  // Adds a row with as many cells as there are titles.
  void AddRow(std::vector<std::string> cells);

  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// Returns for example "350 ms", "12 s", "3 min" or "5 h".
std::string AgeText(int64_t milliseconds);

}  // namespace papayadrift::control

#endif  // PAPAYADRIFT_CONTROL_TABLE_H_
