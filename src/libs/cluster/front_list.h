#ifndef PAPAYADRIFT_CLUSTER_FRONT_LIST_H_
#define PAPAYADRIFT_CLUSTER_FRONT_LIST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

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

// The other fronts, as far as they have announced themselves. One that was
// killed stays listed.
class FrontList {
 public:
  explicit FrontList(std::string own_node);

  void Put(const FrontRecord& record);
  void Remove(const std::string& node);

  const std::map<std::string, FrontRecord>& fronts() const { return fronts_; }

  // Chooses who should lead after this process, which is about to stop. Answers
  // restarts that roll over all fronts: the one that was started last is the
  // last to be stopped again. Weak VMs are left out where there are stronger
  // ones.
  std::optional<FrontRecord> ChooseSuccessor() const;

 private:
  const std::string own_node_;
  std::map<std::string, FrontRecord> fronts_;  // By node.
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_FRONT_LIST_H_
