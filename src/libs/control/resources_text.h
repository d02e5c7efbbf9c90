#ifndef PAPAYADRIFT_CONTROL_RESOURCES_TEXT_H_
#define PAPAYADRIFT_CONTROL_RESOURCES_TEXT_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace papayadrift::control {

// Return for example "2.5" for 2500 millicores and "1.5 GiB" for 1536 MiB.
std::string CoresText(int64_t millicores);
std::string MemoryText(int64_t mebibytes);

// Returns amounts as an entry writes them, for example "2.5 cores, 4 GiB" and,
// if there are any, ", 1 accelerators".
std::string ResourcesText(const nlohmann::json& amounts);

}  // namespace papayadrift::control

#endif  // PAPAYADRIFT_CONTROL_RESOURCES_TEXT_H_
