#ifndef PAPAYADRIFT_JOBS_ROUTE_TABLE_H_
#define PAPAYADRIFT_JOBS_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayadrift::jobs {

// A queue of jobs, and the service whose runners run its tasks.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  uint32_t priority = 0;  // 0 is the highest.
  uint32_t max_failures = 1;
  double target_factor = 1.0;  // Factor on the duration of the critical path.
  int64_t target_extra_ms = 0;
  // Each step needs the approval of the placement adviser.
  bool needs_permission = false;

  friend bool operator==(const Queue&, const Queue&) = default;
};

struct Service {
  std::string name;
  // Its runners refuse runs that exceed their capacity.
  bool enforces_capacity = false;
  bool is_standby = false;

  friend bool operator==(const Service&, const Service&) = default;
};

// One complete version of the operators' configuration.
struct RouteTable {
  uint64_t version = 0;  // 0: none yet.
  std::vector<Queue> queues;
  std::vector<Service> services;
  size_t maximum_body_bytes = 0;

  // Returns the queue of this host with the longest prefix that `path` begins
  // with, or null.
  const Queue* Match(std::string_view host, std::string_view path) const;
  const Queue* Find(std::string_view name) const;
  const Service* FindService(std::string_view name) const;

  friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_ROUTE_TABLE_H_
