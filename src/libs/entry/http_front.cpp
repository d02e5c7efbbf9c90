#include "entry/http_front.h"

#include <utility>

#include "configuration/configuration_reader.h"
#include "entry/admin_views.h"
#include "entry/http_fields_p.h"
#include "entry/json_response_p.h"
#include "entry/refusal_response.h"
#include "entry/state_dump.h"
#include "worker_protocol/json.h"

namespace papayadrift::entry {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::string_view kBearer = "Bearer ";

std::string_view TokenIn(const std::string& authorization) {
  std::string_view token = authorization;
  if (!token.starts_with(kBearer)) {
    return {};
  }
  token.remove_prefix(kBearer.size());
  return token;
}

// Returns a version or a Unix time in milliseconds.
std::optional<int64_t> CountIn(const std::string& text) {
  const std::optional<int64_t> number = NumberIn(text);
  return number && *number >= 0 ? number : std::nullopt;
}

nlohmann::json ProblemsJson(const std::vector<settings::Problem>& problems) {
  nlohmann::json list = nlohmann::json::array();
  for (const settings::Problem& problem : problems) {
    list.push_back({{"section", problem.section},
                    {"key", problem.key},
                    {"line", problem.line},
                    {"reason", ToText(problem.kind)},
                    {"detail", problem.detail}});
  }
  return list;
}

}  // namespace

HttpFront::HttpFront(const HttpFrontSettings& settings,
                     const Clock& clock,
                     HttpFrontParts parts)
    : settings_(settings),
      clock_(clock),
      parts_(std::move(parts)),
      customers_({}) {}

void HttpFront::Handle(http::Request request, http::Respond respond) {
  const std::optional<RouteMatch> match =
      FindRoute(request.method, request.path);
  if (!match) {
    respond(JsonResponse(kNotFound, {{"reason", "bad_request"},
                                     {"ran", "no"},
                                     {"detail", "There is no such route."}}));
    return;
  }
  AccessResult access = CheckAccess(*match->route, request);
  if (!access.is_admitted) {
    respond(std::move(access.refusal));
    return;
  }
  Dispatch(*match, access.customer, std::move(request), std::move(respond));
}

void HttpFront::SetServices(const configuration::Configuration& configuration) {
  std::map<ServiceId, CustomerId> customers;
  for (const configuration::Service& service : configuration.services) {
    customers.emplace(service.service, service.customer);
  }
  customers_.Replace(std::move(customers));
}

CustomerId HttpFront::CustomerOf(const ServiceId& service) const {
  return customers_.Read([&](const auto& customers) {
    const auto it = customers.find(service);
    return it == customers.end() ? CustomerId() : it->second;
  });
}

HttpFront::AccessResult HttpFront::CheckAccess(
    const Route& route,
    const http::Request& request) const {
  if (!route.role) {
    return {true, CustomerId(), {}};
  }
  const std::string authorization = HeaderOf(request.headers, "authorization");
  const bool is_open = settings_.has_open_doors && authorization.empty() &&
                       !parts_.access.has_grants_for(*route.role);
  if (is_open) {
    return {true, CustomerId(), {}};
  }
  const access::AccessVerdict verdict =
      parts_.access.Check(TokenIn(authorization), *route.role,
                          request.remote_address, clock_.Now());
  if (const auto* identity = std::get_if<access::Identity>(&verdict)) {
    return {true, identity->customer, {}};
  }
  const auto& refused = std::get<access::AccessRefusal>(verdict);
  Refusal refusal{refused.reason, Ran::kNo, "This needs another token.", {}};
  if (refused.retry_at) {
    const auto wait =
        std::chrono::ceil<milliseconds>(*refused.retry_at - clock_.Now());
    refusal.retry_at = clock_.WallNow() + wait;
  }
  return {false, CustomerId(), ResponseTo(refusal, clock_.WallNow())};
}

void HttpFront::Dispatch(const RouteMatch& match,
                         const CustomerId& customer,
                         http::Request request,
                         http::Respond respond) {
  switch (match.route->id) {
    case RouteId::kRequest:
      parts_.requests.OnRequest(
          ServiceId(match.name),
          customer.is_empty() ? CustomerOf(ServiceId(match.name)) : customer,
          std::move(request), std::move(respond));
      return;
    case RouteId::kSubmitJob:
      SubmitJob(std::move(request), std::move(respond));
      return;
    case RouteId::kCancelJob:
      CancelJob(JobId(match.name), std::move(respond));
      return;
    case RouteId::kHeartbeat:
      Heartbeat(match.name, request, respond);
      return;
    case RouteId::kReadiness:
      respond(JsonResponse(is_ready_ ? kOk : kUnavailable,
                           {{"is_ready", is_ready_.load()}}));
      return;
    case RouteId::kApplyConfiguration:
      ApplyConfiguration(std::move(request), respond);
      return;
    case RouteId::kRetireEntry:
      RetireEntry(EntryId(match.name), request, respond);
      return;
    case RouteId::kMetrics:
      respond({kOk, {{"content-type", "text/plain"}}, parts_.metrics.ToText()});
      return;
    case RouteId::kOutcomes:
      Outcomes(request, respond);
      return;
    case RouteId::kDump:
    case RouteId::kExplainJob:
    case RouteId::kJobStatus:
    case RouteId::kShowConfiguration:
    case RouteId::kShowJobs:
    case RouteId::kShowTeams:
    case RouteId::kShowWorkers:
    case RouteId::kStatus:
      ShowView(match, respond);
      return;
  }
}

void HttpFront::SubmitJob(http::Request request, http::Respond respond) {
  parts_.control->Post([&controller = parts_.controller,
                        body = std::move(request.body),
                        respond = std::move(respond)]() mutable {
    controller.SubmitJob(body, std::move(respond));
  });
}

void HttpFront::CancelJob(JobId job, http::Respond respond) {
  parts_.control->Post([&controller = parts_.controller, job = std::move(job),
                        respond = std::move(respond)]() mutable {
    controller.CancelJob(job, std::move(respond));
  });
}

void HttpFront::Heartbeat(const std::string& worker,
                          const http::Request& request,
                          const http::Respond& respond) {
  const std::optional<worker_protocol::Heartbeat> heartbeat =
      worker_protocol::HeartbeatFromJson(request.body);
  if (!heartbeat || heartbeat->announcement.worker.text() != worker) {
    respond(Refused(RefusalReason::kBadRequest,
                    "The body must be a heartbeat of the worker."));
    return;
  }
  RespondFromControl(
      respond, [&controller = parts_.controller, heartbeat = *heartbeat] {
        return JsonTextResponse(
            kOk, worker_protocol::ToJson(controller.OnHeartbeat(heartbeat)));
      });
}

void HttpFront::ShowView(const RouteMatch& match,
                         const http::Respond& respond) {
  RespondFromControl(respond,
                     [this, id = match.route->id, job = JobId(match.name),
                      now = clock_.Now()] { return ViewOf(id, job, now); });
}

http::Response HttpFront::ViewOf(RouteId id,
                                 const JobId& job,
                                 Instant now) const {
  const RegionController& controller = parts_.controller;
  switch (id) {
    case RouteId::kDump:
      return JsonResponse(kOk, DumpView(controller, now));
    case RouteId::kJobStatus:
      return controller.JobStatus(job);
    case RouteId::kShowConfiguration:
      return JsonResponse(kOk, ConfigurationView(controller));
    case RouteId::kShowJobs:
      return JsonResponse(kOk,
                          {{"jobs", JobsView(controller, TaskDetail::kNone)}});
    case RouteId::kShowTeams:
      return JsonResponse(kOk, {{"teams", TeamsView(controller)}});
    case RouteId::kShowWorkers:
      return JsonResponse(kOk, {{"workers", WorkersView(controller)}});
    case RouteId::kStatus:
      return JsonResponse(kOk, StatusView(controller, now));
    default:
      break;
  }
  const std::optional<nlohmann::json> view = JobView(controller, job);
  return view ? JsonResponse(kOk, *view)
              : Refused(RefusalReason::kJobUnknown, "There is no such job.");
}

void HttpFront::ApplyConfiguration(http::Request request,
                                   const http::Respond& respond) {
  const std::optional<int64_t> expected =
      CountIn(HeaderOf(request.headers, "expected-version"));
  if (!expected) {
    respond(Refused(RefusalReason::kBadRequest,
                    "The header Expected-Version must be a number."));
    return;
  }
  std::vector<settings::Problem> problems;
  if (!configuration::ReadConfiguration(request.body, problems)) {
    http::Response response =
        Refused(RefusalReason::kConfigurationInvalid, "The file is not valid.");
    nlohmann::json body = nlohmann::json::parse(response.body);
    body["problems"] = ProblemsJson(problems);
    response.body = body.dump();
    respond(std::move(response));
    return;
  }
  const Instant give_up_at = clock_.Now() + settings_.apply_timeout;
  parts_.control->Post([&controller = parts_.controller, expected, give_up_at,
                        author = HeaderOf(request.headers, "author"),
                        text = std::move(request.body), respond]() mutable {
    controller.ApplyConfiguration(
        ConfigurationVersion(static_cast<uint64_t>(*expected)),
        std::move(author), std::move(text), give_up_at, respond);
  });
}

void HttpFront::RetireEntry(const EntryId& entry,
                            const http::Request& request,
                            const http::Respond& respond) {
  const std::optional<int64_t> incarnation =
      CountIn(HeaderOf(request.headers, "incarnation"));
  if (!incarnation) {
    respond(Refused(RefusalReason::kBadRequest,
                    "The header Incarnation must be a number."));
    return;
  }
  const lease::MemberKey member{
      entry, Incarnation(static_cast<uint64_t>(*incarnation))};
  parts_.control->Post([&controller = parts_.controller, member, respond] {
    controller.RetireEntry(member, respond);
  });
}

void HttpFront::Outcomes(const http::Request& request,
                         const http::Respond& respond) {
  const auto number_of = [&](const char* name, int64_t fallback) {
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::optional<int64_t>(fallback)
                                     : CountIn(it->second);
  };
  constexpr int64_t kEndOfTime = int64_t{1} << 50;
  const std::optional<int64_t> since = number_of("since", 0);
  const std::optional<int64_t> until = number_of("until", kEndOfTime);
  if (!since || !until || *since > *until) {
    respond(Refused(RefusalReason::kBadRequest,
                    "Since and until must be Unix times in milliseconds."));
    return;
  }
  parts_.control->Post([&outcomes = parts_.outcomes, since, until, respond] {
    outcomes.Report(WallInstant(milliseconds(*since)),
                    WallInstant(milliseconds(*until)), respond);
  });
}

void HttpFront::RespondFromControl(const http::Respond& respond,
                                   std::function<http::Response()> answer) {
  parts_.control->Post(
      [respond, answer = std::move(answer)] { respond(answer()); });
}

http::Response HttpFront::Refused(RefusalReason reason,
                                  std::string detail) const {
  return ResponseTo(NotRun(reason, std::move(detail)), clock_.WallNow());
}

}  // namespace papayadrift::entry
