#include "streams/stream_node.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "support/free_port.h"

namespace papayadrift::streams {
namespace {

constexpr seconds kPatience(20);

// Remembers what happened, and lets a test wait for it.
class Recorder : public StreamListener {
 public:
  void OnOpened(ConnectionId connection, bool is_dialed) override {
    Change([&] {
      open_[connection] = is_dialed;
      ++opened_;
    });
  }
  void OnMessage(ConnectionId, std::string message) override {
    Change([&] { messages_.push_back(std::move(message)); });
  }
  void OnClosed(ConnectionId connection) override {
    Change([&] { open_.erase(connection); });
  }

  bool WaitForOpen(size_t count) {
    return Wait([&] { return open_.size() == count; });
  }
  bool WaitForOpenings(int count) {
    return Wait([&] { return opened_ >= count; });
  }
  bool WaitForMessages(size_t count) {
    return Wait([&] { return messages_.size() >= count; });
  }
  ConnectionId AnyOpen() {
    const std::lock_guard lock(mutex_);
    return open_.begin()->first;
  }
  std::vector<std::string> messages() {
    const std::lock_guard lock(mutex_);
    return messages_;
  }

 private:
  void Change(const std::function<void()>& change) {
    const std::lock_guard lock(mutex_);
    change();
    changed_.notify_all();
  }
  bool Wait(const std::function<bool()>& condition) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kPatience, condition);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<ConnectionId, bool> open_;
  int opened_ = 0;
  std::vector<std::string> messages_;
};

StreamSettings SettingsAt(const std::string& address) {
  StreamSettings settings;
  settings.address = address;
  settings.ping_period = milliseconds(50);
  settings.silence_timeout = milliseconds(400);
  settings.longest_redial_delay = milliseconds(200);
  return settings;
}

TEST(StreamNodeTest, ManyMessagesArriveInOrderBothWays) {
  constexpr int kMessages = 2000;
  Recorder left_heard;
  Recorder right_heard;
  const std::string address = FreeAddress();
  StreamNode left(SettingsAt(FreeAddress()), left_heard);
  StreamNode right(SettingsAt(address), right_heard);
  ASSERT_TRUE(left.Open());
  ASSERT_TRUE(right.Open());
  left.SetAddresses({address});
  ASSERT_TRUE(left_heard.WaitForOpen(1));
  ASSERT_TRUE(right_heard.WaitForOpen(1));
  std::vector<std::string> sent;
  for (int i = 0; i < kMessages; ++i) {
    sent.push_back(std::to_string(i));
    left.Send(left_heard.AnyOpen(), sent.back());
    right.Send(right_heard.AnyOpen(), sent.back());
  }
  ASSERT_TRUE(left_heard.WaitForMessages(kMessages));
  ASSERT_TRUE(right_heard.WaitForMessages(kMessages));
  EXPECT_EQ(left_heard.messages(), sent);
  EXPECT_EQ(right_heard.messages(), sent);
}

TEST(StreamNodeTest, ConnectionIsDialedAgainAfterThePeerEnds) {
  Recorder left_heard;
  const std::string address = FreeAddress();
  StreamNode left(SettingsAt(FreeAddress()), left_heard);
  ASSERT_TRUE(left.Open());
  left.SetAddresses({address});
  for (int life = 1; life <= 2; ++life) {
    Recorder right_heard;
    StreamNode right(SettingsAt(address), right_heard);
    ASSERT_TRUE(right.Open());
    ASSERT_TRUE(left_heard.WaitForOpenings(life));
    right.Close();
    ASSERT_TRUE(left_heard.WaitForOpen(0));
  }
}

TEST(StreamNodeTest, OversizedMessageClosesOnlyItsConnection) {
  Recorder left_heard;
  Recorder right_heard;
  const std::string address = FreeAddress();
  StreamNode left(SettingsAt(FreeAddress()), left_heard);
  StreamSettings settings = SettingsAt(address);
  settings.maximum_message_bytes = 100;
  StreamNode right(settings, right_heard);
  ASSERT_TRUE(left.Open());
  ASSERT_TRUE(right.Open());
  left.SetAddresses({address});
  ASSERT_TRUE(left_heard.WaitForOpen(1));
  left.Send(left_heard.AnyOpen(), std::string(101, 'x'));
  ASSERT_TRUE(left_heard.WaitForOpenings(2));
  EXPECT_TRUE(right_heard.messages().empty());
}

TEST(StreamNodeTest, AddressTakenIsSaid) {
  Recorder heard;
  const std::string address = FreeAddress();
  StreamNode first(SettingsAt(address), heard);
  StreamNode second(SettingsAt(address), heard);
  EXPECT_TRUE(first.Open());
  EXPECT_FALSE(second.Open());
  StreamNode third(SettingsAt("nonsense"), heard);
  EXPECT_FALSE(third.Open());
}

// Listens, accepts and never says a word.
class SilentPeer {
 public:
  explicit SilentPeer(const std::string& address)
      : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(static_cast<uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1))));
    const int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    EXPECT_EQ(bind(socket_, reinterpret_cast<sockaddr*>(&name), sizeof(name)),
              0);
    listen(socket_, 16);
  }
  ~SilentPeer() { close(socket_); }

 private:
  const int socket_;
};

TEST(StreamNodeTest, SilentPeerIsGivenUpAndOthersGoOn) {
  Recorder left_heard;
  Recorder right_heard;
  const std::string silent_address = FreeAddress();
  const std::string address = FreeAddress();
  const SilentPeer silent(silent_address);
  StreamNode left(SettingsAt(FreeAddress()), left_heard);
  StreamNode right(SettingsAt(address), right_heard);
  ASSERT_TRUE(left.Open());
  ASSERT_TRUE(right.Open());
  left.SetAddresses({silent_address, address});
  ASSERT_TRUE(left_heard.WaitForOpen(1));
  for (int i = 0; i < 10; ++i) {
    left.Send(left_heard.AnyOpen(), "message");
  }
  EXPECT_TRUE(right_heard.WaitForMessages(10));
}

// A client on a TCP connection that never opens a stream.
class RawClient {
 public:
  explicit RawClient(const std::string& address)
      : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(static_cast<uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1))));
    EXPECT_EQ(
        connect(socket_, reinterpret_cast<sockaddr*>(&name), sizeof(name)), 0);
  }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;
  ~RawClient() { close(socket_); }

  // Returns whether the other end still takes bytes.
  bool Send(std::string_view bytes) const {
    return send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

 private:
  const int socket_;
};

// Guards against a crowd before the handshake that takes all places, so that no
// peer gets through.
TEST(StreamNodeTest, ConnectionsWithoutAStreamGiveWayToPeers) {
  constexpr size_t kPlaces = 4;
  Recorder left_heard;
  Recorder right_heard;
  const std::string address = FreeAddress();
  StreamSettings settings = SettingsAt(address);
  settings.maximum_connections = kPlaces;
  settings.silence_timeout = seconds(600);
  StreamNode left(SettingsAt(FreeAddress()), left_heard);
  StreamNode right(settings, right_heard);
  ASSERT_TRUE(left.Open());
  ASSERT_TRUE(right.Open());
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (size_t i = 0; i < 2 * kPlaces; ++i) {
    crowd.push_back(std::make_unique<RawClient>(address));
  }
  left.SetAddresses({address});
  EXPECT_TRUE(right_heard.WaitForOpen(1));
  EXPECT_TRUE(left_heard.WaitForOpen(1));
}

// Guards against clients that keep a place with pings and never open a stream.
TEST(StreamNodeTest, PingsDoNotKeepAConnectionWithoutAStream) {
  using std::string_literals::operator""s;
  Recorder heard;
  const std::string address = FreeAddress();
  StreamNode node(SettingsAt(address), heard);
  ASSERT_TRUE(node.Open());
  const RawClient client(address);
  ASSERT_TRUE(
      client.Send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
                  "\0\0\0\4\0\0\0\0\0"s));
  const std::string ping = "\0\0\10\6\0\0\0\0\0"s + std::string(8, 'p');
  const auto end = std::chrono::steady_clock::now() + kPatience;
  bool is_open = true;
  while (is_open && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(10));
    is_open = client.Send(ping);
  }
  EXPECT_FALSE(is_open);
}

}  // namespace
}  // namespace papayadrift::streams
