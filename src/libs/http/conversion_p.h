#ifndef PAPAYADRIFT_HTTP_CONVERSION_P_H_
#define PAPAYADRIFT_HTTP_CONVERSION_P_H_

#include <cpprest/http_msg.h>

#include <cstdint>
#include <optional>
#include <string>

#include "http/message.h"

namespace papayadrift::http {

// Returns the fields by lower-case name.
Headers FromCppRest(web::http::http_headers& headers);

void CopyTo(const Headers& headers, web::http::http_headers& target);

// Reads path and query from the target of a request line. Returns false if they
// are not properly encoded.
bool ReadTarget(const std::string& target, Request& request);

// Returns a message whose body stream cannot be rewound.
web::http::http_request ToCppRest(Request request);

// Returns the announced length of the body, if there is one.
std::optional<uint64_t> AnnouncedLength(web::http::http_headers& headers);

}  // namespace papayadrift::http

#endif  // PAPAYADRIFT_HTTP_CONVERSION_P_H_
