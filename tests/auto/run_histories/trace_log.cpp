#include "trace_log.h"

#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

namespace papayadrift::run_histories {
namespace {

struct ValueWriter {
  std::string operator()(const std::string& value) const { return value; }
  std::string operator()(bool value) const { return value ? "true" : "false"; }
  template <typename T>
  std::string operator()(T value) const {
    return std::to_string(value);
  }
};

}  // namespace

TraceLog::TraceLog(std::string process, Trace trace)
    : process_(std::move(process)), trace_(std::move(trace)) {}

void TraceLog::Log(logging::Event event,
                   std::initializer_list<logging::Field> fields) {
  if (!trace_) {
    return;
  }
  std::string line = "  " + process_ + ": " + std::string(ToText(event));
  for (const logging::Field& it : fields) {
    line +=
        " " + std::string(it.name) + "=" + std::visit(ValueWriter(), it.value);
  }
  trace_(line);
}

}  // namespace papayadrift::run_histories
