#ifndef PAPAYADRIFT_ENTRY_PLACEMENT_DRIVER_H_
#define PAPAYADRIFT_ENTRY_PLACEMENT_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "base/clock.h"
#include "configuration/configuration.h"
#include "entry/decision_stream.h"
#include "entry/worker_desk.h"
#include "placement/scheduler.h"

namespace papayadrift::entry {

// Says whether this entry is the home of a worker.
using IsHomeOf = std::function<bool(const WorkerId&)>;

// Drives the scheduler with what replay and workers show, and brings its
// decisions into the decision stream. On the control thread only.
class PlacementDriver : public DecisionListener, public WorkerReportListener {
 public:
  PlacementDriver(const placement::Settings& settings,
                  DecisionStream& decisions,
                  const Clock& clock,
                  IsHomeOf is_home_of);

  // Must be set before the first event.
  void SetDesk(WorkerDesk& desk) { desk_ = &desk; }

  void OnConfiguration(const configuration::Configuration& configuration);
  // Whether the other regions can't be heard: quotas are then not exceeded.
  void SetCutOff(bool is_cut_off);
  // The homes of workers may have changed.
  void OnHomesChanged();
  void OnTime();

  void OnApplied(Offset offset,
                 const replay::AppliedProposal& applied) override;
  void OnRestored() override;
  void OnReports(const worker_protocol::Heartbeat& heartbeat) override;
  UrgentWork UrgentWorkOn(const WorkerId& worker) const override;

  bool is_cut_off() const { return is_cut_off_; }
  const placement::Scheduler& scheduler() const { return *scheduler_; }

 private:
  struct Applier;
  struct Performer;

  void Handle(const placement::Event& event);
  // Tell a new scheduler what replay knows.
  void TellWorkers();
  void TellJobs();
  void Perform(const placement::Action& action);
  void OnClaimOutcome(const placement::Claim& claim,
                      const ProposalOutcome& outcome);
  // One that expires without effect is made again: the scheduler counts on the
  // room.
  void RequestEviction(const placement::Evict& evict);
  void ProposeQuarantine(const records::WorkerQuarantined& record);
  void RaiseGrant(const placement::ChangeGrant& change);
  void AssignHome(const WorkerId& worker);
  void ReportAttempt(const worker_protocol::AttemptReport& report);
  placement::JobSubmitted EventOf(const records::JobSubmitted& record) const;

  const placement::Settings settings_;
  DecisionStream& decisions_;
  const Clock& clock_;
  const IsHomeOf is_home_of_;
  WorkerDesk* desk_ = nullptr;
  std::unique_ptr<placement::Scheduler> scheduler_;
  placement::Policy policy_;
  bool is_cut_off_ = false;
  std::vector<placement::Evict> evict_again_;
  std::set<std::pair<TaskId, Attempt>> started_;
  std::map<WorkerId, Instant> latency_reported_until_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_PLACEMENT_DRIVER_H_
