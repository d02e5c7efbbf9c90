#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_FRONT_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_FRONT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "cluster/job_replica.h"
#include "jobs/directory.h"
#include "keyed_log/keyed_log.h"
#include "model_leader.h"
#include "network.h"
#include "referee.h"
#include "simulation.h"
#include "wiring.h"

namespace papayadrift::run_histories {

// What cluster::JobFrontend does for callers, and a term of leadership when it
// is told to campaign: one process, from its start.
class ModelFront : public std::enable_shared_from_this<ModelFront> {
 public:
  // Sends a cancellation that is stored to the leader at this address.
  using NotifyLeader =
      std::function<void(const std::string& address, const JobId& id)>;

  ModelFront(size_t index,
             Simulation& simulation,
             Network& network,
             keyed_log::KeyedLog& store,
             Wiring& wiring,
             Referee& referee,
             NotifyLeader notify_leader,
             jobs::JobSchedulerEventListener event_listener);
  ~ModelFront();
  ModelFront(const ModelFront&) = delete;
  ModelFront& operator=(const ModelFront&) = delete;

  void Submit(size_t job);
  void Cancel(size_t job);
  void Query(size_t job);
  void Campaign();
  void Resign(const std::string& successor);
  void OnReport(const jobs::RunnerReport& report,
                const Network::Respond<ReportReply>& respond);
  void OnCancelled(const JobId& id);

  bool is_leading() const { return leader_ && leader_->is_leading(); }
  bool is_confirmed() const { return leader_ && leader_->is_confirmed(); }
  bool has_term() const { return leader_ && !leader_->has_ended(); }
  const ModelLeader* leader() const { return leader_.get(); }

 private:
  using Done = std::function<void(bool is_done)>;

  void Write(const keyed_log::Record& record, int attempts_left, Done done);
  // Reads what may be needed to answer a caller.
  void Refresh(bool is_job_known, Done done);
  void WriteCancellation(size_t job);

  const size_t index_;
  Simulation& simulation_;
  Network& network_;
  keyed_log::KeyedLog& store_;
  Wiring& wiring_;
  Referee& referee_;
  const NotifyLeader notify_leader_;
  const jobs::JobSchedulerEventListener event_listener_;
  jobs::Directory directory_;
  cluster::JobReplica replica_;
  std::shared_ptr<ModelLeader> leader_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_FRONT_H_
