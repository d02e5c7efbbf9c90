#include "guard/guard_node.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/refusal.h"

namespace papayadrift::guard {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr seconds kLongestRequest(300);
constexpr char kIdentityHeader[] = "request-id";
constexpr char kKeyHeader[] = "idempotency-key";
constexpr char kDeadlineHeader[] = "deadline";
constexpr char kDumpPath[] = "/admin/v1/dump";
constexpr char kMetricsPath[] = "/admin/v1/metrics";

std::string HeaderOf(const http::Headers& headers, const char* name) {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

// Tells an entry about a refusal; the identity shows whose it is.
http::Response RefusalOf(const http::Request& request,
                         int status,
                         RefusalReason reason,
                         Ran ran) {
  const nlohmann::json body = {{"reason", ToText(reason)},
                               {"ran", ToText(ran)},
                               {"detail", "The guard did not pass it on."}};
  return {status,
          {{"content-type", "application/json"},
           {kIdentityHeader, HeaderOf(request.headers, kIdentityHeader)}},
          body.dump()};
}

http::ServerSettings ServerSettingsOf(const settings::GuardSettings& settings) {
  http::ServerSettings server;
  server.address = settings.http_address;
  server.maximum_body_bytes = size_t{64} << 20;
  return server;
}

}  // namespace

GuardNode::GuardNode(const settings::GuardSettings& settings,
                     http::Client& client,
                     const Clock& clock)
    : settings_(settings),
      client_(client),
      clock_(clock),
      passed_(registry_.AddCounter("papayadrift_guard_passed_total",
                                   "Requests passed to the backend server.")),
      duplicates_(registry_.AddCounter("papayadrift_guard_duplicates_total",
                                       "Requests held back as repeated.")),
      busy_(registry_.AddCounter("papayadrift_guard_busy_total",
                                 "Requests held back for want of a slot.")),
      sends_(static_cast<size_t>(settings.maximum_keys)),
      keys_(static_cast<size_t>(settings.maximum_keys)),
      gate_(settings.slots),
      refusals_("entries", clock, nullptr, registry_),
      server_(
          ServerSettingsOf(settings),
          [this](http::Request request, http::Respond respond) {
            Handle(std::move(request), std::move(respond));
          },
          [this](async_http::Refusal it) { refusals_.Report(it); }) {}

bool GuardNode::Start() {
  return server_.Open();
}

void GuardNode::Finish() {
  server_.Finish();
}

std::optional<http::ServerFailure> GuardNode::last_reason() const {
  return server_.last_reason();
}

void GuardNode::Handle(http::Request request, http::Respond respond) {
  if (request.method == "GET" && request.path == kDumpPath) {
    respond(Dump());
    return;
  }
  if (request.method == "GET" && request.path == kMetricsPath) {
    respond({kOk, {{"content-type", "text/plain"}}, registry_.ToText()});
    return;
  }
  PassOn(std::move(request), std::move(respond));
}

void GuardNode::PassOn(http::Request request, http::Respond respond) {
  if (HeaderOf(request.headers, kIdentityHeader).empty()) {
    respond(
        RefusalOf(request, kBadRequest, RefusalReason::kBadRequest, Ran::kNo));
    return;
  }
  std::optional<SlotGate::Pass> pass = gate_.Enter();
  if (!pass) {
    busy_.Add();
    respond(
        RefusalOf(request, kUnavailable, RefusalReason::kOverloaded, Ran::kNo));
    return;
  }
  if (!IsNew(request)) {
    duplicates_.Add();
    respond(RefusalOf(request, kConflict, RefusalReason::kKeyInProgress,
                      Ran::kUnknown));
    return;
  }
  passed_.Add();
  const Instant deadline =
      DeadlineOf(request).value_or(clock_.Now() + kLongestRequest);
  const auto held = std::make_shared<SlotGate::Pass>(std::move(*pass));
  http::Request forwarded = request;
  client_.Send(
      settings_.backend_address, std::move(forwarded), deadline,
      [request = std::move(request), respond = std::move(respond),
       held](http::ClientResult result) {
        if (auto* response = std::get_if<http::Response>(&result)) {
          respond(std::move(*response));
          return;
        }
        const bool is_not_run = std::get<http::ClientFailure>(result) ==
                                http::ClientFailure::kNotConnected;
        respond(RefusalOf(request, kBadGateway, RefusalReason::kBackendFailed,
                          is_not_run ? Ran::kNo : Ran::kUnknown));
      },
      http::ConnectionUse::kFresh);
}

bool GuardNode::IsNew(const http::Request& request) {
  const std::string key = HeaderOf(request.headers, kKeyHeader);
  const bool is_new_key = key.empty() || keys_.Insert(key);
  return is_new_key &&
         sends_.Insert(HeaderOf(request.headers, kIdentityHeader));
}

std::optional<Instant> GuardNode::DeadlineOf(
    const http::Request& request) const {
  const std::string text = HeaderOf(request.headers, kDeadlineHeader);
  int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (text.empty() || ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  const milliseconds left =
      WallInstant(milliseconds(number)) - clock_.WallNow();
  return clock_.Now() + std::min<microseconds>(left, kLongestRequest);
}

http::Response GuardNode::Dump() const {
  const nlohmann::json dump = {{"worker", settings_.worker.text()},
                               {"backend_address", settings_.backend_address},
                               {"slots", gate_.slots()},
                               {"slots_in_use", gate_.in_use()},
                               {"passed", passed_.value()},
                               {"duplicates", duplicates_.value()},
                               {"busy", busy_.value()}};
  return {kOk, {{"content-type", "application/json"}}, dump.dump()};
}

}  // namespace papayadrift::guard
