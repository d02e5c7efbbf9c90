#include "step.h"

#include <array>

namespace papayadrift::run_histories {
namespace {

std::string Quote(milliseconds span) {
  return "milliseconds(" + std::to_string(span.count()) + ")";
}

std::string Quote(const Link& link) {
  static const std::array<const char*, kLinkKinds> names{
      "kReport",    "kOrders",       "kNotification", "kHold",
      "kOrder",     "kAnnouncement", "kCancellation", "kStoreWrite",
      "kStoreRead", "kAgentRead",    "kFrontend"};
  return "Link{LinkKind::" +
         std::string(names.at(static_cast<size_t>(link.kind))) + ", " +
         std::to_string(link.index) + "}";
}

std::string Quote(const Fault& fault) {
  static const std::array<const char*, 6> names{
      "kLoseRequest", "kLoseAnswer",    "kDelayRequest",
      "kDelayAnswer", "kRepeatRequest", "kRefuse"};
  return "Fault{Fault::Kind::" +
         std::string(names.at(static_cast<size_t>(fault.kind))) + ", " +
         Quote(fault.delay) + "}";
}

struct Writer {
  std::string operator()(const Pass& it) const {
    return "Pass{" + Quote(it.span) + "}";
  }
  std::string operator()(const Submit& it) const {
    return Call("Submit", it.job, it.front);
  }
  std::string operator()(const Cancel& it) const {
    return Call("Cancel", it.job, it.front);
  }
  std::string operator()(const Query& it) const {
    return Call("Query", it.job, it.front);
  }
  std::string operator()(const FreezeFront& it) const {
    return Call("FreezeFront", it.front, it.span);
  }
  std::string operator()(const SlowFront& it) const {
    return Call("SlowFront", it.front, it.span);
  }
  std::string operator()(const StopFront& it) const {
    return "StopFront{" + std::to_string(it.front) + "}";
  }
  std::string operator()(const FreezeAgent& it) const {
    return Call("FreezeAgent", it.agent, it.span);
  }
  std::string operator()(const StopAgent& it) const {
    return "StopAgent{" + std::to_string(it.agent) + "}";
  }
  std::string operator()(const MoveFrontClock& it) const {
    return Call("MoveFrontClock", it.front, it.by);
  }
  std::string operator()(const MoveRunnerClock& it) const {
    return Call("MoveRunnerClock", it.runner, it.by);
  }
  std::string operator()(const RestartFront& it) const {
    return "RestartFront{" + std::to_string(it.front) + "}";
  }
  std::string operator()(const CrashRunner& it) const {
    return "CrashRunner{" + std::to_string(it.runner) + ", " +
           (it.keeps_name ? "true" : "false") + ", " + Quote(it.down) + "}";
  }
  std::string operator()(const RestartAgent& it) const {
    return "RestartAgent{" + std::to_string(it.agent) + ", " +
           Quote(it.clock_lead) + "}";
  }
  std::string operator()(const Resize& it) const {
    return "Resize{" + std::to_string(it.runner) + ", " +
           std::to_string(it.millicores) + "}";
  }
  std::string operator()(const EndRun& it) const {
    return "EndRun{" + std::to_string(it.runner) + ", jobs::RunEnd::" +
           (it.end == jobs::RunEnd::kDone ? "kDone" : "kFailed") + "}";
  }
  std::string operator()(const DropHistory&) const { return "DropHistory{}"; }
  std::string operator()(const Disturb& it) const {
    return "Disturb{" + Quote(it.link) + ", " + Quote(it.fault) + "}";
  }
  std::string operator()(const Cut& it) const {
    return "Cut{" + Quote(it.link) + ", " + Quote(it.span) + "}";
  }

 private:
  static std::string Call(const std::string& name,
                          size_t index,
                          milliseconds time) {
    return name + "{" + std::to_string(index) + ", " + Quote(time) + "}";
  }
  static std::string Call(const std::string& name, size_t job, size_t front) {
    return name + "{" + std::to_string(job) + ", " + std::to_string(front) +
           "}";
  }
};

}  // namespace

std::string ToText(const Step& step) {
  return std::visit(Writer(), step);
}

std::string ToTest(const History& history) {
  std::string text = "TEST(RunHistoryTest, Found) {\n  ExpectSound({\n";
  for (const Step& step : history) {
    text += "      " + ToText(step) + ",\n";
  }
  return text + "  });\n}\n";
}

}  // namespace papayadrift::run_histories
