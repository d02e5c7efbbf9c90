#include <algorithm>
#include <utility>

#include "placement/load_history_p.h"

namespace papayadrift::placement {

namespace {

constexpr size_t kMaximumEntries = 32;
// Changes within this interval share an entry, so that the history covers more
// than the usual delay of reports.
constexpr microseconds kResolution = seconds(5);

}  // namespace

void LoadHistory::Record(Instant at, KindLoads loads) {
  current_ = std::move(loads);
  if (!entries_.empty() && at < entries_.back().since + kResolution) {
    entries_.back().loads = Pack(current_);
    return;
  }
  entries_.push_back({at, Pack(current_)});
  if (entries_.size() > kMaximumEntries) {
    entries_.pop_front();
  }
}

const KindLoads& LoadHistory::current() const {
  return current_;
}

std::optional<KindLoads> LoadHistory::Between(Instant from,
                                              Instant until) const {
  if (entries_.empty() || from >= until || entries_.front().since > from) {
    return std::nullopt;
  }
  KindLoads mean;
  const double whole = static_cast<double>((until - from).count());
  for (size_t i = 0; i < entries_.size(); ++i) {
    const Instant end =
        i + 1 < entries_.size() ? entries_[i + 1].since : Instant::max();
    const Instant begin = std::max(from, entries_[i].since);
    const Instant stop = std::min(until, end);
    if (begin < stop) {
      AddWeighted(mean, entries_[i],
                  static_cast<double>((stop - begin).count()) / whole);
    }
  }
  return mean;
}

std::vector<LoadHistory::PackedLoad> LoadHistory::Pack(const KindLoads& loads) {
  std::vector<PackedLoad> packed(loads.size());
  std::ranges::transform(loads, packed.begin(), [](const KindLoad& it) {
    return PackedLoad{it.kind, static_cast<float>(it.share)};
  });
  return packed;
}

void LoadHistory::AddWeighted(KindLoads& sum,
                              const Entry& entry,
                              double weight) {
  for (const PackedLoad& load : entry.loads) {
    const double share = static_cast<double>(load.share) * weight;
    const auto it = std::ranges::find(sum, load.kind, &KindLoad::kind);
    if (it == sum.end()) {
      sum.push_back({load.kind, share});
    } else {
      it->share += share;
    }
  }
}

}  // namespace papayadrift::placement
