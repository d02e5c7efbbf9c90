#include "entry/routes.h"

#include <array>

namespace papayadrift::entry {

namespace {

using access::Role;

constexpr auto kRoutes = std::to_array<Route>({
    {RouteId::kRequest, "POST", "/v1/services/*/requests", Role::kCaller,
     "Runs a request on a runner of the service and returns its answer. "
     "Headers: Deadline (Unix ms), Idempotency-Key (a UUID of version 7)."},
    {RouteId::kSubmitJob, "POST", "/v1/jobs", Role::kCaller,
     "Submits a batch job, once for each identity."},
    {RouteId::kJobStatus, "GET", "/v1/jobs/*", Role::kCaller,
     "Shows how far a job is."},
    {RouteId::kCancelJob, "DELETE", "/v1/jobs/*", Role::kCaller,
     "Cancels a job."},
    {RouteId::kHeartbeat, "POST", "/v1/workers/*/heartbeats", Role::kWorker,
     "Takes a worker's report and answers with lease and orders."},
    {RouteId::kReadiness, "GET", "/v1/ready", std::nullopt,
     "200 while requests are served, 503 otherwise; for the balancer."},
    {RouteId::kShowConfiguration, "GET", "/admin/v1/configuration",
     Role::kOperator, "Shows the configuration in force with its version."},
    {RouteId::kApplyConfiguration, "PUT", "/admin/v1/configuration",
     Role::kOperator,
     "Puts a whole file in force. Headers: Expected-Version, Author."},
    {RouteId::kStatus, "GET", "/admin/v1/status", Role::kOperator,
     "Shows the state of this entry in short."},
    {RouteId::kRetireEntry, "POST", "/admin/v1/entries/*/retirement",
     Role::kOperator,
     "Takes the operators' word that an entry is gone, and lapses it. Header: "
     "Incarnation."},
    {RouteId::kDump, "GET", "/admin/v1/dump", Role::kOperator,
     "Shows the whole state of this entry."},
    {RouteId::kShowJobs, "GET", "/admin/v1/jobs", Role::kOperator,
     "Shows how far each job is and why the next of its tasks waits."},
    {RouteId::kExplainJob, "GET", "/admin/v1/jobs/*", Role::kOperator,
     "Shows for each task of a job that was ever claimed where it is and "
     "why."},
    {RouteId::kShowTeams, "GET", "/admin/v1/teams", Role::kOperator,
     "Shows quota, use and waiting jobs of each team."},
    {RouteId::kShowWorkers, "GET", "/admin/v1/workers", Role::kOperator,
     "Shows what each worker offers and carries."},
    {RouteId::kMetrics, "GET", "/admin/v1/metrics", Role::kOperator,
     "Shows counters and histograms as plain lines."},
    {RouteId::kOutcomes, "GET", "/admin/v1/outcomes", Role::kOperator,
     "Reports outcomes between since and until (Unix ms)."},
});

// Returns the part of `path` in the place of "*", an empty string for a whole
// match without one, or nothing.
std::optional<std::string> Match(std::string_view pattern,
                                 std::string_view path) {
  const size_t star = pattern.find('*');
  if (star == std::string_view::npos) {
    return pattern == path ? std::optional<std::string>("") : std::nullopt;
  }
  const std::string_view before = pattern.substr(0, star);
  const std::string_view after = pattern.substr(star + 1);
  if (path.size() <= before.size() + after.size() ||
      !path.starts_with(before) || !path.ends_with(after)) {
    return std::nullopt;
  }
  const std::string_view name =
      path.substr(star, path.size() - before.size() - after.size());
  if (name.find('/') != std::string_view::npos) {
    return std::nullopt;
  }
  return std::string(name);
}

}  // namespace

std::span<const Route> AllRoutes() {
  return kRoutes;
}

std::optional<RouteMatch> FindRoute(std::string_view method,
                                    std::string_view path) {
  for (const Route& route : kRoutes) {
    if (route.method != method) {
      continue;
    }
    if (std::optional<std::string> name = Match(route.path, path)) {
      return RouteMatch{&route, std::move(*name)};
    }
  }
  return std::nullopt;
}

}  // namespace papayadrift::entry
