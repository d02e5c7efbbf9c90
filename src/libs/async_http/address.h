#ifndef PAPAYADRIFT_ASYNC_HTTP_ADDRESS_H_
#define PAPAYADRIFT_ASYNC_HTTP_ADDRESS_H_

#include <string>

namespace papayadrift::async_http {

// Returns whether `text` is an "ip:port" that a client can call.
bool IsAddress(const std::string& text);

}  // namespace papayadrift::async_http

#endif  // PAPAYADRIFT_ASYNC_HTTP_ADDRESS_H_
