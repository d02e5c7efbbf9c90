#include <gtest/gtest.h>

#include <string>

#include "base/clock.h"
#include "certificate.h"
#include "http/client.h"
#include "http/server.h"
#include "support/free_port.h"

namespace papayadrift::http {
namespace {

TEST(TlsTest, OnlyATrustedServerIsSpokenTo) {
  const std::string folder = testing::TempDir();
  const std::string tag = std::to_string(FreePort());
  const std::string certificate = folder + "certificate-" + tag + ".pem";
  const std::string key = folder + "key-" + tag + ".pem";
  const std::string other = folder + "other-" + tag + ".pem";
  WriteCertificate(other, key);
  WriteCertificate(certificate, key);

  int handled = 0;
  ServerSettings settings;
  settings.address = FreeAddress();
  settings.certificate_chain_path = certificate;
  settings.private_key_path = key;
  Server server(settings, [&](const Request&, const Respond& respond) {
    ++handled;
    respond({200, {}, "secret"});
  });
  ASSERT_TRUE(server.Open());

  const SystemClock clock;
  const auto get = [&](const std::string& authority) {
    ClientSettings client_settings;
    client_settings.authority_path = authority;
    Client client(client_settings, clock);
    return client.SendAndWait(settings.address, {"GET", "/", {}, {}, {}, {}},
                              clock.Now() + seconds(30));
  };
  const ClientResult trusted = get(certificate);
  ASSERT_TRUE(std::holds_alternative<Response>(trusted));
  EXPECT_EQ(std::get<Response>(trusted).body, "secret");
  EXPECT_EQ(get(other), ClientResult(ClientFailure::kNotConnected));
  server.Close();
  EXPECT_EQ(handled, 1);

  settings.private_key_path = other;
  Server broken(settings, [](const Request&, const Respond&) {});
  EXPECT_FALSE(broken.Open());
  EXPECT_EQ(broken.last_reason(), ServerFailure::kBadCertificate);
}

}  // namespace
}  // namespace papayadrift::http
