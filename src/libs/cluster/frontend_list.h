#ifndef PAPAYADRIFT_CLUSTER_FRONTEND_LIST_H_
#define PAPAYADRIFT_CLUSTER_FRONTEND_LIST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/instant.h"

namespace papayadrift::cluster {

// What a front tells the others about itself, in the topic of the leader.
struct FrontendRecord {
  std::string node;
  std::string address;     // "ip:port" for calls between processes.
  int64_t started_ms = 0;  // Unix time at which its process began.
  uint32_t millicores = 0;

  friend bool operator==(const FrontendRecord&,
                         const FrontendRecord&) = default;
};

std::string Encode(const FrontendRecord& record);
std::optional<FrontendRecord> DecodeFrontendRecord(std::string_view bytes);

// The other fronts, as far as they announce themselves again and again, and
// which of all fronts are standbys: those that keep up with what is stored and
// may come to lead. Strong VMs come first.
class FrontendList {
 public:
  // `lapse`: fronts that are silent for so much longer than others are gone.
  FrontendList(FrontendRecord own, size_t standbys, milliseconds timeout);

  void Put(const FrontendRecord& record, Instant now);
  void Remove(const std::string& node);

  const FrontendRecord& own() const { return own_; }
  bool has_no_peers() const { return peers_.empty(); }
  bool IsOwnStandby() const { return OwnRank() < standbys_; }
  // Number of fronts that come before this one.
  size_t OwnRank() const;
  // The others, in their order.
  std::vector<FrontendRecord> Ranked() const;

  // Chooses the standby that should lead after this process, which is about to
  // stop. Answers restarts that roll over all fronts: the one that was started
  // last is the last to be stopped again.
  std::optional<FrontendRecord> ChooseSuccessor() const;

 private:
  struct Peer {
    FrontendRecord record;
    Instant last_announced_at;
  };

  const FrontendRecord own_;
  const size_t standbys_;
  const milliseconds timeout_;
  std::map<std::string, Peer> peers_;  // By node.
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_FRONTEND_LIST_H_
