#ifndef PAPAYADRIFT_ENTRY_ADMIN_VIEWS_H_
#define PAPAYADRIFT_ENTRY_ADMIN_VIEWS_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "entry/region_controller.h"

namespace papayadrift::entry {

// How many tasks of a job a view shows.
enum class TaskDetail { kNone, kSome, kAll };

// What administrators see of workers, teams and jobs. On the control thread
// only.
nlohmann::json WorkersView(const RegionController& controller);
nlohmann::json TeamsView(const RegionController& controller);
nlohmann::json JobsView(const RegionController& controller, TaskDetail detail);
// The file in force, whole.
nlohmann::json ConfigurationView(const RegionController& controller);
// What this region holds of quotas, and what it knows of other regions.
nlohmann::json QuotasView(const RegionController& controller);
nlohmann::json RegionsView(const RegionController& controller);
// Returns nothing for a job that is not known.
std::optional<nlohmann::json> JobView(const RegionController& controller,
                                      const JobId& job);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_ADMIN_VIEWS_H_
