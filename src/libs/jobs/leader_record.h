#ifndef PAPAYADRIFT_JOBS_LEADER_RECORD_H_
#define PAPAYADRIFT_JOBS_LEADER_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

namespace papayadrift::jobs {

// The current leader. Terms increase; the store rejects writes of an earlier
// term.
struct LeaderRecord {
  uint64_t term = 0;  // 0: no leader yet.
  std::string node;
  std::string address;        // "ip:port" for agents.
  uint64_t heartbeats = 0;    // Number of heartbeats within the term.
  bool has_resigned = false;  // There is no leader until another is elected.
  // Node that should be the first candidate after a resignation; empty: none.
  std::string successor;

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

// The address at which an agent accepts calls.
struct AgentAddress {
  std::string node;
  std::string address;  // "ip:port".

  friend bool operator==(const AgentAddress&, const AgentAddress&) = default;
};

// The agents that a leader knows, so that the next leader can announce itself
// to them.
struct AgentList {
  std::vector<AgentAddress> agents;

  friend bool operator==(const AgentList&, const AgentList&) = default;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_LEADER_RECORD_H_
