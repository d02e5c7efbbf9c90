#include "trace_log.h"

#include <cstdint>
#include <string_view>
#include <utility>
#include <variant>

#include "base/hash.h"

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

// Returns a hash of who logs what, without names, numbers and reasons.
uint64_t HashOf(const std::string& process,
                logging::Event event,
                std::initializer_list<logging::Field> fields) {
  uint64_t hash = StableHash(process, static_cast<uint64_t>(event));
  for (const logging::Field& it : fields) {
    if (it.name == "change") {
      hash = StableHash(std::get<std::string>(it.value), hash);
    }
  }
  return hash;
}

}  // namespace

TraceLog::TraceLog(std::string process, Trace trace, Coverage* coverage)
    : process_(std::move(process)),
      trace_(std::move(trace)),
      coverage_(coverage) {}

void TraceLog::Log(logging::Event event,
                   std::initializer_list<logging::Field> fields) {
  if (coverage_ != nullptr) {
    coverage_->OnEvent(HashOf(process_, event, fields));
  }
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
