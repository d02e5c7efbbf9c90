#include <nlohmann/json.hpp>
#include <ostream>

#include "control/answer_p.h"
#include "control/commands.h"

namespace papayadrift::control {

ExitCode RunDump(EntryClient& client, const Output& output) {
  constexpr int kIndent = 2;
  return ShowAnswerTo(
      Query("/admin/v1/dump"), client, output, [&](const nlohmann::json& dump) {
        Show(dump, output, [&] { output.out << dump.dump(kIndent) << "\n"; });
      });
}

}  // namespace papayadrift::control
