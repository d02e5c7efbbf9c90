#ifndef PAPAYADRIFT_ASYNC_HTTP_BEAST_P_H_
#define PAPAYADRIFT_ASYNC_HTTP_BEAST_P_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "http/message.h"

namespace papayadrift::async_http {

using StringRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using StringResponse =
    boost::beast::http::response<boost::beast::http::string_body>;
using Endpoint = boost::asio::ip::tcp::endpoint;

// Bytes that are read at once: beast reads what its buffer holds, half a
// kilobyte unless it is told. Each read is a turn of the event loop. A server
// has a buffer for each of its connections.
inline constexpr size_t kClientReadBytes = 64 * 1024;
inline constexpr size_t kServerReadBytes = 8 * 1024;

// Returns nothing when `address` is not "ip:port".
std::optional<Endpoint> EndpointOf(const std::string& address);

// Sets what makes a broken path known soon: no delay of small packets, and a
// limit on unacknowledged bytes.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

http::Request FromBeast(StringRequest&& request);
StringRequest ToBeast(const http::Request& request, const std::string& host);
http::Response FromBeast(StringResponse&& response);
StringResponse ToBeast(http::Response&& response, unsigned version);

}  // namespace papayadrift::async_http

#endif  // PAPAYADRIFT_ASYNC_HTTP_BEAST_P_H_
