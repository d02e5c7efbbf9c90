#ifndef PAPAYADRIFT_JOBS_LEADER_RECORD_H_
#define PAPAYADRIFT_JOBS_LEADER_RECORD_H_

#include <cstdint>
#include <string>

namespace papayadrift::jobs {

// Who schedules. Terms rise; the store refuses writes of an earlier one.
struct LeaderRecord {
  uint64_t term = 0;  // 0: there was none yet.
  std::string node;
  std::string address;        // "ip:port" for agents.
  uint64_t beat = 0;          // Counts the signs of life within the term.
  bool has_resigned = false;  // Nobody leads until another is elected.

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_LEADER_RECORD_H_
