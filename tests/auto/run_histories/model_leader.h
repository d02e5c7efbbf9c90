#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_LEADER_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_LEADER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/job_replica.h"
#include "cluster/leader.h"
#include "jobs/directory.h"
#include "jobs/job_scheduler.h"
#include "jobs/leader_record.h"
#include "keyed_log/keyed_log.h"
#include "network.h"
#include "simulation.h"
#include "wiring.h"

namespace papayadrift::run_histories {

// The flow of cluster::Leader around the job scheduler, without its I/O: one
// term, from the candidacy until the store has a later one.
class ModelLeader : public std::enable_shared_from_this<ModelLeader> {
 public:
  ModelLeader(size_t index,
              Simulation& simulation,
              Network& network,
              keyed_log::KeyedLog& store,
              Wiring& wiring,
              jobs::Directory& directory,
              cluster::JobReplica& replica,
              jobs::JobSchedulerEventListener event_listener);

  void Campaign();
  void Resign(const std::string& successor);
  bool OnCancelled(const JobId& id);
  void OnReport(const jobs::RunnerReport& report,
                const Network::Respond<ReportReply>& respond);

  bool is_leading() const { return is_leading_; }
  bool has_ended() const { return has_ended_; }
  bool is_confirmed() const;
  const jobs::JobScheduler* scheduler() const {
    return scheduler_ ? &*scheduler_ : nullptr;
  }

 private:
  struct PendingReport {
    jobs::RunnerIncarnation incarnation;
    uint64_t last_end_number = 0;
    std::optional<uint64_t> gone_version;
    int64_t sent_at_ms = 0;
    Instant received_at;
    Network::Respond<ReportReply> respond;
  };
  using Pending = std::shared_ptr<keyed_log::Append>;

  void After(milliseconds delay, std::function<void()> action);
  keyed_log::Writer NextWriter() const;
  void SendCandidacy(int attempts_left);
  void OnElected();
  void PublishAddress();
  void CatchUpOnJobs();
  void StartLeadingIfReady();
  void StartLeading();
  void NotifyAgents();
  void FollowJobs();
  void ScheduleStep(milliseconds delay);
  void Step();
  milliseconds TimeToAppend() const;
  void Flush();
  uint64_t AppendChanges(keyed_log::Append& append);
  void AppendAgents(keyed_log::Append& append);
  void Write(const Pending& append, uint64_t version);
  void OnWritten(const Pending& append,
                 uint64_t version,
                 Instant started_at,
                 const keyed_log::AppendResult& result);
  void OnStored(uint64_t version);
  void WriteResignation();
  void SendOrders();
  void OnOrdersAnswered(const jobs::OrderBatch& batch,
                        Instant sent_at,
                        std::optional<jobs::OrderAnswer> answer);
  bool IsRecorded(const PendingReport& report) const;
  void Answer(const PendingReport& report);
  void AnswerReports();
  void RejectPendingReports();
  void End();

  const size_t index_;
  const cluster::LeaderSettings settings_;
  Simulation& simulation_;
  Network& network_;
  keyed_log::KeyedLog& store_;
  Wiring& wiring_;
  jobs::Directory& directory_;
  cluster::JobReplica& replica_;
  const jobs::JobSchedulerEventListener event_listener_;
  jobs::LeaderRecord record_;
  std::optional<uint64_t> expected_end_;
  uint64_t sequence_ = 0;
  Instant confirmed_at_;
  bool is_elected_ = false;
  bool has_read_jobs_ = false;
  bool is_leading_ = false;
  bool is_resigning_ = false;
  bool has_ended_ = false;
  std::string successor_;
  jobs::AgentList stored_agents_;
  std::optional<jobs::JobScheduler> scheduler_;
  bool is_writing_ = false;
  std::vector<std::pair<JobId, jobs::JobOutcome>> unstored_outcomes_;
  std::vector<JobId> deleted_jobs_;
  Instant last_append_at_;
  Instant agents_appended_at_;
  Timer step_timer_;
  std::optional<Instant> step_due_;
  std::vector<PendingReport> pending_reports_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_MODEL_LEADER_H_
