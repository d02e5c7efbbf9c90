#ifndef PAPAYADRIFT_TESTS_HTTP_CERTIFICATE_H_
#define PAPAYADRIFT_TESTS_HTTP_CERTIFICATE_H_

#include <string>

namespace papayadrift::http {

// Writes a self-signed certificate for 127.0.0.1 and its key as PEM files.
void WriteCertificate(const std::string& certificate_path,
                      const std::string& key_path);

}  // namespace papayadrift::http

#endif  // PAPAYADRIFT_TESTS_HTTP_CERTIFICATE_H_
