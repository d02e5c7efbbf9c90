#include "raw_socket.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <utility>

namespace papayadrift::http {

namespace {

constexpr int kReadTimeoutSeconds = 10;

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

uint16_t BoundPort(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int NewSocket() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  if (descriptor < 0) {
    std::abort();
  }
  return descriptor;
}

int Listen() {
  const int descriptor = NewSocket();
  const sockaddr_in address = Loopback(0);
  EXPECT_EQ(bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)),
            0);
  listen(descriptor, SOMAXCONN);
  return descriptor;
}

}  // namespace

RawSocket::RawSocket(uint16_t port) : descriptor_(NewSocket()) {
  const sockaddr_in address = Loopback(port);
  EXPECT_EQ(connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)),
            0);
  const timeval limit{kReadTimeoutSeconds, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

RawSocket::RawSocket(Descriptor descriptor) : descriptor_(descriptor.value) {}

RawSocket::RawSocket(RawSocket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

RawSocket::~RawSocket() {
  Close();
}

void RawSocket::Send(std::string_view bytes) {
  send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

std::string RawSocket::ReadUntil(std::string_view end) {
  std::string result;
  std::array<char, 4096> buf;
  while (end.empty() || result.find(end) == std::string::npos) {
    const ssize_t n = recv(descriptor_, buf.data(), buf.size(), 0);
    if (n <= 0) {
      break;
    }
    result.append(buf.data(), static_cast<size_t>(n));
  }
  return result;
}

std::string RawSocket::ReadAll() {
  return ReadUntil({});
}

void RawSocket::Close() {
  if (descriptor_ >= 0) {
    shutdown(descriptor_, SHUT_RDWR);
    close(std::exchange(descriptor_, -1));
  }
}

void RawSocket::Reset() {
  const linger now{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(std::exchange(descriptor_, -1));
}

RawServer::RawServer(std::function<void(RawSocket)> script)
    : listener_(Listen()), port_(BoundPort(listener_)) {
  thread_ = std::thread([this, script = std::move(script)] { Accept(script); });
}

RawServer::~RawServer() {
  shutdown(listener_, SHUT_RDWR);
  thread_.join();
  close(listener_);
  for (const int descriptor : watched_) {
    shutdown(descriptor, SHUT_RDWR);
    close(descriptor);
  }
  for (std::thread& connection : connections_) {
    connection.join();
  }
}

std::string RawServer::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void RawServer::Accept(const std::function<void(RawSocket)>& script) {
  for (;;) {
    const int descriptor = accept(listener_, nullptr, nullptr);
    if (descriptor < 0) {
      return;
    }
    watched_.push_back(dup(descriptor));
    connections_.emplace_back([script, descriptor] {
      RawSocket socket(RawSocket::Descriptor{descriptor});
      script(std::move(socket));
    });
  }
}

}  // namespace papayadrift::http
