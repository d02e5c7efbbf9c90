#ifndef PAPAYADRIFT_HTTP_MESSAGE_H_
#define PAPAYADRIFT_HTTP_MESSAGE_H_

#include <map>
#include <string>
#include <variant>

namespace papayadrift::http {

// Header fields by lower-case name.
using Headers = std::map<std::string, std::string>;

struct Request {
  std::string method;  // "GET", "POST", ...
  std::string path;    // Decoded, without the query: "/v1/jobs".
  std::map<std::string, std::string> query;
  Headers headers;
  std::string body;
  std::string remote_address;  // Set by the server: the caller's IP number.

  friend bool operator==(const Request&, const Request&) = default;
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;

  friend bool operator==(const Response&, const Response&) = default;
};

// Why a client has no whole response.
enum class ClientFailure {
  kNotConnected,  // No connection, or no time left: not a byte was sent.
  kRefused,       // Nothing listens at the address: not a byte was sent.
  kLost,          // The connection broke; the request may have arrived.
  kTimedOut,      // The deadline passed; the request may have arrived.
  kTruncated,     // The body is shorter than announced.
  kTooLarge,      // The body is larger than allowed.
};

using ClientResult = std::variant<Response, ClientFailure>;

}  // namespace papayadrift::http

#endif  // PAPAYADRIFT_HTTP_MESSAGE_H_
