#include "process/process_end.h"

#include <cstdlib>
#include <iostream>

namespace papayadrift::process {

void EndProcess(int exit_code) {
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(exit_code);
}

}  // namespace papayadrift::process
