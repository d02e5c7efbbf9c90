#include "process/settings_file.h"

#include <ostream>

namespace papayadrift::process {

void PrintProblems(const std::vector<settings::Problem>& problems,
                   const std::string& path,
                   std::ostream& error) {
  for (const settings::Problem& problem : problems) {
    error << ToText(problem, path) << "\n";
  }
}

}  // namespace papayadrift::process
