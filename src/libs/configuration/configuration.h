#ifndef PAPAYADRIFT_CONFIGURATION_CONFIGURATION_H_
#define PAPAYADRIFT_CONFIGURATION_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/resources.h"
#include "base/separation.h"

namespace papayadrift::configuration {

// A region that the system runs in.
struct Region {
  RegionId region;
  std::string address;       // Of its balancer, for callers; may be empty.
  int64_t quota_weight = 1;  // Its part of each quota, against other regions.
  bool is_home = true;       // Whether ids that name no region may live here.

  friend bool operator==(const Region&, const Region&) = default;
};

// What a customer weighs, as parts of a whole of any size.
struct Customer {
  CustomerId customer;
  int64_t tail_latency_weight = 0;
  int64_t throughput_weight = 0;

  friend bool operator==(const Customer&, const Customer&) = default;
};

struct Team {
  TeamId team;
  CustomerId customer;
  Resources quota;
  int64_t weight = 0;
  std::string caller_token_hash;    // Empty: callers need no token.
  std::string operator_token_hash;  // Empty: operators need no token.

  friend bool operator==(const Team&, const Team&) = default;
};

struct Service {
  ServiceId service;
  CustomerId customer;
  milliseconds latency_target{0};  // For the 99th percentile.
  int64_t priority = 0;            // Higher goes first.
  bool is_idempotent = true;
  int64_t maximum_queue = 0;  // Requests waiting in one entry.
  int64_t maximum_body_bytes = 0;

  friend bool operator==(const Service&, const Service&) = default;
};

struct Job {
  JobId job;
  TeamId team;
  KindId kind;
  int64_t tasks = 0;
  Resources declared;  // For each task.
  milliseconds declared_run_time{0};
  milliseconds time_allowed{0};  // From acceptance to the deadline.
  int64_t priority = 0;
  bool is_checkpointable = false;
  bool is_urgent = false;
  Separation separation;

  friend bool operator==(const Job&, const Job&) = default;
};

struct Limits {
  int64_t evictions_per_hour = 0;
  int64_t retry_percent = 0;  // Retries and hedges, of requests.
  int64_t attempts_per_task = 0;

  friend bool operator==(const Limits&, const Limits&) = default;
};

// One whole file of the operators.
struct Configuration {
  std::vector<Region> regions;  // Sorted by name; empty: one region, unnamed.
  std::vector<Customer> customers;
  std::vector<Team> teams;
  std::vector<Service> services;
  std::vector<Job> jobs;
  Limits limits;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

// Return null when there is none of that name.
const Region* FindRegion(const Configuration& configuration,
                         const RegionId& region);
const Customer* FindCustomer(const Configuration& configuration,
                             const CustomerId& customer);
const Team* FindTeam(const Configuration& configuration, const TeamId& team);
const Service* FindService(const Configuration& configuration,
                           const ServiceId& service);

}  // namespace papayadrift::configuration

#endif  // PAPAYADRIFT_CONFIGURATION_CONFIGURATION_H_
