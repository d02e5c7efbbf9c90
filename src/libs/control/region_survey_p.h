#ifndef PAPAYADRIFT_CONTROL_REGION_SURVEY_P_H_
#define PAPAYADRIFT_CONTROL_REGION_SURVEY_P_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "control/entry_client.h"

namespace papayadrift::control {

// What one process says of itself; nothing when it does not answer.
struct ProcessStatus {
  std::string region;
  std::string name;
  std::string address;
  uint64_t incarnation = 0;  // That runs, or the member's that does not answer.
  std::optional<nlohmann::json> answer;
};

// All processes that could be asked, and the regions of the file in force of
// which none answered.
struct RegionSurvey {
  std::vector<ProcessStatus> processes;
  std::vector<std::string> silent_regions;
  // The last refusal, when no process answered properly.
  std::optional<http::Response> refusal;
};

// Asks the entries at the client's addresses, those that they know of in their
// regions, and the address of each region that the file in force states.
RegionSurvey Survey(EntryClient& client);

}  // namespace papayadrift::control

#endif  // PAPAYADRIFT_CONTROL_REGION_SURVEY_P_H_
