#ifndef PAPAYADRIFT_CLUSTER_TOPICS_H_
#define PAPAYADRIFT_CLUSTER_TOPICS_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/identifiers.h"
#include "jobs/job.h"

// Topics and keys of the state that the processes of a cluster store.

namespace papayadrift::cluster {

// Submitted jobs and their cancellations. Every frontend writes to it.
inline constexpr char kJobsTopic[] = "jobs";
// Progress of each job, and the leader's heartbeats. Only the leader writes to
// it; its term fences off others.
inline constexpr char kProgressTopic[] = "progress";
// The current leader, for agents, and announcements of frontends. Kept small,
// since a lookup of the leader reads the pages up to its record.
inline constexpr char kLeaderTopic[] = "leader";

inline constexpr char kLeaderKey[] = "leader";
// What the leader has learned about the workload, in the progress topic.
inline constexpr char kLearnedKey[] = "learned";
// Addresses of the agents that report to the leader, in the progress topic.
inline constexpr char kAgentsKey[] = "agents";
// Announcements of the frontends, in the leader topic.
inline constexpr std::string_view kFrontendPrefix = "front/";
inline constexpr std::string_view kJobPrefix = "j/";
inline constexpr std::string_view kCancelPrefix = "c/";
// Outcomes of jobs and progress of their tasks, in the progress topic.
inline constexpr std::string_view kOutcomePrefix = "o/";
inline constexpr std::string_view kTaskPrefix = "t/";

// Writer name of all leaders, independent of the process.
inline constexpr char kLeaderWriter[] = "leader";

inline std::string KeyOf(std::string_view prefix, const JobId& id) {
  return std::string(prefix) + id.text();
}

inline std::string KeyOf(const jobs::TaskKey& task) {
  return std::string(kTaskPrefix) + ToText(task);
}

// Returns the job that a key with this prefix names, if any.
inline std::optional<JobId> JobOfKey(std::string_view prefix,
                                     std::string_view key) {
  if (!key.starts_with(prefix)) {
    return std::nullopt;
  }
  return JobId(std::string(key.substr(prefix.size())));
}

// Returns the task that a key names, if any.
inline std::optional<jobs::TaskKey> TaskOfKey(std::string_view key) {
  return key.starts_with(kTaskPrefix) ? jobs::TaskKeyFromText(std::string(
                                            key.substr(kTaskPrefix.size())))
                                      : std::nullopt;
}

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_TOPICS_H_
