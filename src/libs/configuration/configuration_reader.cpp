#include "configuration/configuration_reader.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "configuration/home_region.h"
#include "settings/checker.h"
#include "settings/keys.h"

namespace papayadrift::configuration {

using settings::AmountKey;
using settings::CheckedSection;
using settings::CheckedSections;
using settings::KeySpecification;
using settings::OptionalKey;
using settings::Problem;
using settings::ProblemKind;
using settings::ReferenceKey;
using settings::RequiredAmountKey;
using settings::RequiredKey;
using settings::Schema;
using settings::SectionSpecification;
using settings::ValueKind;

namespace {

constexpr int64_t kMaximumMillicores = 100'000'000;
constexpr int64_t kMaximumMebibytes = 1'000'000'000;
constexpr int64_t kMaximumAccelerators = 100'000;
constexpr int64_t kMaximumTasks = 100'000;
constexpr int64_t kMaximumWeight = 1000;
constexpr int64_t kMaximumPriority = 100;
constexpr int64_t kMaximumBodyBytes = 67'108'864;

constexpr auto kRegionKeys = std::to_array<KeySpecification>({
    OptionalKey("address",
                ValueKind::kAddress,
                "",
                "Address for callers, told to those whose request belongs to "
                "this region."),
    AmountKey("quota_weight",
              ValueKind::kInteger,
              "1",
              0,
              kMaximumWeight,
              "The region's part of each team's quota, against other regions."),
    OptionalKey("home",
                ValueKind::kBoolean,
                "yes",
                "Whether jobs and keys that name no region may belong to this "
                "one. The first file fixes which regions do, for ever."),
});

constexpr auto kCustomerKeys = std::to_array<KeySpecification>({
    AmountKey("tail_latency_weight",
              ValueKind::kInteger,
              "1",
              0,
              kMaximumWeight,
              "How much the customer weighs tail latency."),
    AmountKey("throughput_weight",
              ValueKind::kInteger,
              "1",
              0,
              kMaximumWeight,
              "How much the customer weighs batch throughput."),
});

constexpr auto kTeamKeys = std::to_array<KeySpecification>({
    ReferenceKey("customer", "customer", "Customer that the team is of."),
    RequiredAmountKey("quota_cores",
                      ValueKind::kCores,
                      0,
                      kMaximumMillicores,
                      "Cores that the team may hold when all are in demand."),
    RequiredAmountKey("quota_memory",
                      ValueKind::kMemory,
                      0,
                      kMaximumMebibytes,
                      "Memory that the team may hold."),
    AmountKey("quota_accelerators",
              ValueKind::kInteger,
              "0",
              0,
              kMaximumAccelerators,
              "Accelerators that the team may hold."),
    AmountKey("weight",
              ValueKind::kInteger,
              "1",
              1,
              kMaximumWeight,
              "Share of idle capacity against other teams."),
    OptionalKey("caller_token_hash",
                ValueKind::kTokenHash,
                "",
                "Salted hash of the token that callers show; none: no token."),
    OptionalKey("operator_token_hash",
                ValueKind::kTokenHash,
                "",
                "Salted hash of the token that operators show; none: no "
                "token."),
});

constexpr auto kServiceKeys = std::to_array<KeySpecification>({
    ReferenceKey("customer", "customer", "Customer that the service is of."),
    RequiredAmountKey("latency_target",
                      ValueKind::kDuration,
                      1,
                      settings::kHour,
                      "Target for the 99th percentile."),
    AmountKey("priority",
              ValueKind::kInteger,
              "50",
              0,
              kMaximumPriority,
              "Under overload, lower ones are refused first."),
    RequiredKey("idempotent",
                ValueKind::kBoolean,
                "Whether a request may be sent again; if not, callers must "
                "send an Idempotency-Key."),
    AmountKey("maximum_queue",
              ValueKind::kInteger,
              "64",
              1,
              100'000,
              "Most requests that wait in one entry; each waits, if only for a "
              "moment."),
    AmountKey("maximum_body",
              ValueKind::kInteger,
              "1048576",
              0,
              kMaximumBodyBytes,
              "Largest body of a request, in bytes."),
});

constexpr auto kJobKeys = std::to_array<KeySpecification>({
    ReferenceKey("team", "team", "Team that runs the job."),
    RequiredKey("kind",
                ValueKind::kName,
                "Tasks of one kind are taken to behave alike."),
    AmountKey("tasks",
              ValueKind::kInteger,
              "1",
              1,
              kMaximumTasks,
              "Number of tasks."),
    RequiredAmountKey("cores",
                      ValueKind::kCores,
                      1,
                      kMaximumMillicores,
                      "Cores that each task is thought to need."),
    RequiredAmountKey("memory",
                      ValueKind::kMemory,
                      1,
                      kMaximumMebibytes,
                      "Memory that each task is thought to need."),
    AmountKey("accelerators",
              ValueKind::kInteger,
              "0",
              0,
              64,
              "Accelerators that each task needs."),
    RequiredAmountKey("run_time",
                      ValueKind::kDuration,
                      1,
                      30 * settings::kDay,
                      "How long each task is thought to run."),
    AmountKey("time_allowed",
              ValueKind::kDuration,
              "1 d",
              settings::kSecond,
              90 * settings::kDay,
              "Time from acceptance to the deadline."),
    AmountKey("priority",
              ValueKind::kInteger,
              "50",
              0,
              kMaximumPriority,
              "Higher ones go first within a team."),
    OptionalKey("checkpointable",
                ValueKind::kBoolean,
                "no",
                "Whether tasks can write a checkpoint and resume from it."),
    OptionalKey("urgent",
                ValueKind::kBoolean,
                "no",
                "Whether tasks are to start at once within the quota."),
    AmountKey("most_tasks_per_rack",
              ValueKind::kInteger,
              "0",
              0,
              kMaximumTasks,
              "Most tasks of the job that run in one rack; 0: no limit."),
    AmountKey("most_tasks_per_zone",
              ValueKind::kInteger,
              "0",
              0,
              kMaximumTasks,
              "Most tasks of the job that run in one availability zone; 0: no "
              "limit."),
    OptionalKey("apart_from",
                ValueKind::kNameList,
                "",
                "Kinds that must not share a worker with tasks of the job."),
});

constexpr auto kLimitKeys = std::to_array<KeySpecification>({
    AmountKey("evictions_per_hour",
              ValueKind::kInteger,
              "60",
              0,
              100'000,
              "Most evictions in an hour in one region that are made for "
              "services; those for urgent or owed work are not counted."),
    AmountKey("retry_percent",
              ValueKind::kInteger,
              "20",
              0,
              100,
              "Retries and hedges, in percent of requests."),
    AmountKey("attempts_per_task",
              ValueKind::kInteger,
              "8",
              1,
              100,
              "Failed attempts, on several workers, after which a task's job "
              "is refused."),
});

constexpr auto kSections = std::to_array<SectionSpecification>({
    {"region", true, false, kRegionKeys,
     "A region. A file that names none is for one region."},
    {"customer", true, true, kCustomerKeys, "A customer and its weights."},
    {"team", true, false, kTeamKeys, "A team, its quota and its tokens."},
    {"service", true, false, kServiceKeys, "A latency-critical service."},
    {"job", true, false, kJobKeys,
     "A batch job: submitted once when its section first appears, cancelled "
     "when the section is taken away. A name such as plan@north belongs to the "
     "region north.",
     ValueKind::kNameInRegion},
    {"limits", false, false, kLimitKeys, "Limits of the whole system."},
});

constexpr Schema kSchema{"The operators' file", kSections};

Resources ResourcesOf(const CheckedSection& section,
                      std::string_view cores,
                      std::string_view memory,
                      std::string_view accelerators) {
  return {section.Amount(cores), section.Amount(memory),
          section.Amount(accelerators)};
}

Region RegionOf(const CheckedSection& section) {
  return {RegionId(section.name()), section.Text("address"),
          section.Amount("quota_weight"), section.IsSet("home")};
}

Customer CustomerOf(const CheckedSection& section) {
  return {CustomerId(section.name()), section.Amount("tail_latency_weight"),
          section.Amount("throughput_weight")};
}

Team TeamOf(const CheckedSection& section) {
  return {
      TeamId(section.name()),
      CustomerId(section.Text("customer")),
      ResourcesOf(section, "quota_cores", "quota_memory", "quota_accelerators"),
      section.Amount("weight"),
      section.Text("caller_token_hash"),
      section.Text("operator_token_hash")};
}

Service ServiceOf(const CheckedSection& section) {
  return {ServiceId(section.name()),
          CustomerId(section.Text("customer")),
          milliseconds(section.Amount("latency_target")),
          section.Amount("priority"),
          section.IsSet("idempotent"),
          section.Amount("maximum_queue"),
          section.Amount("maximum_body")};
}

Separation SeparationOf(const CheckedSection& section) {
  Separation separation;
  separation.most_per_rack =
      static_cast<uint32_t>(section.Amount("most_tasks_per_rack"));
  separation.most_per_zone =
      static_cast<uint32_t>(section.Amount("most_tasks_per_zone"));
  std::ranges::transform(section.List("apart_from"),
                         std::back_inserter(separation.apart_from),
                         [](const std::string& it) { return KindId(it); });
  return separation;
}

Job JobOf(const CheckedSection& section) {
  return {JobId(section.name()),
          TeamId(section.Text("team")),
          KindId(section.Text("kind")),
          section.Amount("tasks"),
          ResourcesOf(section, "cores", "memory", "accelerators"),
          milliseconds(section.Amount("run_time")),
          milliseconds(section.Amount("time_allowed")),
          section.Amount("priority"),
          section.IsSet("checkpointable"),
          section.IsSet("urgent"),
          SeparationOf(section)};
}

Limits LimitsOf(const CheckedSection& section) {
  return {section.Amount("evictions_per_hour"), section.Amount("retry_percent"),
          section.Amount("attempts_per_task")};
}

Configuration ConfigurationOf(const CheckedSections& sections) {
  Configuration configuration;
  for (const CheckedSection& section : sections) {
    if (section.kind() == "region") {
      configuration.regions.push_back(RegionOf(section));
    } else if (section.kind() == "customer") {
      configuration.customers.push_back(CustomerOf(section));
    } else if (section.kind() == "team") {
      configuration.teams.push_back(TeamOf(section));
    } else if (section.kind() == "service") {
      configuration.services.push_back(ServiceOf(section));
    } else if (section.kind() == "job") {
      configuration.jobs.push_back(JobOf(section));
    } else if (section.kind() == "limits") {
      configuration.limits = LimitsOf(section);
    }
  }
  std::ranges::sort(configuration.regions, {}, &Region::region);
  std::ranges::sort(configuration.customers, {}, &Customer::customer);
  std::ranges::sort(configuration.teams, {}, &Team::team);
  std::ranges::sort(configuration.services, {}, &Service::service);
  std::ranges::sort(configuration.jobs, {}, &Job::job);
  return configuration;
}

void CheckRegions(const Configuration& configuration,
                  std::vector<Problem>& problems) {
  const std::vector<Region>& regions = configuration.regions;
  if (!regions.empty() && std::ranges::none_of(regions, &Region::is_home)) {
    problems.push_back({ProblemKind::kBadValue,
                        "region " + regions.front().region.text(), "home", 0,
                        "At least one region must be a home."});
  }
  const auto holds_none = [](const Region& region) {
    return region.quota_weight == 0;
  };
  if (!regions.empty() && std::ranges::all_of(regions, holds_none)) {
    problems.push_back(
        {ProblemKind::kBadValue, "region " + regions.front().region.text(),
         "quota_weight", 0, "At least one region must hold quotas."});
  }
  for (const Job& job : configuration.jobs) {
    const std::optional<RegionId> named = NamedRegionOf(job.job.text());
    if (named && FindRegion(configuration, *named) == nullptr) {
      problems.push_back(
          {ProblemKind::kReferenceUnknown, "job " + job.job.text(), "", 0,
           "There is no section [region " + named->text() + "]."});
    }
  }
}

}  // namespace

const Schema& ConfigurationSchema() {
  return kSchema;
}

std::optional<Configuration> ReadConfiguration(const std::string& text,
                                               std::vector<Problem>& problems) {
  const std::optional<CheckedSections> sections =
      settings::ReadChecked(kSchema, text, problems);
  if (!sections) {
    return std::nullopt;
  }
  Configuration configuration = ConfigurationOf(*sections);
  CheckRegions(configuration, problems);
  if (!problems.empty()) {
    return std::nullopt;
  }
  return configuration;
}

}  // namespace papayadrift::configuration
