#ifndef PAPAYADRIFT_TESTS_AUTO_SUPPORT_FREE_PORT_H_
#define PAPAYADRIFT_TESTS_AUTO_SUPPORT_FREE_PORT_H_

#include <cstdint>
#include <string>

namespace papayadrift {

// Returns a port of loopback on which nobody listens. It stays bound until the
// process ends, so that the kernel gives it to nobody else; a listener that
// sets SO_REUSEADDR may take it all the same.
uint16_t FreePort();

// The same as "ip:port".
std::string FreeAddress();

}  // namespace papayadrift

#endif  // PAPAYADRIFT_TESTS_AUTO_SUPPORT_FREE_PORT_H_
