#include "cluster/frontend_list.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "records/packing.h"

namespace papayadrift::cluster {
namespace {

// Whether a VM has too few cores to lead, if the largest one has
// `max_millicores`.
bool IsTooSmall(const FrontendRecord& record, uint32_t max_millicores) {
  constexpr uint32_t kMinCapacityDivisor = 2;
  return record.millicores * kMinCapacityDivisor < max_millicores;
}

// The hash spreads ranks over availability zones, since names of VMs in one
// zone are alike.
auto RankOf(const FrontendRecord& record) {
  return std::tuple(-static_cast<int64_t>(record.millicores),
                    StableHash(record.node), record.node);
}

}  // namespace

// Found by argument-dependent lookup, so not in an unnamed namespace.
static auto Fields(FrontendRecord& value) {
  return std::tie(value.node, value.address, value.started_ms,
                  value.millicores);
}

std::string Encode(const FrontendRecord& record) {
  return records::PackToBytes(record);
}

std::optional<FrontendRecord> DecodeFrontendRecord(std::string_view bytes) {
  return records::UnpackFromBytes<FrontendRecord>(bytes);
}

FrontendList::FrontendList(FrontendRecord own,
                           size_t standbys,
                           milliseconds timeout)
    : own_(std::move(own)), standbys_(standbys), timeout_(timeout) {}

void FrontendList::Put(const FrontendRecord& record, Instant now) {
  if (record.node == own_.node || record.address.empty()) {
    return;
  }
  peers_[record.node] = {record, now};
  timed_out_.erase(record.node);
  // Ages are relative to the newest announcement, not to the current time:
  // during an outage of the store no announcement arrives, and no frontend must
  // time out.
  std::erase_if(peers_, [this, now](const auto& it) {
    const bool has_timed_out = now - it.second.last_announced_at > timeout_;
    if (has_timed_out) {
      timed_out_.insert(it.first);
    }
    return has_timed_out;
  });
}

void FrontendList::Remove(const std::string& node) {
  peers_.erase(node);
  timed_out_.erase(node);
}

std::vector<std::string> FrontendList::TimedOut(size_t max_count) const {
  std::vector<std::string> nodes;
  std::ranges::copy(timed_out_ | std::views::take(max_count),
                    std::back_inserter(nodes));
  return nodes;
}

size_t FrontendList::OwnRank() const {
  return static_cast<size_t>(std::ranges::count_if(
      peers_ | std::views::values,
      [this](const auto& it) { return RankOf(it.record) < RankOf(own_); }));
}

std::vector<FrontendRecord> FrontendList::Ranked() const {
  std::vector<FrontendRecord> ranked;
  std::ranges::transform(peers_ | std::views::values,
                         std::back_inserter(ranked), &Peer::record);
  std::ranges::sort(ranked, {}, RankOf);
  return ranked;
}

std::vector<FrontendRecord> FrontendList::Standbys() const {
  std::vector<FrontendRecord> standbys = Ranked();
  standbys.resize(
      std::min(standbys.size(), IsOwnStandby() ? standbys_ - 1 : standbys_));
  return standbys;
}

std::optional<FrontendRecord> FrontendList::ChooseSuccessor() const {
  std::vector<FrontendRecord> standbys = Standbys();
  if (standbys.empty()) {
    return std::nullopt;
  }
  const uint32_t max_millicores = standbys.front().millicores;
  std::erase_if(standbys, [max_millicores](const FrontendRecord& it) {
    return IsTooSmall(it, max_millicores);
  });
  return std::ranges::max(standbys, {}, &FrontendRecord::started_ms);
}

std::vector<FrontendRecord> FrontendList::LargerLeaders() const {
  std::vector<FrontendRecord> larger = Ranked();
  if (larger.empty() || !IsTooSmall(own_, larger.front().millicores)) {
    return {};
  }
  const uint32_t max_millicores = larger.front().millicores;
  std::erase_if(larger, [max_millicores](const FrontendRecord& it) {
    return IsTooSmall(it, max_millicores);
  });
  return larger;
}

}  // namespace papayadrift::cluster
