#include "decision_log_replay.h"

#include <utility>

#include "records/codec.h"
#include "replay/knowledge_news.h"

namespace papayadrift::placement {

namespace {

// Same limit as an entry's proposal queue.
constexpr size_t kMaximumAppendBytes = size_t{256} * 1'024;

}  // namespace

DecisionLogReplay::DecisionLogReplay() {
  Append({records::EntryJoined{EntryId("entry"), Incarnation(1), ZoneId("zone"),
                               "", ""}});
}

void DecisionLogReplay::Note(const Event& event) {
  if (const auto* submitted = std::get_if<JobSubmitted>(&event)) {
    jobs_.emplace(submitted->job, *submitted);
  } else if (const auto* cancelled = std::get_if<JobCancelled>(&event)) {
    jobs_.erase(cancelled->job);
  } else if (const auto* refused = std::get_if<JobRefused>(&event)) {
    jobs_.erase(refused->job);
  } else if (const auto* claimed = std::get_if<ClaimAccepted>(&event)) {
    live_[claimed->task] = *claimed;
    attempts_[claimed->task] = claimed->attempt;
  } else if (const auto* changed = std::get_if<GrantConfirmed>(&event)) {
    if (const auto it = live_.find(changed->task); it != live_.end()) {
      it->second.grant = changed->grant;
    }
  } else if (const auto* ended = std::get_if<TaskEnded>(&event)) {
    Note(*ended);
  } else if (const auto* freed = std::get_if<WorkerFreed>(&event)) {
    std::erase_if(live_, [&](const auto& it) {
      return it.second.worker == freed->worker;
    });
  }
}

void DecisionLogReplay::NoteKnowledge(const Scheduler& scheduler,
                                      bool is_refresh) {
  const auto news =
      replay::NewsIn(scheduler.Knowledge(), state_.knowledge(),
                     [is_refresh](const std::string&) { return is_refresh; });
  std::vector<records::Record> group;
  size_t group_bytes = 0;
  for (const KnowledgeNoted& record : replay::Cut(news)) {
    const size_t size = records::Encode({{{}, Offset(), record}}).size();
    if (group_bytes + size > kMaximumAppendBytes) {
      Append(std::exchange(group, {}));
      group_bytes = 0;
      ++appends_;
    }
    group.emplace_back(record);
    group_bytes += size;
    bytes_ += size;
    ++records_;
  }
  if (!group.empty()) {
    Append(std::move(group));
    ++appends_;
  }
}

std::vector<Event> DecisionLogReplay::Jobs() const {
  std::vector<Event> events;
  std::map<JobId, JobSubmitted> jobs = jobs_;
  for (const TaskId& task : ended_) {
    if (const auto it = jobs.find(task.job); it != jobs.end()) {
      it->second.ended.push_back(task.index);
    }
  }
  for (auto& [id, job] : jobs) {
    if (job.ended.size() < job.tasks) {
      events.emplace_back(std::move(job));
    }
  }
  for (const auto& [task, claimed] : live_) {
    events.emplace_back(claimed);
  }
  return events;
}

std::optional<Claim> DecisionLogReplay::Corrected(const Claim& claim) const {
  if (ended_.contains(claim.task)) {
    return std::nullopt;
  }
  Claim corrected = claim;
  if (const auto it = attempts_.find(claim.task); it != attempts_.end()) {
    corrected.attempt = it->second.Next();
  }
  if (const auto it = checkpoints_.find(claim.task); it != checkpoints_.end()) {
    corrected.resumes = it->second;
  }
  return corrected;
}

void DecisionLogReplay::Note(const TaskEnded& ended) {
  live_.erase(ended.task);
  if (ended.ending == records::TaskEnding::kFinished) {
    ended_.insert(ended.task);
  } else if (ended.ending == records::TaskEnding::kCheckpointed) {
    checkpoints_[ended.task] = ended.checkpoint;
  } else {
    checkpoints_.erase(ended.task);
  }
}

void DecisionLogReplay::Append(std::vector<records::Record> records) {
  constexpr uint64_t kOffsetsValid = 100;
  records::Batch batch;
  for (records::Record& record : records) {
    batch.push_back({{EntryId("entry"), Incarnation(1), ++sequence_},
                     Offset(state_.next_offset().value() + kOffsetsValid),
                     std::move(record)});
  }
  replay::ApplyBytes(state_, state_.next_offset(), records::Encode(batch));
}

}  // namespace papayadrift::placement
