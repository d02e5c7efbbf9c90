#include "logging/logger.h"

#include <fmt/chrono.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace papayadrift::logging {

namespace {

using Json = nlohmann::ordered_json;

constexpr bool kFlushEachLine = true;

spdlog::level::level_enum ToSpdlog(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarning:
      return spdlog::level::warn;
    case Level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

std::string ToText(WallInstant instant) {
  const auto second = std::chrono::floor<seconds>(instant);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(second)),
                     (instant - second).count());
}

}  // namespace

class Logger::Private {
 public:
  Private(std::string process_name,
          Level minimum,
          const Clock& process_clock,
          std::ostream& stream)
      : process(std::move(process_name)),
        clock(process_clock),
        lines(
            process,
            std::make_shared<spdlog::sinks::ostream_sink_mt>(stream,
                                                             kFlushEachLine)) {
    lines.set_pattern("%v");
    lines.set_level(ToSpdlog(minimum));
  }

  const std::string process;
  const Clock& clock;
  spdlog::logger lines;
};

Logger::Logger(std::string process,
               Level minimum,
               const Clock& clock,
               std::ostream& stream)
    : private_(std::make_unique<Private>(std::move(process),
                                         minimum,
                                         clock,
                                         stream)) {}

Logger::~Logger() = default;

void Logger::Log(Event event, std::initializer_list<Field> fields) {
  const EventDescription& description = Describe(event);
  const spdlog::level::level_enum level = ToSpdlog(description.level);
  if (!private_->lines.should_log(level)) {
    return;
  }
  Json line = {{"time", ToText(private_->clock.WallNow())},
               {"level", logging::ToText(description.level)},
               {"event", description.name},
               {"process", private_->process}};
  for (const Field& field : fields) {
    std::visit(
        [&](const auto& value) { line[std::string(field.name)] = value; },
        field.value);
  }
  // Bytes that are no UTF-8 are replaced: a line is never lost.
  private_->lines.log(
      level, "{}", line.dump(-1, ' ', false, Json::error_handler_t::replace));
}

}  // namespace papayadrift::logging
