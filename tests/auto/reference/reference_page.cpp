#include "reference_page.h"

#include "async_http/refusal_reporter.h"
#include "base/clock.h"
#include "base/refusal.h"
#include "configuration/configuration_reader.h"
#include "control/exit_code.h"
#include "entry/control_metrics.h"
#include "entry/loan_metrics.h"
#include "entry/refusal_response.h"
#include "entry/request_metrics.h"
#include "entry/routes.h"
#include "logging/event.h"
#include "metrics/registry.h"
#include "settings/checker.h"
#include "settings/entry_settings.h"
#include "settings/guard_settings.h"
#include "settings/problem.h"

namespace papayadrift {

namespace {

// Puts a page of its own one level lower.
std::string Lowered(std::string page) {
  for (size_t at = 0; (at = page.find("\n#", at)) != std::string::npos;
       at += 3) {
    page.insert(at + 1, "#");
  }
  return "#" + page + "\n";
}

std::string_view RoleName(const std::optional<access::Role>& role) {
  if (!role) {
    return "everyone";
  }
  switch (*role) {
    case access::Role::kCaller:
      return "callers";
    case access::Role::kOperator:
      return "operators";
    case access::Role::kWorker:
      return "workers";
    case access::Role::kPeer:
      return "entries";
  }
  return "";
}

std::string Routes() {
  std::string text =
      "## Routes of an entry\n\n| route | for | what it does "
      "|\n|---|---|---|\n";
  for (const entry::Route& route : entry::AllRoutes()) {
    text += "| `" + std::string(route.method) + " " + std::string(route.path) +
            "` | " + std::string(RoleName(route.role)) + " | " +
            std::string(route.description) + " |\n";
  }
  return text + "\n";
}

std::string Reasons() {
  std::string text =
      "## Reasons of refusals\n\n| reason | HTTP status |\n|---|---|\n";
  for (const RefusalReason reason : AllRefusalReasons()) {
    text += "| `" + std::string(ToText(reason)) + "` | " +
            std::to_string(entry::StatusOf(reason)) + " |\n";
  }
  text += "\n## Problems of files\n\n";
  for (const settings::ProblemKind kind : settings::AllProblemKinds()) {
    text += "- `" + std::string(settings::ToText(kind)) + "`\n";
  }
  return text + "\n";
}

std::string ExitCodes() {
  std::string text =
      "## Exit codes of papayadrift-ctl\n\n| code | meaning |\n|---|---|\n";
  for (const auto& it : control::AllExitCodes()) {
    text += "| " + std::to_string(static_cast<int>(it.code)) + " | " +
            std::string(it.meaning) + " |\n";
  }
  return text + "\n";
}

std::string Events() {
  std::string text =
      "## Events in the logs\n\n| event | level | meaning |\n|---|---|---|\n";
  for (const logging::EventDescription& event : logging::AllEvents()) {
    text += "| `" + std::string(event.name) + "` | " +
            std::string(logging::ToText(event.level)) + " | " +
            std::string(event.meaning) + " |\n";
  }
  return text + "\n";
}

std::string Metrics() {
  metrics::Registry registry;
  const entry::RequestMetrics requests(registry);
  const entry::ControlMetrics control(registry);
  const entry::LoanMetrics loans(registry);
  const SystemClock clock;
  const async_http::RefusalReporter refusals("callers", clock, nullptr,
                                             registry);
  std::string text = "## Metrics of an entry\n\n";
  for (const std::string& name : registry.names()) {
    text += "- `" + name + "`\n";
  }
  return text;
}

}  // namespace

std::string ReferencePage() {
  return "# Reference\n\nMade from the tables in the code by the test "
         "`reference`, which fails when this page\ndiffers. "
         "`UPDATE_REFERENCE=1 ctest --preset release -R reference` writes it "
         "anew.\n\n" +
         Lowered(
             settings::ReferencePage(configuration::ConfigurationSchema())) +
         Lowered(settings::ReferencePage(settings::EntrySettingsSchema())) +
         Lowered(settings::ReferencePage(settings::GuardSettingsSchema())) +
         Routes() + Reasons() + ExitCodes() + Events() + Metrics();
}

}  // namespace papayadrift
