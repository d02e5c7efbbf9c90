#include "control/exit_code.h"

#include <array>

namespace papayadrift::control {

std::span<const ExitCodeDescription> AllExitCodes() {
  static constexpr auto kCodes = std::to_array<ExitCodeDescription>({
      {ExitCode::kDone, "Done."},
      {ExitCode::kRefused, "The file or request was refused; nothing changed."},
      {ExitCode::kUsage, "The command line is wrong."},
      {ExitCode::kConflict, "Another change came first; nothing changed."},
      {ExitCode::kUnreachable, "No entry answered."},
      {ExitCode::kUnknown, "Whether the change took effect is not known."},
      {ExitCode::kDiffers,
       "diff: there are differences; status: a process "
       "lags or does not answer."},
      {ExitCode::kGaps, "outcomes: the record has gaps."},
  });
  return kCodes;
}

}  // namespace papayadrift::control
