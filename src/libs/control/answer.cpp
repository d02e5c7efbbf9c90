#include <ostream>
#include <utility>

#include "control/answer_p.h"

namespace papayadrift::control {

namespace {

constexpr int kOk = 200;

}  // namespace

nlohmann::json ObjectIn(const http::Response& response) {
  nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

std::optional<nlohmann::json> AnswerIn(
    const std::optional<http::Response>& response) {
  if (!response || response->status != kOk) {
    return std::nullopt;
  }
  return ObjectIn(*response);
}

ExitCode ReportNoAnswer(const EntryClient& client, const Output& output) {
  if (client.last_reason() == EntryClientFailure::kAnswerLost) {
    output.error << "The entry's answer was lost.\n";
    return ExitCode::kUnknown;
  }
  output.error << "No entry can be reached.\n";
  return ExitCode::kUnreachable;
}

ExitCode ReportRefusal(const http::Response& response, const Output& output) {
  const nlohmann::json body = ObjectIn(response);
  output.error << "Refused: " << body.value("reason", "no reason given") << ". "
               << body.value("detail", "") << "\n";
  return ExitCode::kRefused;
}

ExitCode ReportRefusalOrNoAnswer(const std::optional<http::Response>& refusal,
                                 const EntryClient& client,
                                 const Output& output) {
  return refusal ? ReportRefusal(*refusal, output)
                 : ReportNoAnswer(client, output);
}

void Show(const nlohmann::json& body,
          const Output& output,
          const std::function<void()>& print_text) {
  if (output.is_json) {
    output.out << body.dump() << "\n";
    return;
  }
  print_text();
}

ExitCode ShowAnswerTo(const http::Request& request,
                      EntryClient& client,
                      const Output& output,
                      const std::function<void(nlohmann::json)>& show) {
  const std::optional<http::Response> response = client.Send(request, true);
  std::optional<nlohmann::json> answer = AnswerIn(response);
  if (!answer) {
    return ReportRefusalOrNoAnswer(response, client, output);
  }
  show(std::move(*answer));
  return ExitCode::kDone;
}

}  // namespace papayadrift::control
