#include "settings/guard_settings.h"

#include <array>

#include "settings/checker.h"
#include "settings/keys.h"

namespace papayadrift::settings {

namespace {

constexpr auto kProcessKeys = std::to_array<KeySpecification>({
    RequiredKey("worker",
                ValueKind::kName,
                "Name of the worker that it stands on."),
    RequiredKey("availability_zone",
                ValueKind::kName,
                "Availability zone that it runs in."),
    RequiredKey("http_address",
                ValueKind::kAddress,
                "Where entries send requests for the backend server."),
    AmountKey("threads",
              ValueKind::kInteger,
              "2",
              1,
              16,
              "Threads that serve HTTP."),
});

constexpr auto kBackendKeys = std::to_array<KeySpecification>({
    RequiredKey("address",
                ValueKind::kAddress,
                "Where the backend server takes requests."),
    AmountKey("slots",
              ValueKind::kInteger,
              "8",
              1,
              1024,
              "Most requests that the backend server works on at a time."),
    AmountKey("maximum_keys",
              ValueKind::kInteger,
              "10000",
              1,
              1'000'000,
              "Most request identities remembered to suppress duplicates."),
});

constexpr auto kSections = std::to_array<SectionSpecification>({
    {"process", false, true, kProcessKeys, "The process itself."},
    {"backend", false, true, kBackendKeys,
     "The backend server that it stands beside."},
});

constexpr Schema kSchema{"Settings of papayadrift-guard", kSections};

}  // namespace

const Schema& GuardSettingsSchema() {
  return kSchema;
}

std::optional<GuardSettings> ReadGuardSettings(const std::string& text,
                                               std::vector<Problem>& problems) {
  const std::optional<CheckedSections> sections =
      ReadChecked(kSchema, text, problems);
  if (!sections) {
    return std::nullopt;
  }
  const CheckedSection& process = FindSection(*sections, "process");
  const CheckedSection& backend = FindSection(*sections, "backend");
  GuardSettings settings;
  settings.worker = WorkerId(process.Text("worker"));
  settings.zone = ZoneId(process.Text("availability_zone"));
  settings.http_address = process.Text("http_address");
  settings.threads = process.Amount("threads");
  settings.backend_address = backend.Text("address");
  settings.slots = backend.Amount("slots");
  settings.maximum_keys = backend.Amount("maximum_keys");
  return settings;
}

}  // namespace papayadrift::settings
