#include "cluster/front_list.h"

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

// A VM with less than this part of the strongest one's processors is weak.
constexpr uint32_t kWeakDivisor = 2;

// Ranks are spread over availability zones, whose VMs have names alike.
auto RankOf(const FrontRecord& record) {
  return std::tuple(-static_cast<int64_t>(record.millicores),
                    StableHash(record.node), record.node);
}

}  // namespace

// Found by argument-dependent lookup, so not in an unnamed namespace.
static auto Fields(FrontRecord& value) {
  return std::tie(value.node, value.address, value.started_ms,
                  value.millicores);
}

std::string Encode(const FrontRecord& record) {
  return records::PackToBytes(record);
}

std::optional<FrontRecord> DecodeFrontRecord(std::string_view bytes) {
  return records::UnpackFromBytes<FrontRecord>(bytes);
}

FrontList::FrontList(FrontRecord own, size_t standbys, milliseconds lapse)
    : own_(std::move(own)), standbys_(standbys), lapse_(lapse) {}

void FrontList::Put(const FrontRecord& record, Instant now) {
  if (record.node == own_.node || record.address.empty()) {
    return;
  }
  others_[record.node] = {record, now};
  // Compared with this one: while the store is away nobody is heard.
  std::erase_if(others_, [this, now](const auto& it) {
    return now - it.second.heard_at > lapse_;
  });
}

void FrontList::Remove(const std::string& node) {
  others_.erase(node);
}

size_t FrontList::OwnRank() const {
  return static_cast<size_t>(std::ranges::count_if(
      others_ | std::views::values,
      [this](const auto& it) { return RankOf(it.record) < RankOf(own_); }));
}

std::vector<FrontRecord> FrontList::Ranked() const {
  std::vector<FrontRecord> ranked;
  std::ranges::transform(others_ | std::views::values,
                         std::back_inserter(ranked), &Known::record);
  std::ranges::sort(ranked, {}, RankOf);
  return ranked;
}

std::optional<FrontRecord> FrontList::ChooseSuccessor() const {
  std::vector<FrontRecord> standbys = Ranked();
  if (standbys.empty()) {
    return std::nullopt;
  }
  standbys.resize(
      std::min(standbys.size(), IsOwnStandby() ? standbys_ - 1 : standbys_));
  const uint32_t strongest = standbys.front().millicores;
  std::erase_if(standbys, [strongest](const FrontRecord& it) {
    return it.millicores * kWeakDivisor < strongest;
  });
  return std::ranges::max(standbys, {}, &FrontRecord::started_ms);
}

}  // namespace papayadrift::cluster
