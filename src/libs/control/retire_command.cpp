#include <nlohmann/json.hpp>
#include <ostream>

#include "control/answer_p.h"
#include "control/commands.h"

namespace papayadrift::control {

namespace {

using nlohmann::json;

constexpr int kDone = 200;

http::Request RetireRequest(const std::string& entry, uint64_t incarnation) {
  http::Request request;
  request.method = "POST";
  request.path = "/admin/v1/entries/" + entry + "/retirement";
  request.headers["incarnation"] = std::to_string(incarnation);
  return request;
}

ExitCode ReportAnswer(const http::Response& response, const Output& output) {
  const json body = ObjectIn(response);
  if (output.is_json) {
    output.out << body.dump() << "\n";
  }
  if (response.status == kDone) {
    if (!output.is_json) {
      output.out << "Incarnation " << body.value("incarnation", uint64_t{0})
                 << " of " << body.value("entry", "")
                 << " is lapsed. What it held is free after the usual "
                    "waits.\n";
    }
    return ExitCode::kDone;
  }
  if (body.value("ran", "no") == "unknown") {
    output.error << body.value("detail", "") << "\n";
    return ExitCode::kUnknown;
  }
  const ExitCode code = ReportRefusal(response, output);
  if (const auto it = body.find("retry_after_ms"); it != body.end()) {
    output.error << "Ask again in " << *it << " ms.\n";
  }
  return code;
}

}  // namespace

ExitCode RunRetire(const RetireOptions& options,
                   EntryClient& client,
                   const Output& output) {
  if (!options.incarnation) {
    output.error << "Name the incarnation that status shows, with "
                    "--incarnation.\n";
    return ExitCode::kUsage;
  }
  const std::optional<http::Response> response =
      client.Send(RetireRequest(options.entry, *options.incarnation), false);
  return response ? ReportAnswer(*response, output)
                  : ReportNoAnswer(client, output);
}

}  // namespace papayadrift::control
