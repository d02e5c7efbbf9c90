#include "membership/slot_shares.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace papayadrift::membership {
namespace {

// A joiner is counted before it may use anything; a lapsed member as long as
// it may still use something.
bool IsCounted(const ShareMember& member) {
  return !member.is_lapsed || member.was_full;
}

std::pair<uint64_t, MemberKey> WeightOf(std::string_view runner,
                                        const MemberKey& key) {
  const std::string text =
      key.entry.text() + "#" + std::to_string(key.incarnation.value());
  return {RendezvousWeight(runner, text), key};
}

int32_t Portion(int32_t total, int32_t count, int32_t rank) {
  return total / count + (rank < total % count ? 1 : 0);
}

}  // namespace

RunnerShare ShareOf(const MemberKey& self,
                    std::string_view runner,
                    const RunnerShare& total,
                    const std::vector<ShareMember>& members) {
  const auto own = std::ranges::find(members, self, &ShareMember::key);
  if (own == members.end() || own->is_lapsed || !own->was_full) {
    return {};
  }
  const auto weight = WeightOf(runner, self);
  int32_t count = 0;
  int32_t rank = 0;
  for (const ShareMember& member : members) {
    if (IsCounted(member)) {
      ++count;
      rank += WeightOf(runner, member.key) > weight ? 1 : 0;
    }
  }
  return {Portion(total.slots, count, rank),
          Portion(total.connections, count, rank)};
}

bool IsWithinShares(const std::vector<RunnerUse>& uses) {
  return std::ranges::all_of(uses, [](const RunnerUse& use) {
    return use.in_use.slots <= use.allowed.slots &&
           use.in_use.connections <= use.allowed.connections;
  });
}

}  // namespace papayadrift::membership
