#ifndef PAPAYADRIFT_CLUSTER_FRONT_LIST_H_
#define PAPAYADRIFT_CLUSTER_FRONT_LIST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/instant.h"

namespace papayadrift::cluster {

// What a front tells the others about itself, in the topic of the leader.
struct FrontRecord {
  std::string node;
  std::string address;     // "ip:port" for calls between processes.
  int64_t started_ms = 0;  // Unix time at which its process began.
  uint32_t millicores = 0;

  friend bool operator==(const FrontRecord&, const FrontRecord&) = default;
};

std::string Encode(const FrontRecord& record);
std::optional<FrontRecord> DecodeFrontRecord(std::string_view bytes);

// The other fronts, as far as they announce themselves again and again, and
// which of all fronts are standbys: those that keep up with what is stored and
// may come to lead. Strong VMs come first.
class FrontList {
 public:
  // `lapse`: fronts that are silent for so much longer than others are gone.
  FrontList(FrontRecord own, size_t standbys, milliseconds lapse);

  void Put(const FrontRecord& record, Instant now);
  void Remove(const std::string& node);

  const FrontRecord& own() const { return own_; }
  bool is_alone() const { return others_.empty(); }
  bool IsOwnStandby() const { return OwnRank() < standbys_; }
  // Number of fronts that come before this one.
  size_t OwnRank() const;
  // The others, in their order.
  std::vector<FrontRecord> Ranked() const;

  // Chooses the standby that should lead after this process, which is about to
  // stop. Answers restarts that roll over all fronts: the one that was started
  // last is the last to be stopped again.
  std::optional<FrontRecord> ChooseSuccessor() const;

 private:
  struct Known {
    FrontRecord record;
    Instant heard_at;
  };

  const FrontRecord own_;
  const size_t standbys_;
  const milliseconds lapse_;
  std::map<std::string, Known> others_;  // By node.
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_FRONT_LIST_H_
