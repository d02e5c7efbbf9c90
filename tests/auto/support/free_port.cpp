#include "support/free_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cstdlib>

namespace papayadrift {

uint16_t FreePort() {
  const int holder = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(holder, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(name);
  if (bind(holder, reinterpret_cast<sockaddr*>(&name), size) != 0 ||
      getsockname(holder, reinterpret_cast<sockaddr*>(&name), &size) != 0) {
    std::abort();
  }
  return ntohs(name.sin_port);
}

std::string FreeAddress() {
  return "127.0.0.1:" + std::to_string(FreePort());
}

}  // namespace papayadrift
