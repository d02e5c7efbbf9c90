#include <nlohmann/json.hpp>
#include <ostream>

#include "control/answer_p.h"
#include "control/commands.h"
#include "process/text_file.h"

namespace papayadrift::control {

namespace {

constexpr int kConflict = 409;
constexpr int kDone = 200;

std::optional<uint64_t> VersionInForce(EntryClient& client) {
  const std::optional<nlohmann::json> answer =
      AnswerIn(client.Send(Query("/admin/v1/configuration"), true));
  if (!answer) {
    return std::nullopt;
  }
  return answer->value("version", uint64_t{0});
}

http::Request ApplyRequest(const ApplyOptions& options,
                           std::string text,
                           uint64_t expected) {
  http::Request request;
  request.method = "PUT";
  request.path = "/admin/v1/configuration";
  request.headers["expected-version"] = std::to_string(expected);
  request.headers["author"] = options.author;
  request.body = std::move(text);
  return request;
}

ExitCode ReportAnswer(const http::Response& response, const Output& output) {
  const nlohmann::json body = ObjectIn(response);
  if (output.is_json) {
    output.out << body.dump() << "\n";
  }
  if (response.status == kDone) {
    if (!output.is_json) {
      output.out << "Version " << body.value("version", uint64_t{0})
                 << " is in force at the entry that took it.\n";
    }
    return ExitCode::kDone;
  }
  if (response.status == kConflict) {
    output.error << "Version " << body.value("winner_version", uint64_t{0})
                 << " by " << body.value("winner_author", "nobody")
                 << " came first; nothing was changed.\n";
    return ExitCode::kConflict;
  }
  if (body.value("ran", "no") == "unknown") {
    output.error << "Whether the file took effect is not known yet; see "
                    "status.\n";
    return ExitCode::kUnknown;
  }
  return ReportRefusal(response, output);
}

}  // namespace

ExitCode RunApply(const ApplyOptions& options,
                  EntryClient& client,
                  const Output& output) {
  std::optional<std::string> text = process::ReadTextFile(options.path);
  if (!text) {
    return RunValidate(options.path, output);
  }
  const ExitCode validity =
      RunValidate(options.path, {output.error, output.error, false});
  if (validity != ExitCode::kDone) {
    return validity;
  }
  const std::optional<uint64_t> expected = options.expected_version
                                               ? options.expected_version
                                               : VersionInForce(client);
  if (!expected) {
    return ReportNoAnswer(client, output);
  }
  output.error << "Applying against version " << *expected << ".\n";
  const std::optional<http::Response> response =
      client.Send(ApplyRequest(options, std::move(*text), *expected), false);
  if (!response) {
    return ReportNoAnswer(client, output);
  }
  return ReportAnswer(*response, output);
}

}  // namespace papayadrift::control
