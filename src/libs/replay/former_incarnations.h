#ifndef PAPAYADRIFT_REPLAY_FORMER_INCARNATIONS_H_
#define PAPAYADRIFT_REPLAY_FORMER_INCARNATIONS_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <tuple>

#include "base/identifiers.h"

namespace papayadrift::replay {

// The newest incarnation of each process that is gone, so that none comes
// back. Keeps a bounded number of processes: those that went last.
template <typename Id>
class FormerIncarnations {
 public:
  static constexpr size_t kMaximumProcesses = 10'000;

  struct Former {
    Incarnation incarnation;
    Offset gone_at;

    friend bool operator==(const Former&, const Former&) = default;
    friend auto Fields(Former& former) {
      return std::tie(former.incarnation, former.gone_at);
    }
  };

  std::optional<Incarnation> Newest(const Id& id) const {
    const auto it = formers_.find(id);
    if (it == formers_.end()) {
      return std::nullopt;
    }
    return it->second.incarnation;
  }

  void Add(const Id& id, Incarnation incarnation, Offset gone_at) {
    Former& former = formers_[id];
    former.incarnation = std::max(former.incarnation, incarnation);
    former.gone_at = gone_at;
    if (formers_.size() > kMaximumProcesses) {
      formers_.erase(std::ranges::min_element(
          formers_, {},
          [](const auto& entry) { return entry.second.gone_at; }));
    }
  }

  friend bool operator==(const FormerIncarnations&,
                         const FormerIncarnations&) = default;
  friend auto Fields(FormerIncarnations& formers) {
    return std::tie(formers.formers_);
  }

 private:
  std::map<Id, Former> formers_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_FORMER_INCARNATIONS_H_
