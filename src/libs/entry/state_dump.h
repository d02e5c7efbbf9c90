#ifndef PAPAYADRIFT_ENTRY_STATE_DUMP_H_
#define PAPAYADRIFT_ENTRY_STATE_DUMP_H_

#include <nlohmann/json.hpp>

#include "entry/region_controller.h"

namespace papayadrift::entry {

// Return what GET /admin/v1/status and GET /admin/v1/dump show. On the control
// thread only.
nlohmann::json StatusView(const RegionController& controller, Instant now);
nlohmann::json DumpView(const RegionController& controller, Instant now);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_STATE_DUMP_H_
