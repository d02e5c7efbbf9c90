#include "entry/region_controller.h"

#include <utility>
#include <variant>

#include "entry/retirement_response.h"
#include "settings/ini_document.h"

namespace papayadrift::entry {

namespace {

// How often all workers are looked through.
constexpr milliseconds kWatchPeriod(100);
// Whole files are large, and after an hour there are hundreds to read.
constexpr uint32_t kFilesPerRead = 8;
// Author, home regions and the numbers around a file in its record.
constexpr size_t kFileFrameBytes = size_t{64} << 10;

StreamSettings StreamSettingsOf(const RegionControllerSettings& settings,
                                const std::string& stream,
                                const EntryId& author,
                                uint64_t salt) {
  return {log::StreamId(stream), author,          settings.self.incarnation,
          settings.queue,        settings.reader, settings.seed + salt};
}

StreamSettings ConfigurationStreamSettingsOf(
    const RegionControllerSettings& settings) {
  StreamSettings stream = StreamSettingsOf(
      settings, "configuration",
      AuthorAmongRegions(settings.region, settings.self.entry), 2);
  stream.reader.maximum_records = kFilesPerRead;
  stream.queue.maximum_bytes_per_append =
      settings::kMaximumFileBytes + kFileFrameBytes;
  return stream;
}

proposals::SnapshotLimits SnapshotLimitsOf(
    const RegionControllerSettings& settings) {
  proposals::SnapshotLimits limits;
  limits.offsets = settings.snapshot_interval;
  return limits;
}

lease::MemberKey MemberKeyOf(const records::EntryJoined& self) {
  return {self.entry, self.incarnation};
}

}  // namespace

RegionController::RegionController(const RegionControllerSettings& settings,
                                   log::LogPort& log,
                                   const std::shared_ptr<TaskRunner>& runner,
                                   const Clock& clock,
                                   PeerTransport& transport,
                                   RequestPathPort request_path,
                                   RegionObserver observer)
    : settings_(settings),
      clock_(clock),
      observer_(std::move(observer)),
      decisions_(StreamSettingsOf(settings,
                                  "decisions-" + settings.region.text(),
                                  settings.self.entry,
                                  0),
                 2 * settings.snapshot_interval,
                 log,
                 runner,
                 clock),
      configuration_(ConfigurationStreamSettingsOf(settings),
                     settings.region,
                     log,
                     runner,
                     clock),
      renewer_(MemberKeyOf(settings.self), settings.lease),
      promises_(MemberKeyOf(settings.self), settings.lease),
      view_(MemberKeyOf(settings.self),
            settings.self.stream_address,
            settings.membership),
      membership_(settings.self,
                  decisions_,
                  renewer_,
                  promises_,
                  view_,
                  settings.lease,
                  clock,
                  [this] { return routes_.IsWithinShares(); }),
      standing_(decisions_, configuration_, membership_),
      placement_(settings.placement,
                 decisions_,
                 clock,
                 [this](const WorkerId& worker) {
                   return membership_.IsHomeOf(worker.text());
                 }),
      directory_(decisions_, view_, membership_),
      workers_(
          decisions_,
          renewer_,
          settings.lease,
          clock,
          [this](const WorkerId& worker) { return directory_.For(worker); },
          placement_),
      worker_watch_(settings.worker_suspicion,
                    decisions_,
                    standing_,
                    membership_,
                    promises_,
                    workers_,
                    clock),
      keys_(
          settings.self.entry,
          settings.self.incarnation,
          [this](std::string_view key) { return FindHomeOf(key); },
          decisions_,
          clock),
      jobs_(settings.region, decisions_, configuration_, clock),
      configuration_desk_(configuration_, clock),
      quotas_(settings.region,
              settings.quotas,
              decisions_,
              configuration_,
              clock),
      configuration_effect_(settings.region,
                            configuration_,
                            decisions_,
                            standing_,
                            quotas_,
                            placement_,
                            clock),
      knowledge_({[this] { return placement_.scheduler().Knowledge(); },
                  [this](const std::string& name) {
                    return membership_.IsHomeOf(name);
                  }},
                 decisions_,
                 clock),
      snapshots_(SnapshotLimitsOf(settings), decisions_, clock, settings.seed),
      loans_(MemberKeyOf(settings.self),
             settings.lease,
             clock,
             LoanPortOf(request_path.slots),
             observer_.loans),
      routes_(std::move(request_path),
              decisions_,
              configuration_,
              standing_,
              membership_,
              renewer_,
              loans_,
              clock),
      watch_at_(clock.Now()),
      reassert_at_(clock.Now() + settings.reassert_interval) {
  if (settings.peer_key) {
    peers_.emplace(
        PeerDriverSettings{MemberKeyOf(settings.self),
                           settings.self.stream_address, settings.lease},
        *settings.peer_key, transport, decisions_, configuration_, renewer_,
        promises_, view_, workers_, loans_, clock);
  }
  placement_.SetDesk(workers_);
  decisions_.AddListener(membership_);
  decisions_.AddListener(placement_);
  decisions_.AddListener(snapshots_);
  decisions_.AddListener(worker_watch_);
  decisions_.AddListener(*this);
  decisions_.AddListener(configuration_effect_);
  decisions_.AddListener(routes_);
  if (observer_.decisions != nullptr) {
    decisions_.AddListener(*observer_.decisions);
  }
  configuration_.AddListener([this](const ConfigurationInForce&) {
    configuration_effect_.OnConfigurationChanged();
    routes_.OnConfigurationChanged();
  });
}

void RegionController::OnTime() {
  decisions_.OnTime();
  configuration_.OnTime();
  if (peers_) {
    peers_->OnTime();
  }
  membership_.OnTime();
  WatchHomes();
  keys_.OnTime();
  if (standing_.is_full_member()) {
    knowledge_.OnTime();
    snapshots_.OnTime(membership_.RankAmongLive());
  }
  configuration_effect_.OnTime();
  placement_.SetCutOff(IsCutOff());
  WatchRegion();
  Reassert();
  routes_.OnTime();
  TradeSlots();
}

worker_protocol::HeartbeatAnswer RegionController::OnHeartbeat(
    const worker_protocol::Heartbeat& heartbeat) {
  return workers_.Answer(heartbeat);
}

void RegionController::SubmitJob(const std::string& body, Respond respond) {
  jobs_.Submit(body, std::move(respond));
}

void RegionController::CancelJob(const JobId& job, Respond respond) {
  jobs_.Cancel(job, std::move(respond));
}

http::Response RegionController::JobStatus(const JobId& job) const {
  return jobs_.Status(job);
}

void RegionController::ApplyConfiguration(ConfigurationVersion expected,
                                          std::string author,
                                          std::string text,
                                          Instant give_up_at,
                                          Respond respond) {
  configuration_desk_.Apply(expected, std::move(author), std::move(text),
                            give_up_at, std::move(respond));
}

void RegionController::RetireEntry(const lease::MemberKey& member,
                                   Respond respond) {
  membership_.Retire(member, [this, member, respond = std::move(respond)](
                                 const RetirementOutcome& outcome) {
    respond(ResponseToRetirement(member, outcome, clock_));
  });
}

void RegionController::OnSlotsWanted(const ServiceId& service,
                                     size_t requests) {
  loans_.OnWanted(service, requests);
}

void RegionController::Leave(std::function<void()> on_left) {
  is_stopping_ = true;
  on_left_ = std::move(on_left);
  TradeSlots();
}

HomeAnswer RegionController::FindHomeOf(std::string_view id) const {
  return FindHome(id, settings_.region, configuration_.in_force());
}

void RegionController::OnApplied(Offset /*offset*/,
                                 const replay::AppliedProposal& applied) {
  const auto* retired =
      std::get_if<records::EntryRetired>(&applied.proposal.record);
  if (retired != nullptr && applied.verdict.is_accepted() &&
      standing_.has_region_duty() && observer_.on_retired) {
    observer_.on_retired({retired->entry, retired->incarnation});
  }
}

bool RegionController::IsCutOff() const {
  const std::optional<Instant> read_at = configuration_.tail_read_began_at();
  return !read_at || clock_.Now() - *read_at > settings_.cut_off_after;
}

void RegionController::WatchHomes() {
  std::vector<lease::MemberKey> members = view_.LiveMembers();
  if (members == live_members_ || !decisions_.has_caught_up()) {
    return;
  }
  live_members_ = std::move(members);
  placement_.OnHomesChanged();
  worker_watch_.OnHomesChanged();
}

void RegionController::WatchRegion() {
  if (clock_.Now() < watch_at_) {
    return;
  }
  watch_at_ = clock_.Now() + kWatchPeriod;
  placement_.OnTime();
  if (standing_.has_region_duty()) {
    quotas_.OnTime();
  }
  worker_watch_.OnTime();
}

void RegionController::Reassert() {
  if (clock_.Now() < reassert_at_) {
    return;
  }
  reassert_at_ = clock_.Now() + settings_.reassert_interval;
  if (standing_.has_region_duty()) {
    configuration_.Reassert();
    quotas_.Report();
  }
}

void RegionController::TradeSlots() {
  loans_.SetGround({routes_.shares_until(),
                    !is_stopping_ && !membership_.OwesAcknowledgement()});
  loans_.OnTime();
  if (on_left_ && loans_.lent_slots() == 0) {
    membership_.Leave(std::exchange(on_left_, nullptr));
  }
}

LoanPort RegionController::LoanPortOf(SlotPort slots) {
  return {std::move(slots),
          [this](const lease::MemberKey& peer,
                 const peer_protocol::Message& message) {
            return peers_ && peers_->SendTo(peer, message);
          },
          [this] {
            std::vector<lease::MemberKey> peers = view_.LiveMembers();
            std::erase_if(peers, [this](const lease::MemberKey& peer) {
              return !peers_ || !peers_->IsConnectedTo(peer);
            });
            return peers;
          }};
}

}  // namespace papayadrift::entry
