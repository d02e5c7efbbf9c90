#ifndef PAPAYADRIFT_JOBS_LEADER_RECORD_H_
#define PAPAYADRIFT_JOBS_LEADER_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

namespace papayadrift::jobs {

// Who schedules. Terms rise; the store refuses writes of an earlier one.
struct LeaderRecord {
  uint64_t term = 0;  // 0: there was none yet.
  std::string node;
  std::string address;        // "ip:port" for agents.
  uint64_t heartbeats = 0;    // Counts the signs of life within the term.
  bool has_resigned = false;  // Nobody leads until another is elected.
  // Node that should stand first after a resignation; empty: none is named.
  std::string successor;

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

// Where an agent takes calls.
struct AgentAddress {
  std::string node;
  std::string address;  // "ip:port".

  friend bool operator==(const AgentAddress&, const AgentAddress&) = default;
};

// The agents that a leader knows, so that the next one can tell them of itself.
struct AgentList {
  std::vector<AgentAddress> agents;

  friend bool operator==(const AgentList&, const AgentList&) = default;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_LEADER_RECORD_H_
