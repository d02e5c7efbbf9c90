#include <netinet/tcp.h>

#include <charconv>
#include <tuple>
#include <utility>

#include "async_http/address.h"
#include "async_http/beast_p.h"

namespace papayadrift::async_http {
namespace {

namespace beast_http = boost::beast::http;

// A peer that acknowledges nothing for this long is behind a cut: longer than
// the retransmissions of a few lost packets take.
constexpr int kUnacknowledgedLimitMs = 3000;

std::string LowerCase(boost::beast::string_view text) {
  std::string lower(text);
  for (char& it : lower) {
    it = boost::beast::detail::ascii_tolower(it);
  }
  return lower;
}

template <typename Fields>
http::Headers HeadersOf(const Fields& fields) {
  http::Headers headers;
  for (const auto& field : fields) {
    headers[LowerCase(field.name_string())] = std::string(field.value());
  }
  return headers;
}

}  // namespace

std::optional<Endpoint> EndpointOf(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(address.substr(0, colon), ec);
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return Endpoint(ip, port);
}

bool IsAddress(const std::string& text) {
  const auto endpoint = EndpointOf(text);
  return endpoint && endpoint->port() != 0;
}

void SetSocketOptions(boost::asio::ip::tcp::socket& socket) {
  // Without these the connection works too, only less well.
  boost::system::error_code ignored;
  std::ignore =
      socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  using UserTimeout =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>;
  std::ignore = socket.set_option(UserTimeout(kUnacknowledgedLimitMs), ignored);
}

http::Request FromBeast(StringRequest&& request) {
  http::Request result;
  result.method = std::string(request.method_string());
  const std::string target(request.target());
  result.path = target.substr(0, target.find('?'));
  result.headers = HeadersOf(request);
  result.body = std::move(request.body());
  return result;
}

StringRequest ToBeast(const http::Request& request, const std::string& host) {
  std::string target = request.path;
  char separator = '?';
  for (const auto& [name, value] : request.query) {
    target += separator;
    target.append(name).append("=").append(value);
    separator = '&';
  }
  StringRequest result;
  result.version(11);
  result.method_string(request.method);
  result.target(target);
  result.set(beast_http::field::host, host);
  for (const auto& [name, value] : request.headers) {
    result.set(name, value);
  }
  result.body() = request.body;
  result.prepare_payload();
  return result;
}

http::Response FromBeast(StringResponse&& response) {
  return http::Response{static_cast<int>(response.result_int()),
                        HeadersOf(response), std::move(response.body())};
}

StringResponse ToBeast(http::Response&& response, unsigned version) {
  StringResponse result;
  result.version(version);
  result.result(static_cast<unsigned>(response.status));
  for (const auto& [name, value] : response.headers) {
    result.set(name, value);
  }
  result.body() = std::move(response.body);
  result.prepare_payload();
  return result;
}

}  // namespace papayadrift::async_http
