#ifndef PAPAYADRIFT_ENTRY_ROUTE_TABLE_BUILDER_H_
#define PAPAYADRIFT_ENTRY_ROUTE_TABLE_BUILDER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "configuration/configuration.h"
#include "membership/slot_shares.h"
#include "replay/worker_table.h"
#include "routing/routing_table.h"

namespace papayadrift::entry {

// Returns what may be used of a runner with `total`.
using ShareOf = std::function<membership::RunnerShare(
    const std::string& runner,
    const membership::RunnerShare& total)>;

// Returns the routes to all runners that replay knows of configured services.
routing::RoutingTable BuildRoutingTable(
    const configuration::Configuration& configuration,
    const replay::WorkerTable& workers,
    const ShareOf& share_of);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_ROUTE_TABLE_BUILDER_H_
