#include "cluster/front_list.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>
#include <vector>

#include "records/packing.h"

namespace papayadrift::cluster {
namespace {

// A VM with less than this part of the strongest one's processors is weak.
constexpr uint32_t kWeakDivisor = 2;

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

FrontList::FrontList(std::string own_node) : own_node_(std::move(own_node)) {}

void FrontList::Put(const FrontRecord& record) {
  if (record.node != own_node_ && !record.address.empty()) {
    fronts_[record.node] = record;
  }
}

void FrontList::Remove(const std::string& node) {
  fronts_.erase(node);
}

std::optional<FrontRecord> FrontList::ChooseSuccessor() const {
  const auto all = fronts_ | std::views::values;
  if (std::ranges::empty(all)) {
    return std::nullopt;
  }
  const uint32_t strongest =
      std::ranges::max(all, {}, &FrontRecord::millicores).millicores;
  std::vector<FrontRecord> strong;
  std::ranges::copy_if(all, std::back_inserter(strong),
                       [strongest](const FrontRecord& it) {
                         return it.millicores * kWeakDivisor >= strongest;
                       });
  return std::ranges::max(strong, {}, &FrontRecord::started_ms);
}

}  // namespace papayadrift::cluster
