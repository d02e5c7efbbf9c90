#ifndef PAPAYADRIFT_CLUSTER_FRONTEND_LIST_H_
#define PAPAYADRIFT_CLUSTER_FRONTEND_LIST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/instant.h"

namespace papayadrift::cluster {

// What a frontend announces about itself in the leader topic.
struct FrontendRecord {
  std::string node;
  std::string address;     // "ip:port" for calls between processes.
  int64_t started_ms = 0;  // Unix time at which its process started.
  uint32_t millicores = 0;

  friend bool operator==(const FrontendRecord&,
                         const FrontendRecord&) = default;
};

std::string Encode(const FrontendRecord& record);
std::optional<FrontendRecord> DecodeFrontendRecord(std::string_view bytes);

// The other frontends, as known from their periodic announcements, and which of
// all frontends are standbys: those that replicate the stored jobs and may
// become the leader. Frontends on VMs with more cores rank first.
class FrontendList {
 public:
  // A frontend is removed when its last announcement is `timeout` older than
  // the newest one of any frontend.
  FrontendList(FrontendRecord own, size_t standbys, milliseconds timeout);

  void Put(const FrontendRecord& record, Instant now);
  void Remove(const std::string& node);

  // Returns at most `max_count` frontends that have timed out and whose
  // announcements haven't been removed from the topic since.
  std::vector<std::string> TimedOut(size_t max_count) const;

  const FrontendRecord& own() const { return own_; }
  bool has_no_peers() const { return peers_.empty(); }
  bool IsOwnStandby() const { return OwnRank() < standbys_; }
  // Number of frontends that rank before this one.
  size_t OwnRank() const;
  // The other frontends by rank.
  std::vector<FrontendRecord> Ranked() const;

  // The other frontends that are standbys, by rank.
  std::vector<FrontendRecord> Standbys() const;
  // Chooses the standby that should lead after this process, which is about to
  // stop. During a rolling restart of all frontends, the one that started last
  // is the last to be stopped again.
  std::optional<FrontendRecord> ChooseSuccessor() const;

  // The frontends that should lead rather than this one, since its VM is too
  // small beside theirs.
  std::vector<FrontendRecord> LargerLeaders() const;

 private:
  struct Peer {
    FrontendRecord record;
    Instant last_announced_at;
  };

  const FrontendRecord own_;
  const size_t standbys_;
  const milliseconds timeout_;
  std::map<std::string, Peer> peers_;  // By node.
  std::set<std::string> timed_out_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_FRONTEND_LIST_H_
