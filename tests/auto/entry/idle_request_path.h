#ifndef PAPAYADRIFT_TESTS_ENTRY_IDLE_REQUEST_PATH_H_
#define PAPAYADRIFT_TESTS_ENTRY_IDLE_REQUEST_PATH_H_

#include <functional>
#include <string>
#include <utility>

#include "entry/region_controller.h"

namespace papayadrift::entry {

// Returns a request path without any request; tables go to `publish`.
inline RequestPathPort IdleRequestPath(
    std::function<void(routing::RoutingTable)> publish) {
  return {
      std::move(publish),
      {[](const std::string&) { return 0; },
       [](const ServiceId&, const std::string&, const routing::SlotLimit&) {},
       [](const std::string&, const routing::SlotLimit&) { return true; }},
      [](Instant) {}};
}

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_TESTS_ENTRY_IDLE_REQUEST_PATH_H_
