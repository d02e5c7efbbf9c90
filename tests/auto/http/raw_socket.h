#ifndef PAPAYADRIFT_TESTS_HTTP_RAW_SOCKET_H_
#define PAPAYADRIFT_TESTS_HTTP_RAW_SOCKET_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace papayadrift::http {

// A TCP socket that does just what a test tells it to.
class RawSocket {
 public:
  // Connects to a port of this machine.
  explicit RawSocket(uint16_t port);
  // Takes over an open descriptor.
  struct Descriptor {
    int value;
  };
  explicit RawSocket(Descriptor descriptor);
  RawSocket(RawSocket&& other) noexcept;
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket();

  void Send(std::string_view bytes);
  // Reads until `end` was seen, the peer closes, or ten seconds pass.
  std::string ReadUntil(std::string_view end);
  // Reads until the peer closes.
  std::string ReadAll();
  void Close();
  // Closes with a reset in place of an orderly end.
  void Reset();

 private:
  int descriptor_;
};

// Listens on a free port; runs `script` on each connection, in a thread of
// its own. Its end cuts all connections.
class RawServer {
 public:
  explicit RawServer(std::function<void(RawSocket)> script);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string address() const;

 private:
  void Accept(const std::function<void(RawSocket)>& script);

  int listener_;
  uint16_t port_ = 0;
  std::vector<int> watched_;  // Second descriptors of the connections.
  std::vector<std::thread> connections_;
  std::thread thread_;
};

}  // namespace papayadrift::http

#endif  // PAPAYADRIFT_TESTS_HTTP_RAW_SOCKET_H_
