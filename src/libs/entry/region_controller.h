#ifndef PAPAYADRIFT_ENTRY_REGION_CONTROLLER_H_
#define PAPAYADRIFT_ENTRY_REGION_CONTROLLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "entry/configuration_desk.h"
#include "entry/configuration_effect.h"
#include "entry/configuration_stream.h"
#include "entry/decision_stream.h"
#include "entry/entry_standing.h"
#include "entry/job_desk.h"
#include "entry/key_desk.h"
#include "entry/knowledge_desk.h"
#include "entry/loan_driver.h"
#include "entry/membership_driver.h"
#include "entry/peer_driver.h"
#include "entry/placement_driver.h"
#include "entry/quota_driver.h"
#include "entry/region_controller_settings.h"
#include "entry/region_homes.h"
#include "entry/request_path_port.h"
#include "entry/route_publisher.h"
#include "entry/snapshot_writer.h"
#include "entry/worker_desk.h"
#include "entry/worker_directory.h"
#include "entry/worker_watch.h"
#include "http/message.h"
#include "lease/freeze_promises.h"
#include "lease/renewer.h"
#include "log/log_port.h"

namespace papayadrift::entry {

// Whom the controller tells.
struct RegionObserver {
  // Hears of every change of the decision state.
  DecisionListener* decisions = nullptr;
  // Another entry is retired; it is this entry's duty to close its record.
  std::function<void(const replay::EntryKey&)> on_retired;
  // Counts loans of slots; may be null.
  LoanMetrics* loans = nullptr;
};

// Everything that an entry decides or knows, but for the path of a request:
// puts the parts together and moves them in turn. Does no I/O of its own. On
// the control thread only.
class RegionController : private DecisionListener {
 public:
  RegionController(const RegionControllerSettings& settings,
                   log::LogPort& log,
                   const std::shared_ptr<TaskRunner>& runner,
                   const Clock& clock,
                   PeerTransport& transport,
                   RequestPathPort request_path,
                   RegionObserver observer);

  // Does what is due; to be called every few milliseconds.
  void OnTime();

  worker_protocol::HeartbeatAnswer OnHeartbeat(
      const worker_protocol::Heartbeat& heartbeat);

  using Respond = std::function<void(http::Response)>;
  void SubmitJob(const std::string& body, Respond respond);
  void CancelJob(const JobId& job, Respond respond);
  http::Response JobStatus(const JobId& job) const;
  void ApplyConfiguration(ConfigurationVersion expected,
                          std::string author,
                          std::string text,
                          Instant give_up_at,
                          Respond respond);

  // Takes the operators' word that the incarnation of an entry is gone.
  void RetireEntry(const lease::MemberKey& member, Respond respond);

  // Requests of a service wait for slots.
  void OnSlotsWanted(const ServiceId& service, size_t requests);

  // Trades slots with other entries no more, but to settle what is open.
  void StopLoans() { is_stopping_ = true; }
  // Gives up membership once nothing of its slots is lent, which must be in
  // use no more; `on_left` runs when the log shows it.
  void Leave(std::function<void()> on_left);

  // Whether requests are served: caught up, a full member, configured.
  bool is_ready() const { return standing_.is_ready(); }
  // Whether this life of the entry is over and the process must end.
  bool is_superseded() const { return membership_.is_superseded(); }

  KeyDesk& keys() { return keys_; }
  ConfigurationStream& configuration() { return configuration_; }
  const ConfigurationStream& configuration() const { return configuration_; }
  // Null for an entry that stands alone.
  PeerDriver* peers() { return peers_ ? &*peers_ : nullptr; }
  const PeerDriver* peers() const { return peers_ ? &*peers_ : nullptr; }
  const membership::MembershipView& view() const { return view_; }
  const DecisionStream& decisions() const { return decisions_; }
  const lease::Renewer& renewer() const { return renewer_; }
  const lease::FreezePromises& promises() const { return promises_; }
  const MembershipDriver& membership() const { return membership_; }
  const PlacementDriver& placement() const { return placement_; }
  const KnowledgeDesk& knowledge() const { return knowledge_; }
  const LoanDriver& loans() const { return loans_; }
  const SnapshotWriter& snapshots() const { return snapshots_; }
  const RegionControllerSettings& settings() const { return settings_; }
  // Returns where the job or request with that id belongs.
  HomeAnswer FindHomeOf(std::string_view id) const;

 private:
  void OnApplied(Offset offset,
                 const replay::AppliedProposal& applied) override;
  void OnRestored() override {}
  // Whether the stream that all regions share could not be read for long.
  bool IsCutOff() const;
  void WatchHomes();
  void WatchRegion();
  void Reassert();
  void TradeSlots();
  LoanPort LoanPortOf(SlotPort slots);

  const RegionControllerSettings settings_;
  const Clock& clock_;
  const RegionObserver observer_;
  DecisionStream decisions_;
  ConfigurationStream configuration_;
  lease::Renewer renewer_;
  lease::FreezePromises promises_;
  membership::MembershipView view_;
  MembershipDriver membership_;
  EntryStanding standing_;
  PlacementDriver placement_;
  WorkerDirectory directory_;
  WorkerDesk workers_;
  WorkerWatch worker_watch_;
  KeyDesk keys_;
  JobDesk jobs_;
  ConfigurationDesk configuration_desk_;
  QuotaDriver quotas_;
  ConfigurationEffect configuration_effect_;
  KnowledgeDesk knowledge_;
  SnapshotWriter snapshots_;
  LoanDriver loans_;
  RoutePublisher routes_;
  std::optional<PeerDriver> peers_;
  std::function<void()> on_left_;  // Set while loans hold up the leaving.
  std::vector<lease::MemberKey> live_members_;
  bool is_stopping_ = false;
  Instant watch_at_;
  Instant reassert_at_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_REGION_CONTROLLER_H_
