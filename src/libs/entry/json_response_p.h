#ifndef PAPAYADRIFT_ENTRY_JSON_RESPONSE_P_H_
#define PAPAYADRIFT_ENTRY_JSON_RESPONSE_P_H_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "http/message.h"

namespace papayadrift::entry {

// Returns a response with `text`, which is JSON.
inline http::Response JsonTextResponse(int status, std::string text) {
  return {status, {{"content-type", "application/json"}}, std::move(text)};
}

// Returns a response with `body` as JSON.
inline http::Response JsonResponse(int status, const nlohmann::json& body) {
  return JsonTextResponse(status, body.dump());
}

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_JSON_RESPONSE_P_H_
