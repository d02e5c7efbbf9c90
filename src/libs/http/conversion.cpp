#include "http/conversion_p.h"

#include <cpprest/http_headers.h>
#include <cpprest/producerconsumerstream.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace papayadrift::http {

namespace {

constexpr char kContentType[] = "content-type";
constexpr char kDefaultContentType[] = "application/octet-stream";

char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                        : letter;
}

std::string ToLower(std::string text) {
  std::ranges::transform(text, text.begin(),
                         [](char letter) { return ToLower(letter); });
  return text;
}

web::uri ToUri(const Request& request) {
  web::uri_builder uri;
  uri.set_path(request.path, true);
  for (const auto& [key, value] : request.query) {
    uri.append_query(web::uri::encode_data_string(key) + "=" +
                         web::uri::encode_data_string(value),
                     false);
  }
  return uri.to_uri();
}

std::string ContentType(const Headers& headers) {
  const auto it = headers.find(kContentType);
  return it == headers.end() ? kDefaultContentType : it->second;
}

}  // namespace

Headers FromCppRest(web::http::http_headers& headers) {
  Headers result;
  for (const auto& [name, value] : headers) {
    result.emplace(ToLower(name), value);
  }
  return result;
}

void CopyTo(const Headers& headers, web::http::http_headers& target) {
  for (const auto& [name, value] : headers) {
    target[name] = value;
  }
}

bool ReadTarget(const std::string& target, Request& request) {
  try {
    const web::uri uri(target);
    request.path = web::uri::decode(uri.path());
    for (const auto& [key, value] : web::uri::split_query(uri.query())) {
      request.query[web::uri::decode(key)] = web::uri::decode(value);
    }
  } catch (const std::exception&) {
    return false;
  }
  return true;
}

web::http::http_request ToCppRest(Request request) {
  web::http::http_request message(request.method);
  message.set_request_uri(ToUri(request));
  CopyTo(request.headers, message.headers());
  concurrency::streams::producer_consumer_buffer<uint8_t> buf;
  // Nothing here may wait: a thread of the pool that waits for the pool can
  // wait for ever.
  if (!request.body.empty()) {
    uint8_t* const target = buf.alloc(request.body.size());
    std::ranges::copy(request.body, target);
    buf.commit(request.body.size());
  }
  buf.close(std::ios_base::out);
  message.set_body(buf.create_istream(), request.body.size(),
                   ContentType(request.headers));
  return message;
}

std::optional<uint64_t> AnnouncedLength(web::http::http_headers& headers) {
  const auto it = headers.find(web::http::header_names::content_length);
  if (it == headers.end()) {
    return std::nullopt;
  }
  const std::string& text = it->second;
  uint64_t length = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  if (ec != std::errc()) {
    return std::nullopt;
  }
  return length;
}

}  // namespace papayadrift::http
