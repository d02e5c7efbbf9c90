#ifndef PAPAYADRIFT_CLUSTER_JOB_REPLICA_H_
#define PAPAYADRIFT_CLUSTER_JOB_REPLICA_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "base/instant.h"
#include "cluster/process_context.h"
#include "jobs/directory.h"
#include "jobs/job.h"
#include "jobs/leader_record.h"
#include "jobs/learned_model.h"
#include "keyed_log/topic_follower.h"

namespace papayadrift::cluster {

// A replica of the stored jobs, kept up to date by processes that may become
// the leader, so that a new leader need not read everything first. Needed when
// leaders follow each other quickly while the store is slow.
class JobReplica {
 public:
  struct Content {
    std::map<JobId, jobs::Job> jobs;
    std::set<JobId> cancelled;
    std::map<JobId, jobs::StoredProgress> progress;
    jobs::LearnedModel learned;
    jobs::AgentList agents;
  };
  // Notified of records of jobs that are read from then on, and of each
  // cancellation after its job, in whatever order they are read.
  struct Listener {
    std::function<void(const JobId&, const jobs::Job&)> on_job;
    std::function<void(const JobId&)> on_cancel;
  };
  using Done = keyed_log::TopicFollower::Done;

  // `directory` is notified of everything that is read.
  JobReplica(const ProcessContext& context, jobs::Directory& directory);
  JobReplica(const JobReplica&) = delete;
  JobReplica& operator=(const JobReplica&) = delete;

  void CatchUpOnProgress(Done done) { progress_.CatchUp(std::move(done)); }
  void CatchUpOnJobs(Done done) { jobs_.CatchUp(std::move(done)); }
  // Continues reading; the store may delay the answer by up to `wait` until
  // there are new records.
  void WaitForJobs(milliseconds wait, Done done);
  void SetListener(Listener listener) { listener_ = std::move(listener); }

  // A whole state: all that was stored by some time, also during a reload.
  const Content& content() const { return content_; }
  // Offset after the last progress record in `content()`.
  uint64_t progress_end() const { return progress_.next(); }
  // Everything stored by this time is in `content()`.
  Instant caught_up_at() const;
  // The same for what callers have stored: jobs and their cancellations.
  Instant jobs_caught_up_at() const { return jobs_.caught_up_at(); }
  const jobs::LeaderRecord& leader() const { return leader_; }
  // When a record written by a leader was last read.
  Instant leader_seen_at() const { return leader_seen_at_; }

 private:
  void OnJobRecord(const keyed_log::Record& record);
  // The newest of each key is read in the order of the keys, so cancellations
  // may come before their jobs.
  void NotifyIfCancelled(const JobId& id);
  void OnProgressRecord(const keyed_log::Record& record);
  void OnOutcomeRecord(const JobId& id, const keyed_log::Record& record);
  void OnTaskRecord(const jobs::TaskKey& task, const keyed_log::Record& record);
  // A stored record that can't be decoded is skipped.
  void LogUnreadable(const keyed_log::Record& record) const;

  const ProcessContext context_;
  jobs::Directory& directory_;
  Content content_;
  Listener listener_;
  jobs::LeaderRecord leader_;
  Instant leader_seen_at_;
  keyed_log::TopicFollower jobs_;
  keyed_log::TopicFollower progress_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_JOB_REPLICA_H_
