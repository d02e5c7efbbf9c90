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

// Returns everything but the body, or nothing if the path or the query is not
// properly encoded.
std::optional<Request> FromCppRest(const web::http::http_request& message);

// Returns a message whose body stream cannot be rewound.
web::http::http_request ToCppRest(Request request);

web::http::http_response ToCppRest(Response response);

// Returns the announced length of the body, if there is one.
std::optional<uint64_t> AnnouncedLength(web::http::http_headers& headers);

}  // namespace papayadrift::http

#endif  // PAPAYADRIFT_HTTP_CONVERSION_P_H_
