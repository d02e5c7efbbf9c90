#ifndef PAPAYADRIFT_ENTRY_WORKER_DESK_H_
#define PAPAYADRIFT_ENTRY_WORKER_DESK_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "entry/decision_stream.h"
#include "entry/worker_orders.h"
#include "lease/renewer.h"
#include "worker_protocol/messages.h"

namespace papayadrift::entry {

// Whether urgent work is about to start on a worker.
enum class UrgentWork { kNone, kWaitsForRoom, kBeingClaimed };

// What the desk learns from heartbeats and others need to know.
class WorkerReportListener {
 public:
  virtual ~WorkerReportListener() = default;

  // Reports of attempts that are live here, and of services' latency.
  virtual void OnReports(const worker_protocol::Heartbeat& heartbeat) = 0;
  virtual UrgentWork UrgentWorkOn(const WorkerId& worker) const = 0;
};

// Where a worker should send its heartbeats.
struct EntryDirectory {
  std::string home_address;
  std::vector<std::string> addresses;

  friend bool operator==(const EntryDirectory&,
                         const EntryDirectory&) = default;
};

using DirectoryFor = std::function<EntryDirectory(const WorkerId&)>;

// Answers workers' heartbeats and brings what they say into the decision
// stream. On the control thread only.
class WorkerDesk {
 public:
  WorkerDesk(DecisionStream& decisions,
             lease::Renewer& renewer,
             const lease::LeaseSettings& settings,
             const Clock& clock,
             DirectoryFor directory_for,
             WorkerReportListener& listener);

  worker_protocol::HeartbeatAnswer Answer(
      const worker_protocol::Heartbeat& heartbeat);

  // Has a lower grant enforced and, once the worker confirms it, recorded.
  void LowerGrant(const TaskId& task, Attempt attempt, const Resources& grant);
  // The lapse of a worker is being proposed, or no longer.
  void SetLapsePending(const replay::WorkerKey& worker, bool is_pending);

  // When the worker was last heard here, or at an entry that told of it;
  // nothing if never.
  std::optional<Instant> LastHeard(const replay::WorkerKey& worker) const;
  // Workers heard here since `since`.
  std::vector<replay::WorkerKey> HeardSince(Instant since) const;
  // Another entry tells that it has heard the worker just now.
  void NoteHeardElsewhere(const replay::WorkerKey& worker);
  // Forgets what was kept of a worker that is gone.
  void Forget(const replay::WorkerKey& worker);

 private:
  struct PendingGrant {
    Attempt attempt;
    Resources grant;
  };

  void Announce(const worker_protocol::Heartbeat& heartbeat,
                const replay::WorkerKey& worker);
  void RecordDraining(const replay::WorkerKey& worker);
  void RecordEnd(const worker_protocol::AttemptReport& report,
                 const replay::WorkerKey& worker);
  void RecordLowerGrant(const worker_protocol::AttemptReport& report);
  // Proposes unless the same is on its way; `subject` tells what is the same.
  void ProposeOnce(std::string subject, records::Record record);
  // Whether the incarnation is lapsed, freed or replaced.
  bool IsOver(const replay::WorkerKey& worker) const;
  // Whether an order for urgent work follows as soon as the log has taken what
  // is on its way.
  bool IsUrgentOrderNear(const worker_protocol::Heartbeat& heartbeat) const;
  milliseconds RenewalFor(const replay::WorkerKey& worker);
  LowerGrants PendingLowerGrants() const;

  DecisionStream& decisions_;
  lease::Renewer& renewer_;
  const lease::LeaseSettings settings_;
  const Clock& clock_;
  const DirectoryFor directory_for_;
  WorkerReportListener& listener_;
  std::map<replay::WorkerKey, Instant> heard_at_;
  std::map<replay::WorkerKey, Instant> heard_elsewhere_at_;
  std::set<replay::WorkerKey> lapse_pending_;
  std::set<std::string> on_their_way_;
  std::map<TaskId, PendingGrant> lower_grants_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_WORKER_DESK_H_
