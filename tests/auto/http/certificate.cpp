#include "certificate.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace papayadrift::http {

namespace {

constexpr long kValiditySeconds = 24L * 3600;
constexpr long kVersion3 = 2;

void AddExtension(X509* certificate, int id, const char* value) {
  X509V3_CTX context;
  X509V3_set_ctx_nodb(&context);
  X509V3_set_ctx(&context, certificate, certificate, nullptr, nullptr, 0);
  X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, id, value);
  X509_add_ext(certificate, extension, -1);
  X509_EXTENSION_free(extension);
}

}  // namespace

void WriteCertificate(const std::string& certificate_path,
                      const std::string& key_path) {
  EVP_PKEY* key = EVP_EC_gen("P-256");
  X509* certificate = X509_new();
  X509_set_version(certificate, kVersion3);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate), -kValiditySeconds);
  X509_gmtime_adj(X509_getm_notAfter(certificate), kValiditySeconds);
  X509_set_pubkey(certificate, key);
  X509_NAME* name = X509_get_subject_name(certificate);
  X509_NAME_add_entry_by_txt(
      name, "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>("127.0.0.1"), -1, -1, 0);
  X509_set_issuer_name(certificate, name);
  AddExtension(certificate, NID_basic_constraints, "critical,CA:TRUE");
  AddExtension(certificate, NID_subject_alt_name, "IP:127.0.0.1");
  X509_sign(certificate, key, EVP_sha256());
  BIO* file = BIO_new_file(certificate_path.c_str(), "w");
  PEM_write_bio_X509(file, certificate);
  BIO_free(file);
  file = BIO_new_file(key_path.c_str(), "w");
  PEM_write_bio_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
  BIO_free(file);
  X509_free(certificate);
  EVP_PKEY_free(key);
}

}  // namespace papayadrift::http
