#include "process/text_file.h"

#include <fstream>
#include <sstream>

namespace papayadrift::process {

std::optional<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  const bool is_empty =
      file.peek() == std::ifstream::traits_type::eof() && !file.bad();
  std::ostringstream buf;
  if (!is_empty && !(buf << file.rdbuf())) {
    return std::nullopt;
  }
  return buf.str();
}

}  // namespace papayadrift::process
