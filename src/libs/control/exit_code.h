#ifndef PAPAYADRIFT_CONTROL_EXIT_CODE_H_
#define PAPAYADRIFT_CONTROL_EXIT_CODE_H_

#include <span>
#include <string_view>

namespace papayadrift::control {

// What papayadrift-ctl exits with.
enum class ExitCode {
  kDone = 0,
  kRefused = 1,      // The file or the request was refused; nothing changed.
  kUsage = 2,        // The command line is wrong.
  kConflict = 3,     // Another change came first.
  kUnreachable = 4,  // No entry answered.
  kUnknown = 5,      // Whether the change took effect is not known.
  kDiffers = 6,      // diff: differences; status: some process lags.
  kGaps = 7,         // outcomes: the record has gaps.
};

struct ExitCodeDescription {
  ExitCode code;
  std::string_view meaning;
};

// All codes with their meanings, for --help and the reference.
std::span<const ExitCodeDescription> AllExitCodes();

}  // namespace papayadrift::control

#endif  // PAPAYADRIFT_CONTROL_EXIT_CODE_H_
