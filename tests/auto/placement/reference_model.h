#ifndef PAPAYADRIFT_TESTS_PLACEMENT_REFERENCE_MODEL_H_
#define PAPAYADRIFT_TESTS_PLACEMENT_REFERENCE_MODEL_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "placement/scheduler.h"

namespace papayadrift::placement {

// One step of a random script: an operation and the candidate it applies to.
struct Step {
  uint8_t operation = 0;
  uint32_t which = 0;
};

// Reference model of the state of workers and attempts in the log and on the
// workers. Its events wait in a pool, from which they are delivered in any
// order and possibly more than once. Every action is checked against the model.
class ReferenceModel {
 public:
  explicit ReferenceModel(Scheduler& scheduler);

  void Apply(const Step& step);

 private:
  struct Live {
    Attempt attempt;
    WorkerId worker;
    Resources grant;
  };
  // Separation rules of a job.
  struct Job {
    KindId kind;
    Separation separation;
  };
  struct Worker {
    Incarnation incarnation;
    bool is_up = false;
  };

  void Deliver(const Event& event);
  void DeliverPooledEvent(uint32_t which);
  void Check(const Action& action);
  void CheckClaim(const Claim& claim);
  void CheckSeparation(const Claim& claim) const;
  void CheckSums() const;
  void CheckQuotas(const std::vector<Action>& actions) const;
  void ChangeGrantOf(const ChangeGrant& change);
  void SubmitJob(uint32_t which);
  void CloseJob(uint32_t which);
  void EndRandomAttempt(uint32_t which);
  void KillWorker(uint32_t which);
  void StartWorker(uint32_t which);
  void ReportInvalidMeasurements(uint32_t which);
  void ToggleCutOff();
  void QuarantineElsewhere(uint32_t which);
  void NoteInvalidKnowledge(uint32_t which);

  Scheduler& scheduler_;
  Instant now_{seconds(1)};
  std::map<TaskId, Live> live_;
  std::map<JobId, Job> jobs_;
  std::map<WorkerId, Worker> workers_;
  std::set<WorkerId> quarantined_;
  std::set<JobId> closed_;
  std::vector<Event> event_pool_;
  uint32_t next_job_ = 0;
  uint32_t choice_ = 0;
  bool is_cut_off_ = false;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_TESTS_PLACEMENT_REFERENCE_MODEL_H_
