#include "standins/log/log_service.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "log/wire.h"

namespace papayadrift::standins {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr std::string_view kPrefix = "/v1/streams/";
constexpr std::string_view kSuffix = "/records";

http::Response Json(int status, const nlohmann::json& body) {
  return {status, {{"content-type", "application/json"}}, body.dump()};
}

http::Response ResponseTo(const log::ReadResult& result) {
  if (const auto* old = std::get_if<log::ReadTooOld>(&result)) {
    return Json(kGone,
                {{"oldest", old->oldest.value()}, {"next", old->next.value()}});
  }
  const auto& read = std::get<log::ReadRecords>(result);
  return {
      kOk, {{"content-type", "application/msgpack"}}, log::EncodeRead(read)};
}

uint64_t NumberIn(const http::Request& request,
                  const char* name,
                  uint64_t fallback) {
  const auto it = request.query.find(name);
  uint64_t number = fallback;
  if (it != request.query.end()) {
    const std::string& text = it->second;
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

}  // namespace

LogService::LogService(size_t retained_records, const Clock& clock)
    : clock_(clock), store_(retained_records) {}

void LogService::Handle(const http::Request& request, http::Respond respond) {
  const std::lock_guard lock(mutex_);
  HandleLocked(request, std::move(respond));
}

void LogService::OnTime() {
  const std::lock_guard lock(mutex_);
  const Instant now = clock_.Now();
  AnswerWaiting(now);
  for (auto it = delayed_.begin(); it != delayed_.end();) {
    if (it->due_at > now) {
      ++it;
      continue;
    }
    it->respond(std::move(it->response));
    it = delayed_.erase(it);
  }
}

void LogService::HandleLocked(const http::Request& request,
                              http::Respond respond) {
  if (request.path == "/standin/faults" && request.method == "PUT") {
    respond(SetFaults(request.body));
    return;
  }
  if (request.path == "/standin/counters") {
    respond(Counters());
    return;
  }
  if (faults_.is_hanging) {
    never_answered_.push_back(std::move(respond));
    return;
  }
  if (faults_.is_down) {
    Answer(std::move(respond), Json(kUnavailable, {{"reason", "down"}}));
    return;
  }
  const std::string& path = request.path;
  if (!path.starts_with(kPrefix) || !path.ends_with(kSuffix) ||
      path.size() <= kPrefix.size() + kSuffix.size()) {
    respond(Json(kNotFound, {{"reason", "unknown path"}}));
    return;
  }
  const log::StreamId stream(path.substr(
      kPrefix.size(), path.size() - kPrefix.size() - kSuffix.size()));
  if (std::ranges::find(faults_.down_streams, stream.text()) !=
      faults_.down_streams.end()) {
    Answer(std::move(respond), Json(kUnavailable, {{"reason", "down"}}));
    return;
  }
  if (request.method == "POST") {
    Append(stream, request, std::move(respond));
  } else {
    Read(stream, request, std::move(respond));
  }
}

void LogService::Append(const log::StreamId& stream,
                        const http::Request& request,
                        http::Respond respond) {
  if (faults_.lost_requests > 0) {
    --faults_.lost_requests;
    never_answered_.push_back(std::move(respond));
    return;
  }
  const Offset offset = store_.Append(stream, request.body);
  if (faults_.lost_answers > 0) {
    --faults_.lost_answers;
    never_answered_.push_back(std::move(respond));
  } else {
    Answer(std::move(respond), Json(kOk, {{"offset", offset.value()}}));
  }
  AnswerWaiting(clock_.Now());
}

void LogService::Read(const log::StreamId& stream,
                      const http::Request& request,
                      http::Respond respond) {
  const Offset from(NumberIn(request, "from", 1));
  const auto limit = static_cast<uint32_t>(NumberIn(request, "limit", 100));
  const milliseconds wait(NumberIn(request, "wait_ms", 0));
  const log::ReadResult result = store_.Read(stream, from, limit);
  const auto* read = std::get_if<log::ReadRecords>(&result);
  if (read != nullptr && read->records.empty() && wait.count() > 0) {
    waiting_.push_back(
        {clock_.Now() + wait, stream, from, limit, std::move(respond)});
    return;
  }
  Answer(std::move(respond), ResponseTo(result));
}

void LogService::Answer(http::Respond respond, http::Response response) {
  if (faults_.delay.count() == 0) {
    respond(std::move(response));
    return;
  }
  delayed_.push_back(
      {clock_.Now() + faults_.delay, std::move(respond), std::move(response)});
}

void LogService::AnswerWaiting(Instant now) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const log::ReadResult result = store_.Read(it->stream, it->from, it->limit);
    const auto* read = std::get_if<log::ReadRecords>(&result);
    const bool is_empty = read != nullptr && read->records.empty();
    if (is_empty && it->due_at > now) {
      ++it;
      continue;
    }
    Answer(std::move(it->respond), ResponseTo(result));
    it = waiting_.erase(it);
  }
}

http::Response LogService::SetFaults(const std::string& body) {
  const nlohmann::json object = nlohmann::json::parse(body, nullptr, false);
  if (!object.is_object()) {
    return Json(400, {{"reason", "not an object"}});
  }
  faults_ = LogFaults{object.value("is_down", false),
                      object.value("is_hanging", false),
                      milliseconds(object.value("delay_ms", 0)),
                      object.value("lost_answers", int64_t{0}),
                      object.value("lost_requests", int64_t{0}),
                      object.value("down_streams", std::vector<std::string>())};
  return Json(kOk, nlohmann::json::object());
}

http::Response LogService::Counters() const {
  return Json(kOk, {{"appends", store_.append_count()},
                    {"bytes", store_.byte_count()}});
}

}  // namespace papayadrift::standins
