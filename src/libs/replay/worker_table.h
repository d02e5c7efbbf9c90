#ifndef PAPAYADRIFT_REPLAY_WORKER_TABLE_H_
#define PAPAYADRIFT_REPLAY_WORKER_TABLE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/identifiers.h"
#include "base/resources.h"
#include "records/record.h"
#include "replay/former_incarnations.h"
#include "replay/verdict.h"

namespace papayadrift::replay {

// One life of a worker.
struct WorkerKey {
  WorkerId worker;
  Incarnation incarnation;

  friend auto operator<=>(const WorkerKey&, const WorkerKey&) = default;
};

enum class WorkerPhase : uint8_t {
  kLive,
  kDraining,  // Gets no new work.
  kLapsed,    // Not renewed any more; its tasks may still run.
};

struct WorkerState {
  ZoneId zone;
  RackId rack;
  std::string address;  // "ip:port".
  Resources capacity;   // Of the whole VM.
  std::vector<records::Runner> runners;
  WorkerPhase phase = WorkerPhase::kLive;
  bool is_quarantined = false;
  // Offset of the record that brought it into `phase`.
  Offset phase_since;
  Resources reserved;  // By its runners.
  Resources granted;   // To its live attempts.
  std::set<TaskId> live_tasks;

  friend bool operator==(const WorkerState&, const WorkerState&) = default;
};

// The workers by incarnation, and what each VM carries. A freed incarnation
// is gone. Check() answers whether a record would be valid, Apply() carries
// out a valid one.
class WorkerTable {
 public:
  using Workers = std::map<WorkerKey, WorkerState>;

  const Workers& workers() const { return workers_; }
  const WorkerState* Find(const WorkerKey& key) const;
  // The newest incarnation ever accepted of a worker, freed ones included. An
  // announcement needs a higher one.
  std::optional<Incarnation> NewestIncarnation(const WorkerId& worker) const;
  // Reservations and grants of all incarnations on the worker's VM.
  Resources UsedOn(const WorkerId& worker) const;
  // Live tasks of all incarnations on the worker's VM.
  std::vector<TaskId> LiveTasksOn(const WorkerId& worker) const;

  // Answers whether `grant` more may be claimed on the worker.
  std::optional<Rejection> CheckClaim(const WorkerKey& key,
                                      const Resources& grant) const;
  // Answers whether a grant on the worker may change from `before` to `after`.
  std::optional<Rejection> CheckGrant(const WorkerKey& key,
                                      const Resources& before,
                                      const Resources& after) const;
  std::optional<Rejection> Check(const records::WorkerAnnounced& record) const;
  std::optional<Rejection> Check(const records::WorkerDraining& record) const;
  std::optional<Rejection> Check(const records::WorkerLapsed& record) const;
  std::optional<Rejection> Check(const records::WorkerFreed& record) const;
  std::optional<Rejection> Check(
      const records::WorkerQuarantined& record) const;

  // The incarnations that a valid announcement frees at once.
  std::vector<WorkerKey> EndedBy(const records::WorkerAnnounced& record) const;

  void AddGrant(const WorkerKey& key,
                const TaskId& task,
                const Resources& grant);
  void ChangeGrant(const WorkerKey& key,
                   const Resources& before,
                   const Resources& after);
  void RemoveGrant(const WorkerKey& key,
                   const TaskId& task,
                   const Resources& grant);
  void Apply(Offset offset, const records::WorkerAnnounced& record);
  void Apply(Offset offset, const records::WorkerDraining& record);
  void Apply(Offset offset, const records::WorkerLapsed& record);
  void Apply(Offset offset, const records::WorkerQuarantined& record);
  // Forgets an incarnation whose live tasks were removed before.
  void Remove(Offset offset, const WorkerKey& key);

  friend bool operator==(const WorkerTable&, const WorkerTable&) = default;

 private:
  friend auto Fields(WorkerTable& table) {
    return std::tie(table.workers_, table.formers_);
  }

  // The incarnations of one worker, oldest first.
  auto IncarnationsOf(const WorkerId& worker) const;

  Workers workers_;
  FormerIncarnations<WorkerId> formers_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_WORKER_TABLE_H_
