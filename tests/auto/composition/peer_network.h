#ifndef PAPAYADRIFT_TESTS_COMPOSITION_PEER_NETWORK_H_
#define PAPAYADRIFT_TESTS_COMPOSITION_PEER_NETWORK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "composition/links.h"
#include "composition/process_runner.h"
#include "entry/peer_transport.h"
#include "routing/simulated_clock.h"

namespace papayadrift::test {

class NetworkTransport;

// Connections between entries on manual time. Messages of one connection keep
// their order; what is sent over a cut is lost, and the connection breaks.
class PeerNetwork {
 public:
  PeerNetwork(routing::SimulatedClock& timeline,
              const Links& links,
              uint64_t seed);

  // Returns a transport that dials, and takes connections once it listens.
  std::unique_ptr<NetworkTransport> MakeTransport(
      const std::string& process,
      const std::string& address,
      std::shared_ptr<ProcessRunner> runner);

 private:
  friend class NetworkTransport;

  // One direction of a connection ends here.
  struct End {
    NetworkTransport* owner = nullptr;
    entry::ChannelId other;
    Instant free_at;  // When the last message sent here has arrived.
  };

  microseconds Delay();
  void Dial(NetworkTransport& from, const std::string& address);
  void Send(entry::ChannelId from, const std::string& bytes);
  // Closes both ends; each side hears of it.
  void Break(entry::ChannelId channel);
  bool IsCut(const NetworkTransport& one, const NetworkTransport& other) const;

  routing::SimulatedClock& timeline_;
  const Links& links_;
  pcg32 random_;
  uint64_t last_channel_ = 0;
  std::map<entry::ChannelId, End> ends_;
  std::map<std::string, NetworkTransport*> listening_;
};

// The connections of one process.
class NetworkTransport : public entry::PeerTransport {
 public:
  NetworkTransport(PeerNetwork& network,
                   std::string process,
                   std::string address,
                   std::shared_ptr<ProcessRunner> runner);

  void Listen(entry::PeerTransportListener& listener);
  // The process has ended: its peers hear that the connections are closed.
  void Shut();

  void SetAddresses(const std::vector<std::string>& addresses) override;
  void Send(entry::ChannelId channel, const std::string& bytes) override;
  void Close(entry::ChannelId channel) override;

 private:
  friend class PeerNetwork;

  PeerNetwork& network_;
  const std::string process_;
  const std::string address_;
  const std::shared_ptr<ProcessRunner> runner_;
  entry::PeerTransportListener* listener_ = nullptr;
  // Of the connections that this process opened or is opening.
  std::map<std::string, entry::ChannelId> dialed_;
  std::map<std::string, Instant> dial_at_;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_COMPOSITION_PEER_NETWORK_H_
