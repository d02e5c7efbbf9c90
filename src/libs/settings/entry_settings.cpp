#include "settings/entry_settings.h"

#include <array>

#include "settings/checker.h"
#include "settings/keys.h"

namespace papayadrift::settings {

namespace {

constexpr auto kProcessKeys = std::to_array<KeySpecification>({
    RequiredKey("name", ValueKind::kName, "Name of this entry."),
    RequiredKey("region", ValueKind::kName, "Region that it runs in."),
    RequiredKey("availability_zone",
                ValueKind::kName,
                "Availability zone that it runs in."),
    RequiredKey("http_address",
                ValueKind::kAddress,
                "Where it serves callers, workers and operators."),
    RequiredKey("stream_address",
                ValueKind::kAddress,
                "Where it serves other entries and guards."),
    AmountKey("threads",
              ValueKind::kInteger,
              "4",
              2,
              64,
              "Threads that serve HTTP."),
});

constexpr auto kPeersKeys = std::to_array<KeySpecification>({
    OptionalKey("start_addresses",
                ValueKind::kAddressList,
                "",
                "Stream addresses of entries to start from."),
    OptionalKey("secret_file",
                ValueKind::kText,
                "",
                "File with the secret by which entries and guards know each "
                "other."),
});

constexpr auto kLogKeys = std::to_array<KeySpecification>({
    RequiredKey("address",
                ValueKind::kAddress,
                "Where the platform's log answers."),
    AmountKey("appends_per_second",
              ValueKind::kInteger,
              "50",
              1,
              1000,
              "Most appends a second that this entry makes."),
    AmountKey("commit_interval",
              ValueKind::kDuration,
              "20 ms",
              1,
              kSecond,
              "Longest time that a record waits for others to join its "
              "append."),
    AmountKey("timeout",
              ValueKind::kDuration,
              "2 s",
              50,
              kMinute,
              "When an append or read counts as unanswered."),
    AmountKey("snapshot_interval",
              ValueKind::kInteger,
              "20000",
              10,
              10'000'000,
              "Records between two snapshots."),
    AmountKey("reassert_interval",
              ValueKind::kDuration,
              "10 min",
              kSecond,
              kDay,
              "Time after which the configuration is written again."),
});

constexpr auto kLeaseKeys = std::to_array<KeySpecification>({
    AmountKey("length",
              ValueKind::kDuration,
              "10 s",
              200,
              kHour,
              "How long a lease runs after the worker asked for it."),
    AmountKey("tail_freshness",
              ValueKind::kDuration,
              "3 s",
              100,
              kHour,
              "How old a read of the log's end may be when it renews a lease."),
    AmountKey("promise_length",
              ValueKind::kDuration,
              "6 s",
              100,
              kHour,
              "How long a promise between entries not to lapse a lease runs."),
    AmountKey("pause_margin",
              ValueKind::kDuration,
              "2 s",
              0,
              kHour,
              "Longest pause between a check of a lease and what follows it."),
    AmountKey("clock_rate_error",
              ValueKind::kInteger,
              "1",
              0,
              100,
              "Largest difference of two clocks' rates, in thousandths."),
    AmountKey("renewal_cap",
              ValueKind::kDuration,
              "12 h",
              kSecond,
              7 * kDay,
              "How long leases may be renewed without the log."),
    AmountKey("worker_suspicion",
              ValueKind::kDuration,
              "3 s",
              100,
              kHour,
              "Silence after which a worker is taken to have failed."),
    AmountKey("peer_suspicion",
              ValueKind::kDuration,
              "3 s",
              100,
              kHour,
              "Silence after which an entry is taken to have failed."),
});

constexpr auto kRequestKeys = std::to_array<KeySpecification>({
    AmountKey("maximum_body",
              ValueKind::kInteger,
              "1048576",
              1024,
              67'108'864,
              "Largest body of a request, in bytes."),
    AmountKey("maximum_in_flight",
              ValueKind::kInteger,
              "4096",
              1,
              1'000'000,
              "Most requests that the entry holds at a time."),
    AmountKey("default_deadline",
              ValueKind::kDuration,
              "2 s",
              1,
              kHour,
              "Deadline of a request that states none, from its arrival."),
    AmountKey("maximum_deadline",
              ValueKind::kDuration,
              "30 s",
              1,
              kHour,
              "Latest deadline of a request, from its arrival. Slots of an "
              "entry that is lost come back only after it."),
});

constexpr auto kAccessKeys = std::to_array<KeySpecification>({
    OptionalKey("open_doors",
                ValueKind::kBoolean,
                "no",
                "Whether a role for which no token is configured is let in "
                "without one."),
    OptionalKey("operator_token_hash",
                ValueKind::kTokenHash,
                "",
                "Salted hash of a token for operators."),
    OptionalKey("worker_token_hash",
                ValueKind::kTokenHash,
                "",
                "Salted hash of the token that workers show."),
});

constexpr auto kRegionKeys = std::to_array<KeySpecification>({
    AmountKey("cut_off_after",
              ValueKind::kDuration,
              "10 s",
              100,
              kHour,
              "Without the shared stream for so long, quotas are not "
              "exceeded."),
    AmountKey("quota_patience",
              ValueKind::kDuration,
              "30 s",
              100,
              kHour,
              "How long a team is short, or has room to spare, before its part "
              "of a quota moves."),
    AmountKey("quota_hold_off",
              ValueKind::kDuration,
              "5 min",
              100,
              kDay,
              "How long a part that was needed is not given away again."),
});

constexpr auto kTlsKeys = std::to_array<KeySpecification>({
    OptionalKey("certificate_chain_file",
                ValueKind::kText,
                "",
                "PEM file with the certificates shown to callers."),
    OptionalKey("private_key_file",
                ValueKind::kText,
                "",
                "PEM file with the key of the certificate."),
});

constexpr auto kSections = std::to_array<SectionSpecification>({
    {"process", false, true, kProcessKeys, "The process itself."},
    {"peers", false, false, kPeersKeys, "Other entries."},
    {"log", false, true, kLogKeys, "The platform's log."},
    {"lease", false, false, kLeaseKeys, "Leases of workers and entries."},
    {"requests", false, false, kRequestKeys, "Limits on callers' requests."},
    {"regions", false, false, kRegionKeys, "What regions share."},
    {"access", false, false, kAccessKeys, "Who is let in."},
    {"tls", false, false, kTlsKeys,
     "Encryption towards callers and operators; plain HTTP if not set."},
});

constexpr Schema kSchema{"Settings of papayadrift-entry", kSections};

milliseconds DurationOf(const CheckedSection& section, std::string_view key) {
  return milliseconds(section.Amount(key));
}

void FillProcess(const CheckedSection& section, EntrySettings& settings) {
  settings.entry = EntryId(section.Text("name"));
  settings.region = RegionId(section.Text("region"));
  settings.zone = ZoneId(section.Text("availability_zone"));
  settings.http_address = section.Text("http_address");
  settings.stream_address = section.Text("stream_address");
  settings.threads = section.Amount("threads");
}

void FillLog(const CheckedSection& section, EntrySettings& settings) {
  settings.log_address = section.Text("address");
  settings.appends_per_second = section.Amount("appends_per_second");
  settings.commit_interval = DurationOf(section, "commit_interval");
  settings.log_timeout = DurationOf(section, "timeout");
  settings.snapshot_interval_records = section.Amount("snapshot_interval");
  settings.reassert_interval = DurationOf(section, "reassert_interval");
}

void FillLease(const CheckedSection& section, EntrySettings& settings) {
  settings.lease_length = DurationOf(section, "length");
  settings.tail_freshness = DurationOf(section, "tail_freshness");
  settings.promise_length = DurationOf(section, "promise_length");
  settings.pause_margin = DurationOf(section, "pause_margin");
  settings.clock_rate_error_permille = section.Amount("clock_rate_error");
  settings.renewal_cap = DurationOf(section, "renewal_cap");
  settings.worker_suspicion = DurationOf(section, "worker_suspicion");
  settings.peer_suspicion = DurationOf(section, "peer_suspicion");
}

void FillRegions(const CheckedSection& section, EntrySettings& settings) {
  settings.cut_off_after = DurationOf(section, "cut_off_after");
  settings.quota_patience = DurationOf(section, "quota_patience");
  settings.quota_hold_off = DurationOf(section, "quota_hold_off");
}

void FillRequests(const CheckedSection& section, EntrySettings& settings) {
  settings.maximum_body_bytes = section.Amount("maximum_body");
  settings.maximum_requests_in_flight = section.Amount("maximum_in_flight");
  settings.default_deadline = DurationOf(section, "default_deadline");
  settings.maximum_deadline = DurationOf(section, "maximum_deadline");
}

}  // namespace

const Schema& EntrySettingsSchema() {
  return kSchema;
}

std::optional<EntrySettings> ReadEntrySettings(const std::string& text,
                                               std::vector<Problem>& problems) {
  const std::optional<CheckedSections> sections =
      ReadChecked(kSchema, text, problems);
  if (!sections) {
    return std::nullopt;
  }
  EntrySettings settings;
  FillProcess(FindSection(*sections, "process"), settings);
  const CheckedSection& peers = FindSection(*sections, "peers");
  settings.peer_addresses = peers.List("start_addresses");
  settings.peer_secret_path = peers.Text("secret_file");
  FillLog(FindSection(*sections, "log"), settings);
  FillLease(FindSection(*sections, "lease"), settings);
  FillRequests(FindSection(*sections, "requests"), settings);
  FillRegions(FindSection(*sections, "regions"), settings);
  const CheckedSection& access = FindSection(*sections, "access");
  settings.has_open_doors = access.IsSet("open_doors");
  settings.operator_token_hash = access.Text("operator_token_hash");
  settings.worker_token_hash = access.Text("worker_token_hash");
  const CheckedSection& tls = FindSection(*sections, "tls");
  settings.certificate_chain_path = tls.Text("certificate_chain_file");
  settings.private_key_path = tls.Text("private_key_file");
  return settings;
}

}  // namespace papayadrift::settings
