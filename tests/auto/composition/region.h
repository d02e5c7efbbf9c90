#ifndef PAPAYADRIFT_TESTS_COMPOSITION_REGION_H_
#define PAPAYADRIFT_TESTS_COMPOSITION_REGION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "composition/auditor.h"
#include "composition/entry_process.h"
#include "composition/links.h"
#include "composition/log_service.h"
#include "composition/peer_network.h"
#include "composition/worker_process.h"
#include "routing/simulated_clock.h"

namespace papayadrift::test {

struct RegionOptions {
  uint64_t seed = 1;
  int entries = 2;
  int workers = 3;
};

// The settings with which the entries of a Region run.
lease::LeaseSettings RegionLeaseSettings();

// A region in one process on manual time: real controllers and workers' cores,
// with fakes of the log, of connections and of clocks only. Everything follows
// from the seed. Watches all the time what must always hold; what does not is
// in violations().
class Region {
 public:
  explicit Region(const RegionOptions& options);

  routing::SimulatedClock& timeline() { return timeline_; }
  LogService& log() { return log_; }
  Links& links() { return links_; }
  const Auditor& auditor() const { return auditor_; }
  pcg32& random() { return random_; }

  // Lets time pass and checks on the way.
  void RunFor(milliseconds duration);
  // The same until the condition holds; returns whether it does in time.
  bool RunUntil(const std::function<bool()>& condition, milliseconds limit);

  // --- Entries ---
  EntryProcess& StartEntry(const EntryId& name);
  // The running entries, in the order of their names.
  std::vector<EntryProcess*> entries();
  EntryProcess* FindEntry(const std::string& name);
  void CrashEntry(const std::string& name);
  void RestartEntry(const std::string& name);
  // Starts an entry under a name and addresses that were never used.
  EntryProcess& StartNewEntry();

  // --- Workers ---
  const std::vector<std::unique_ptr<WorkerProcess>>& workers() const {
    return workers_;
  }
  WorkerProcess& worker(const std::string& name);

  // --- Operators and callers ---
  // Submits a job through an entry and holds its answer against what happens.
  void SubmitJob(EntryProcess& entry,
                 const std::string& job,
                 int tasks,
                 bool is_urgent,
                 int run_milliseconds);
  void CancelJob(EntryProcess& entry, const std::string& job);
  // Applies a new file that was written against `expected`.
  void ApplyFile(EntryProcess& entry, ConfigurationVersion expected);
  // Says at an entry that each incarnation which does not run is gone.
  void RetireGoneEntries(EntryProcess& entry);
  // Claims a key at an entry.
  void ClaimKey(EntryProcess& entry, const IdempotencyKey& key);
  IdempotencyKey NewKey();

  // The log stores one more lapse of a worker, and is down before it can
  // answer or show it.
  void BreakLogAtNextLapse() { breaks_at_lapse_ = true; }
  bool is_log_broken() const { return is_log_broken_; }
  // Ends all faults but crashes of processes.
  void Heal();
  // From now on, for so long and until things have settled, workers that are
  // heard may be lapsed by an entry that can't know.
  void Disturb(milliseconds duration);

  // What must hold some time after the last fault.
  bool IsConfigurationInForce();
  bool AreJobsDone();
  // Jobs, workers and entries as the log has them, for a failed test to print.
  std::string Summary();
  void CheckAtEnd();

  void Trace(const std::string& what);
  void Report(const std::string& what);
  const std::vector<std::string>& violations() const { return violations_; }
  // What happened, for a failed test to print.
  std::string trace() const;
  // Runs that ended as their worker's lease did.
  int lapsed_runs() const;
  uint64_t starts() const { return starts_; }

 private:
  // When an entry last handled a heartbeat of a worker.
  struct Heard {
    Instant since;  // Without a gap of half the suspicion.
    Instant last;
    std::set<std::string> entries;
  };

  void AddWorker(int number);
  std::vector<std::string> HttpAddresses() const;
  void Deliver(const std::string& address,
               const worker_protocol::Heartbeat& heartbeat,
               const WorkerProcess::OnAnswer& on_answer);
  void NoteHeard(const EntryProcess& entry,
                 const worker_protocol::Heartbeat& heartbeat);
  void OnFollowed(WorkerProcess& worker,
                  const worker_protocol::HeartbeatAnswer& answer,
                  size_t before);
  void OnWorkerLapsed(const records::ProposalId& author,
                      const records::WorkerLapsed& lapsed);
  void Check();
  void CheckPlaces();
  void CheckEntry(EntryProcess& entry);
  void CheckEnforced(const worker_protocol::Heartbeat& heartbeat);
  void EndDrained();
  entry::RegionControllerSettings SettingsFor(const EntryId& name);

  routing::SimulatedClock timeline_;
  Links links_;
  pcg32 random_;
  std::vector<std::string> trace_;
  std::vector<std::string> violations_;
  Auditor auditor_;
  LogService log_;
  PeerNetwork network_;
  std::deque<std::unique_ptr<EntryProcess>> all_entries_;
  std::vector<std::unique_ptr<WorkerProcess>> workers_;
  std::map<std::pair<WorkerId, Incarnation>, Heard> heard_;
  std::map<const EntryProcess*, ConfigurationVersion> versions_;
  std::set<std::string> refused_texts_;
  std::set<JobId> refused_jobs_;
  std::set<JobId> taken_jobs_;
  std::map<IdempotencyKey, int> key_uses_;
  std::map<std::pair<TaskId, CheckpointId>, int> resumes_;
  Instant disturbed_until_;
  uint64_t starts_ = 0;
  bool breaks_at_lapse_ = false;
  bool is_log_broken_ = false;
  int entries_made_ = 0;
  int files_made_ = 0;
  uint64_t keys_made_ = 0;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_COMPOSITION_REGION_H_
