#ifndef PAPAYADRIFT_ENTRY_REQUEST_PATH_PORT_H_
#define PAPAYADRIFT_ENTRY_REQUEST_PATH_PORT_H_

#include <functional>

#include "base/instant.h"
#include "entry/loan_driver.h"
#include "routing/routing_table.h"

namespace papayadrift::entry {

// How the control thread acts on the path of requests.
struct RequestPathPort {
  // Puts a routing table in force.
  std::function<void(routing::RoutingTable)> publish;
  // What is used and may be used of runners, between tables.
  SlotPort slots;
  // Ends the right to take any slot at an instant, or moves its end.
  std::function<void(Instant until)> set_usable_until;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_REQUEST_PATH_PORT_H_
