#include "control/entry_client.h"

#include <utility>

namespace papayadrift::control {

EntryClient::EntryClient(Fetch fetch,
                         std::vector<std::string> addresses,
                         std::string token)
    : fetch_(std::move(fetch)),
      addresses_(std::move(addresses)),
      token_(std::move(token)) {}

std::optional<http::Response> EntryClient::Send(const http::Request& request,
                                                bool is_query) {
  last_reason_ = EntryClientFailure::kUnreachable;
  for (const std::string& address : addresses_) {
    std::optional<http::Response> response = SendTo(address, request);
    if (response) {
      return response;
    }
    if (last_reason_ == EntryClientFailure::kAnswerLost && !is_query) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

std::optional<http::Response> EntryClient::SendTo(const std::string& address,
                                                  http::Request request) {
  if (!token_.empty()) {
    request.headers["authorization"] = "Bearer " + token_;
  }
  http::ClientResult result = fetch_(address, request);
  if (auto* response = std::get_if<http::Response>(&result)) {
    last_reason_.reset();
    return std::move(*response);
  }
  last_reason_ = std::get<http::ClientFailure>(result) ==
                         http::ClientFailure::kNotConnected
                     ? EntryClientFailure::kUnreachable
                     : EntryClientFailure::kAnswerLost;
  return std::nullopt;
}

std::optional<EntryClientFailure> EntryClient::last_reason() const {
  return last_reason_;
}

http::Request Query(std::string path) {
  http::Request request;
  request.method = "GET";
  request.path = std::move(path);
  return request;
}

}  // namespace papayadrift::control
