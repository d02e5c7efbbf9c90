#include "logging/logger.h"

#include <fmt/chrono.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>

#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

namespace papayadrift::logging {

namespace {

using Json = nlohmann::ordered_json;

// For the last lines to be read, at the end of the process.
constexpr seconds kLastLinesLimit(1);

// Hands finished lines on; they carry all that a pattern would add.
class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit LineSink(LineWriter& writer) : writer_(writer) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    writer_.Offer(message.level >= spdlog::level::warn ? Precedence::kImportant
                                                       : Precedence::kRoutine,
                  std::string(message.payload.begin(), message.payload.end()));
  }
  void flush_() override {}

 private:
  LineWriter& writer_;
};

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

// Bytes that are no UTF-8 are replaced: a line is never lost.
std::string ToText(const Json& line) {
  return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

class Logger::Private {
 public:
  Private(std::string process_name,
          Level minimum,
          const Clock& process_clock,
          int descriptor,
          const LoggerSettings& settings)
      : process(std::move(process_name)),
        clock(process_clock),
        writer(descriptor,
               settings.lines,
               [this](uint64_t dropped) {
                 Json line = LineOf(Event::kLinesDropped);
                 line["count"] = dropped;
                 return ToText(line);
               }),
        lines(process, std::make_shared<LineSink>(writer)) {
    lines.set_level(ToSpdlog(minimum));
    for (const EventDescription& it : AllEvents()) {
      budgets.emplace_back(it.level >= Level::kWarning ? settings.failure_budget
                                                       : settings.budget);
    }
  }

  EventBudget& BudgetOf(Event event) {
    return budgets[static_cast<size_t>(event)];
  }

  // Returns what every line of the event has.
  Json LineOf(Event event) const {
    const EventDescription& description = Describe(event);
    return {{"time", ToText(clock.WallNow())},
            {"level", logging::ToText(description.level)},
            {"event", description.name},
            {"process", process}};
  }

  const std::string process;
  const Clock& clock;
  LineWriter writer;
  std::deque<EventBudget> budgets;  // By event.
  spdlog::logger lines;
};

Logger::Logger(std::string process,
               Level minimum,
               const Clock& clock,
               int descriptor,
               const LoggerSettings& settings)
    : private_(std::make_unique<Private>(std::move(process),
                                         minimum,
                                         clock,
                                         descriptor,
                                         settings)) {}

Logger::~Logger() {
  Finish();
}

void Logger::Log(Event event, std::initializer_list<Field> fields) {
  const spdlog::level::level_enum level = ToSpdlog(Describe(event).level);
  EventBudget& budget = private_->BudgetOf(event);
  if (!private_->lines.should_log(level) ||
      !budget.TryTake(private_->clock.Now())) {
    return;
  }
  Json line = private_->LineOf(event);
  for (const Field& field : fields) {
    std::visit(
        [&](const auto& value) { line[std::string(field.name)] = value; },
        field.value);
  }
  if (const uint64_t left_out = budget.TakeLeftOut(); left_out > 0) {
    line["left_out"] = left_out;
  }
  private_->lines.log(level, "{}", ToText(line));
}

void Logger::Finish() {
  private_->writer.Finish(kLastLinesLimit);
}

uint64_t Logger::missing_count() const {
  return std::transform_reduce(
      private_->budgets.begin(), private_->budgets.end(),
      private_->writer.dropped_count(), std::plus<>(),
      [](const EventBudget& it) { return it.left_out_count(); });
}

}  // namespace papayadrift::logging
