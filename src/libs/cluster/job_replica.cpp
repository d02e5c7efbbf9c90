#include "cluster/job_replica.h"

#include <algorithm>
#include <utility>

#include "cluster/topics.h"
#include "jobs/codec.h"

namespace papayadrift::cluster {

JobReplica::JobReplica(const ProcessContext& context,
                       jobs::Directory& directory)
    : context_(context),
      directory_(directory),
      jobs_(
          {kJobsTopic},
          context.log,
          context.clock,
          [this](const keyed_log::Record& record) { OnJobRecord(record); },
          [this] {
            content_.jobs.clear();
            content_.cancelled.clear();
          }),
      progress_(
          {kProgressTopic},
          context.log,
          context.clock,
          [this](const keyed_log::Record& record) { OnProgressRecord(record); },
          [this] { content_.progress.clear(); }) {}

void JobReplica::WaitForJobs(milliseconds wait, Done done) {
  jobs_.Wait(wait, std::move(done));
}

Instant JobReplica::caught_up_at() const {
  return std::min(jobs_.caught_up_at(), progress_.caught_up_at());
}

void JobReplica::OnJobRecord(const keyed_log::Record& record) {
  if (const auto id = JobOfKey(kJobPrefix, record.key)) {
    if (record.value.empty()) {
      directory_.Forget(*id);
      content_.jobs.erase(*id);
      return;
    }
    auto job = jobs::Decode<jobs::Job>(record.value);
    if (!job) {
      LogUnreadable(record);
      return;
    }
    directory_.OnJob(*id, *job);
    if (listener_.on_job) {
      listener_.on_job(*id, *job);
    }
    content_.jobs.insert_or_assign(*id, std::move(*job));
    NotifyIfCancelled(*id);
  } else if (const auto cancelled = JobOfKey(kCancelPrefix, record.key)) {
    if (record.value.empty()) {
      content_.cancelled.erase(*cancelled);
      return;
    }
    directory_.OnCancelled(*cancelled);
    content_.cancelled.insert(*cancelled);
    NotifyIfCancelled(*cancelled);
  }
}

void JobReplica::NotifyIfCancelled(const JobId& id) {
  if (listener_.on_cancel && content_.cancelled.contains(id) &&
      content_.jobs.contains(id)) {
    listener_.on_cancel(id);
  }
}

void JobReplica::OnProgressRecord(const keyed_log::Record& record) {
  leader_seen_at_ = context_.clock.Now();
  if (record.key == kLeaderKey) {
    const auto leader = jobs::Decode<jobs::LeaderRecord>(record.value);
    if (!leader) {
      LogUnreadable(record);
    } else if (leader->term >= leader_.term) {
      leader_ = *leader;
    }
  } else if (record.key == kLearnedKey) {
    if (auto learned = jobs::Decode<jobs::LearnedModel>(record.value)) {
      content_.learned = std::move(*learned);
    } else {
      LogUnreadable(record);
    }
  } else if (record.key == kAgentsKey) {
    if (auto agents = jobs::Decode<jobs::AgentList>(record.value)) {
      content_.agents = std::move(*agents);
    } else {
      LogUnreadable(record);
    }
  } else if (const auto id = JobOfKey(kOutcomePrefix, record.key)) {
    OnOutcomeRecord(*id, record);
  } else if (const auto task = TaskOfKey(record.key)) {
    OnTaskRecord(*task, record);
  } else {
    LogUnreadable(record);
  }
}

void JobReplica::OnOutcomeRecord(const JobId& id,
                                 const keyed_log::Record& record) {
  if (record.value.empty()) {
    content_.progress.erase(id);
  } else if (const auto stored =
                 jobs::Decode<jobs::StoredOutcome>(record.value)) {
    directory_.OnOutcome(id, *stored);
    jobs::StoredProgress& progress = content_.progress[id];
    progress.outcome = stored->outcome;
    progress.first_occurrence = stored->first_occurrence;
  } else {
    LogUnreadable(record);
  }
}

void JobReplica::OnTaskRecord(const jobs::TaskKey& task,
                              const keyed_log::Record& record) {
  if (record.value.empty()) {
    const auto it = content_.progress.find(task.job);
    if (it != content_.progress.end()) {
      it->second.tasks.erase(task);
    }
  } else if (auto progress = jobs::Decode<jobs::TaskProgress>(record.value)) {
    if (jobs::HasStarted(*progress)) {
      directory_.OnStarted(task.job);
    }
    content_.progress[task.job].tasks.insert_or_assign(task,
                                                       std::move(*progress));
  } else {
    LogUnreadable(record);
  }
}

void JobReplica::LogUnreadable(const keyed_log::Record& record) const {
  context_.logger.Log(logging::Event::kMessageUnreadable,
                      {{"from", "store"},
                       {"key", record.key},
                       {"bytes", static_cast<int64_t>(record.value.size())}});
}

}  // namespace papayadrift::cluster
