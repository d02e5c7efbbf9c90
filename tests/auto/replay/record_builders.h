#ifndef PAPAYADRIFT_TESTS_AUTO_REPLAY_RECORD_BUILDERS_H_
#define PAPAYADRIFT_TESTS_AUTO_REPLAY_RECORD_BUILDERS_H_

// Records with the few members that the tests of replay and proposals vary.

#include <string>

#include "records/record.h"

namespace papayadrift::test {

template <typename Record>
Record OfEntry(const std::string& entry, uint64_t life) {
  Record r;
  r.entry = EntryId(entry);
  r.incarnation = Incarnation(life);
  return r;
}

template <typename Record>
Record OfWorker(const std::string& worker, uint64_t life) {
  Record r;
  r.worker = WorkerId(worker);
  r.incarnation = Incarnation(life);
  return r;
}

inline records::WorkerAnnounced Announced(const std::string& worker,
                                          uint64_t life,
                                          int64_t millicores,
                                          int64_t reserved,
                                          bool previous_ended = false) {
  auto r = OfWorker<records::WorkerAnnounced>(worker, life);
  r.capacity.millicores = millicores;
  r.runners.resize(1);
  r.runners[0].reserved.millicores = reserved;
  r.previous_ended = previous_ended;
  return r;
}

inline records::JobSubmitted Submitted(const std::string& job,
                                       uint32_t tasks,
                                       const std::string& team = "team") {
  records::JobSubmitted r;
  r.job = JobId(job);
  r.team = TeamId(team);
  r.tasks = tasks;
  r.is_checkpointable = true;
  return r;
}

inline records::TaskClaimed Claimed(const TaskId& task,
                                    uint64_t attempt,
                                    const std::string& worker,
                                    uint64_t life,
                                    int64_t millicores,
                                    const std::string& resumes = "") {
  auto r = OfWorker<records::TaskClaimed>(worker, life);
  r.task = task;
  r.attempt = Attempt(attempt);
  r.grant.millicores = millicores;
  r.resumes = CheckpointId(resumes);
  return r;
}

inline records::TaskEnded Ended(const TaskId& task,
                                uint64_t attempt,
                                records::TaskEnding ending,
                                const std::string& checkpoint = "") {
  return {.task = task,
          .attempt = Attempt(attempt),
          .ending = ending,
          .checkpoint = CheckpointId(checkpoint)};
}

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_AUTO_REPLAY_RECORD_BUILDERS_H_
