#ifndef PAPAYADRIFT_PROCESS_TEXT_FILE_H_
#define PAPAYADRIFT_PROCESS_TEXT_FILE_H_

#include <optional>
#include <string>

namespace papayadrift::process {

// Returns the whole content of a file, or nothing when it can't be read.
std::optional<std::string> ReadTextFile(const std::string& path);

}  // namespace papayadrift::process

#endif  // PAPAYADRIFT_PROCESS_TEXT_FILE_H_
