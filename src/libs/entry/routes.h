#ifndef PAPAYADRIFT_ENTRY_ROUTES_H_
#define PAPAYADRIFT_ENTRY_ROUTES_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "access/access_book.h"

namespace papayadrift::entry {

enum class RouteId {
  kApplyConfiguration,
  kCancelJob,
  kDump,
  kExplainJob,
  kHeartbeat,
  kJobStatus,
  kMetrics,
  kOutcomes,
  kReadiness,
  kRequest,
  kShowConfiguration,
  kShowJobs,
  kShowTeams,
  kShowWorkers,
  kRetireEntry,
  kStatus,
  kSubmitJob,
};

// A route of the entry's HTTP interface. "*" in a path stands for one name.
struct Route {
  RouteId id = RouteId::kReadiness;
  std::string_view method;
  std::string_view path;
  // Who may use it; everyone if nothing.
  std::optional<access::Role> role;
  std::string_view description;
};

// All routes, for dispatch and for the reference.
std::span<const Route> AllRoutes();

// A route with the name that took the place of "*".
struct RouteMatch {
  const Route* route = nullptr;
  std::string name;
};

std::optional<RouteMatch> FindRoute(std::string_view method,
                                    std::string_view path);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_ROUTES_H_
