#include "entry/node_settings.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "replay/key_table.h"

namespace papayadrift::entry {

namespace {

constexpr seconds kApplyTimeout(8);
constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr int64_t kPpmPerPermille = 1000;
// The longest timeout that a slow peer gets, as a multiple of the shortest.
constexpr int kSuspicionSpread = 4;
// An entry that hears fewer than half of the others waits this much longer.
constexpr int kIsolationFactor = 6;
// How long the log may hold back the answer to a read, and how many reads must
// fit into the time for which one counts as fresh.
constexpr milliseconds kLongestPoll(500);
constexpr int kReadsPerFreshness = 4;
constexpr int kHeartbeatsPerLease = 3;
// How often parts of quotas may move in the time that a team is patient.
constexpr int kMovesPerPatience = 3;
// The team of tokens that the settings file holds.
constexpr char kProcessTeam[] = "process";

void AddGrant(const std::string& text,
              const TeamId& team,
              const CustomerId& customer,
              access::Role role,
              std::vector<access::Grant>& grants) {
  if (const auto hash = access::TokenHashFromText(text)) {
    grants.push_back({team, customer, role, *hash});
  }
}

struct LeaseFaultText {
  std::string_view key;
  std::string_view detail;
};

LeaseFaultText TextOf(lease::LeaseSettingsFault fault) {
  switch (fault) {
    case lease::LeaseSettingsFault::kNotPositive:
      return {"pause_margin", "Expected more than 0 ms."};
    case lease::LeaseSettingsFault::kRenewalTooShort:
      return {"length", "Expected a longer time."};
    case lease::LeaseSettingsFault::kFreshnessTooLong:
      return {"tail_freshness", "Expected at most the length of a lease."};
    case lease::LeaseSettingsFault::kPromiseTooShort:
      return {"promise_length", "Expected a longer time."};
    case lease::LeaseSettingsFault::kCapTooShort:
      return {"renewal_cap",
              "Expected at least promise_length and tail_freshness."};
    case lease::LeaseSettingsFault::kClockRateErrorOutOfRange:
      return {"clock_rate_error", "Expected a smaller error."};
  }
  return {};
}

uint64_t SeedOf(const settings::EntrySettings& settings,
                Incarnation incarnation) {
  return StableHash(settings.entry.text(), incarnation.value());
}

}  // namespace

access::AccessSettings AccessSettingsOf(Incarnation incarnation) {
  access::AccessSettings access;
  access.seed = incarnation.value();
  return access;
}

access::AccessBook AccessBookOf(
    const settings::EntrySettings& settings,
    const configuration::Configuration& configuration) {
  std::vector<access::Grant> grants;
  AddGrant(settings.operator_token_hash, TeamId(kProcessTeam), CustomerId(),
           access::Role::kOperator, grants);
  AddGrant(settings.worker_token_hash, TeamId(kProcessTeam), CustomerId(),
           access::Role::kWorker, grants);
  for (const configuration::Team& team : configuration.teams) {
    AddGrant(team.caller_token_hash, team.team, team.customer,
             access::Role::kCaller, grants);
    AddGrant(team.operator_token_hash, team.team, team.customer,
             access::Role::kOperator, grants);
  }
  return access::AccessBook(std::move(grants));
}

RequestDeskSettings RequestDeskSettingsOf(
    const settings::EntrySettings& settings,
    Incarnation incarnation) {
  RequestDeskSettings desk;
  desk.routing.zone = settings.zone;
  desk.routing.identity_prefix =
      settings.entry.text() + "-" + std::to_string(incarnation.value()) + "-";
  desk.routing.random_seed = SeedOf(settings, incarnation);
  desk.routing.maximum_kept_answer_bytes =
      replay::KeyTable::kMaximumAnswerBytes;
  desk.default_deadline = settings.default_deadline;
  desk.maximum_deadline = settings.maximum_deadline;
  return desk;
}

lease::LeaseSettings LeaseSettingsOf(const settings::EntrySettings& settings) {
  lease::LeaseSettings lease;
  lease.renewal = settings.lease_length;
  // Workers set their own pace; it must leave room for two lost heartbeats.
  lease.heartbeat_period = settings.lease_length / kHeartbeatsPerLease;
  lease.tail_freshness = settings.tail_freshness;
  lease.promise = settings.promise_length;
  lease.promise_period = settings.promise_length / 4;
  lease.outage_cap = settings.renewal_cap;
  lease.pause_margin = settings.pause_margin;
  lease.maximum_request = settings.maximum_deadline;
  lease.clock_rate_error_ppm =
      settings.clock_rate_error_permille * kPpmPerPermille;
  return lease;
}

std::optional<settings::Problem> LeaseProblemOf(
    const settings::EntrySettings& settings) {
  const auto fault = lease::Check(LeaseSettingsOf(settings));
  if (!fault) {
    return std::nullopt;
  }
  const LeaseFaultText text = TextOf(*fault);
  return settings::Problem{settings::ProblemKind::kOutOfRange, "lease",
                           std::string(text.key), 0, std::string(text.detail)};
}

RegionControllerSettings ControllerSettingsOf(
    const settings::EntrySettings& settings,
    Incarnation incarnation,
    const std::optional<peer_protocol::SharedKey>& peer_key) {
  RegionControllerSettings controller;
  controller.peer_key = peer_key;
  controller.self = {settings.entry, incarnation, settings.zone,
                     settings.http_address, settings.stream_address};
  controller.region = settings.region;
  controller.lease = LeaseSettingsOf(settings);
  controller.queue.group_delay = settings.commit_interval;
  controller.queue.append_interval =
      microseconds(kMicrosecondsPerSecond / settings.appends_per_second);
  controller.reader.wait_milliseconds = static_cast<uint32_t>(
      std::min(kLongestPoll, settings.tail_freshness / kReadsPerFreshness)
          .count());
  controller.placement.seed = SeedOf(settings, incarnation);
  controller.membership.suspicion.minimum_timeout = settings.peer_suspicion;
  controller.membership.suspicion.maximum_timeout =
      kSuspicionSpread * settings.peer_suspicion;
  controller.membership.lapse_after = settings.peer_suspicion;
  controller.membership.isolated_lapse_after =
      kIsolationFactor * settings.peer_suspicion;
  controller.membership.first_addresses = settings.peer_addresses;
  controller.worker_suspicion = settings.worker_suspicion;
  controller.cut_off_after = settings.cut_off_after;
  controller.quotas.patience = settings.quota_patience;
  controller.quotas.hold_off = settings.quota_hold_off;
  controller.quotas.period = settings.quota_patience / kMovesPerPatience;
  controller.quotas.restate = 2 * settings.quota_patience;
  controller.reassert_interval = settings.reassert_interval;
  controller.snapshot_interval =
      static_cast<uint64_t>(settings.snapshot_interval_records);
  controller.seed = SeedOf(settings, incarnation);
  return controller;
}

HttpFrontSettings HttpFrontSettingsOf(const settings::EntrySettings& settings) {
  return {settings.has_open_doors, kApplyTimeout};
}

http::ServerSettings ServerSettingsOf(const settings::EntrySettings& settings) {
  http::ServerSettings server;
  server.address = settings.http_address;
  server.maximum_body_bytes = static_cast<size_t>(settings.maximum_body_bytes);
  server.maximum_requests_in_flight =
      static_cast<size_t>(settings.maximum_requests_in_flight);
  server.certificate_chain_path = settings.certificate_chain_path;
  server.private_key_path = settings.private_key_path;
  return server;
}

}  // namespace papayadrift::entry
