#include "log/http_log.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "log/wire.h"

namespace papayadrift::log {

namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

std::string PathOf(const StreamId& stream) {
  return "/v1/streams/" + stream.text() + "/records";
}

std::optional<Offset> OffsetIn(const std::string& body, const char* member) {
  const nlohmann::json object = nlohmann::json::parse(body, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  const auto it = object.find(member);
  if (it == object.end() || !it->is_number_unsigned()) {
    return std::nullopt;
  }
  return Offset(it->get<uint64_t>());
}

AppendResult AppendResultOf(const http::ClientResult& result) {
  if (const auto* failure = std::get_if<http::ClientFailure>(&result)) {
    if (*failure == http::ClientFailure::kNotConnected) {
      return AppendRefused();
    }
    return AppendUnanswered();
  }
  const auto& response = std::get<http::Response>(result);
  if (response.status == kUnavailable) {
    return AppendRefused();
  }
  const std::optional<Offset> offset =
      response.status == kOk ? OffsetIn(response.body, "offset") : std::nullopt;
  if (!offset) {
    return AppendUnanswered();
  }
  return Appended{*offset};
}

ReadResult ReadResultOf(const http::ClientResult& result) {
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr) {
    return ReadFailed();
  }
  if (response->status == kGone) {
    const std::optional<Offset> oldest = OffsetIn(response->body, "oldest");
    const std::optional<Offset> next = OffsetIn(response->body, "next");
    if (!oldest || !next) {
      return ReadFailed();
    }
    return ReadTooOld{*oldest, *next};
  }
  std::optional<ReadRecords> read =
      response->status == kOk ? DecodeRead(response->body) : std::nullopt;
  if (!read) {
    return ReadFailed();
  }
  return std::move(*read);
}

}  // namespace

HttpLog::HttpLog(HttpLogSettings settings,
                 http::Client& client,
                 const Clock& clock)
    : settings_(std::move(settings)), client_(client), clock_(clock) {}

void HttpLog::Append(const StreamId& stream,
                     std::string bytes,
                     std::function<void(AppendResult)> done) {
  http::Request request;
  request.method = "POST";
  request.path = PathOf(stream);
  request.headers["content-type"] = "application/msgpack";
  request.body = std::move(bytes);
  client_.Send(settings_.address, std::move(request),
               clock_.Now() + settings_.timeout,
               [done = std::move(done)](const http::ClientResult& result) {
                 done(AppendResultOf(result));
               });
}

void HttpLog::Read(const StreamId& stream,
                   Offset from,
                   uint32_t limit,
                   uint32_t wait_milliseconds,
                   std::function<void(ReadResult)> done) {
  http::Request request;
  request.method = "GET";
  request.path = PathOf(stream);
  request.query = {{"from", std::to_string(from.value())},
                   {"limit", std::to_string(limit)},
                   {"wait_ms", std::to_string(wait_milliseconds)}};
  const milliseconds wait(wait_milliseconds);
  client_.Send(settings_.address, std::move(request),
               clock_.Now() + settings_.timeout + wait,
               [done = std::move(done)](const http::ClientResult& result) {
                 done(ReadResultOf(result));
               });
}

}  // namespace papayadrift::log
