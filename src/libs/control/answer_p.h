#ifndef PAPAYADRIFT_CONTROL_ANSWER_P_H_
#define PAPAYADRIFT_CONTROL_ANSWER_P_H_

// What the commands share: to ask an entry, to take its answer, to show it or
// to report why there is none.

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

#include "control/commands.h"
#include "http/message.h"

namespace papayadrift::control {

// Returns the JSON object in a response's body, or an empty object.
nlohmann::json ObjectIn(const http::Response& response);

// Returns the JSON object of a response that grants what was asked for.
std::optional<nlohmann::json> AnswerIn(
    const std::optional<http::Response>& response);

// Reports that no response came.
ExitCode ReportNoAnswer(const EntryClient& client, const Output& output);

// Reports a response that refuses.
ExitCode ReportRefusal(const http::Response& response, const Output& output);

// Reports the refusal, or that no response came.
ExitCode ReportRefusalOrNoAnswer(const std::optional<http::Response>& refusal,
                                 const EntryClient& client,
                                 const Output& output);

// Writes `body` if JSON is wanted; otherwise has the text printed.
void Show(const nlohmann::json& body,
          const Output& output,
          const std::function<void()>& print_text);

// Asks the first entry that answers and has its answer shown; reports why if
// there is none.
ExitCode ShowAnswerTo(const http::Request& request,
                      EntryClient& client,
                      const Output& output,
                      const std::function<void(nlohmann::json)>& show);

}  // namespace papayadrift::control

#endif  // PAPAYADRIFT_CONTROL_ANSWER_P_H_
