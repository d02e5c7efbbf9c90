#ifndef PAPAYADRIFT_CLUSTER_TOPICS_H_
#define PAPAYADRIFT_CLUSTER_TOPICS_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/identifiers.h"
#include "jobs/job.h"

// Where the processes of a cluster keep what lasts.

namespace papayadrift::cluster {

// Jobs as handed in, and their cancellations. Every front writes to it.
inline constexpr char kJobsTopic[] = "jobs";
// How far each job has come, and the leader's signs of life. Written by the
// leader only, which its term protects.
inline constexpr char kProgressTopic[] = "progress";
// Who leads, for agents: small, as they read it whole.
inline constexpr char kLeaderTopic[] = "leader";

inline constexpr char kLeaderKey[] = "leader";
// What the leader has learned of the work, in the topic of progress.
inline constexpr char kLearnedKey[] = "learned";
// Addresses of the agents that report to the leader, in the same topic.
inline constexpr char kAgentsKey[] = "agents";
// Who the fronts are, in the topic of the leader.
inline constexpr std::string_view kFrontendPrefix = "front/";
inline constexpr std::string_view kJobPrefix = "j/";
inline constexpr std::string_view kCancelPrefix = "c/";
// How jobs ended, and their tasks, in the topic of progress.
inline constexpr std::string_view kOutcomePrefix = "o/";
inline constexpr std::string_view kTaskPrefix = "t/";

// Name under which leaders write, whatever process they are.
inline constexpr char kLeaderWriter[] = "leader";

// Paths between the processes of a cluster.
inline constexpr char kReportPath[] = "/internal/v1/reports";
inline constexpr char kOrdersPath[] = "/internal/v1/orders";
inline constexpr char kRelayPath[] = "/internal/v1/relay";
// POST at an agent: a leader tells of its term. GET at a front: whether it
// leads.
inline constexpr char kLeaderPath[] = "/internal/v1/leader";
// POST at a front: it should stand for leader.
inline constexpr char kSuccessionPath[] = "/internal/v1/succession";

inline std::string KeyOf(std::string_view prefix, const JobId& id) {
  return std::string(prefix) + id.text();
}

inline std::string KeyOf(const jobs::TaskKey& task) {
  return std::string(kTaskPrefix) + ToText(task);
}

// Returns the job that a key with this prefix names, or nothing.
inline std::optional<JobId> JobOfKey(std::string_view prefix,
                                     std::string_view key) {
  if (!key.starts_with(prefix)) {
    return std::nullopt;
  }
  return JobId(std::string(key.substr(prefix.size())));
}

// Returns the task that a key names, or nothing.
inline std::optional<jobs::TaskKey> TaskOfKey(std::string_view key) {
  return key.starts_with(kTaskPrefix) ? jobs::TaskKeyFromText(std::string(
                                            key.substr(kTaskPrefix.size())))
                                      : std::nullopt;
}

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_TOPICS_H_
