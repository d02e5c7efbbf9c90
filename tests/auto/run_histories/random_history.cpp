#include "random_history.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <numeric>
#include <random>
#include <utility>
#include <variant>
#include <vector>

#include "workload.h"

namespace papayadrift::run_histories {
namespace {

using Random = std::mt19937_64;

size_t Below(Random& random, size_t limit) {
  return random() % limit;
}

template <typename T, size_t N>
const T& OneOf(Random& random, const std::array<T, N>& all) {
  return all[Below(random, N)];
}

// Mostly short ones: much may happen within a lease, and time costs most.
milliseconds AnySpan(Random& random) {
  static constexpr std::array<int64_t, 28> kSpans{
      1,   1,   5,    5,    20,   20,   20,   50,  50,  50,
      50,  150, 150,  150,  150,  150,  400,  400, 400, 400,
      400, 400, 1000, 1000, 1000, 2500, 2500, 7000};
  return milliseconds(OneOf(random, kSpans));
}

// For a call that is held up: shorter and longer than its caller waits.
milliseconds AnyDelay(Random& random) {
  static constexpr std::array<int64_t, 6> kDelays{30,   120,  500,
                                                  1100, 3000, 9000};
  return milliseconds(OneOf(random, kDelays));
}

milliseconds AnyCut(Random& random) {
  static constexpr std::array<int64_t, 5> kCuts{100, 600, 1500, 3000, 8000};
  return milliseconds(OneOf(random, kCuts));
}

std::vector<Fault::Kind> FaultsOf(LinkKind kind) {
  using Kind = Fault::Kind;
  std::vector<Kind> kinds{Kind::kLoseRequest, Kind::kLoseAnswer,
                          Kind::kDelayRequest, Kind::kDelayAnswer};
  if (kind == LinkKind::kStoreWrite || kind == LinkKind::kStoreRead) {
    kinds.push_back(Kind::kRefuse);
  } else if (kind != LinkKind::kOrders && kind != LinkKind::kOrder &&
             kind != LinkKind::kHold) {
    // Orders are sent once each time that they are counted as sent.
    kinds.push_back(Kind::kRepeatRequest);
  }
  return kinds;
}

Fault AnyFault(Random& random, const Link& link) {
  const auto kinds = FaultsOf(link.kind);
  const Fault::Kind kind = kinds[Below(random, kinds.size())];
  const bool has_delay = kind == Fault::Kind::kDelayRequest ||
                         kind == Fault::Kind::kDelayAnswer ||
                         kind == Fault::Kind::kRepeatRequest;
  return {kind, has_delay ? AnyDelay(random) : milliseconds(0)};
}

Step AnyRunnerCrash(Random& random, size_t index) {
  static constexpr std::array<int64_t, 3> kDown{0, 400, 2500};
  return CrashRunner{index, Below(random, 2) == 0,
                     milliseconds(OneOf(random, kDown))};
}

milliseconds AnyLead(Random& random) {
  static constexpr std::array<int64_t, 4> kLeads{0, 700, 100'000, -50'000};
  return milliseconds(OneOf(random, kLeads));
}

milliseconds AnyClockStep(Random& random) {
  static constexpr std::array<int64_t, 4> kSteps{-5000, -1500, 700, 5000};
  return milliseconds(OneOf(random, kSteps));
}

// Shorter and longer than it takes to elect another leader, and than a lease.
milliseconds AnyFreeze(Random& random) {
  static constexpr std::array<int64_t, 6> kSpans{200,  700,  1600,
                                                 2500, 4000, 8000};
  return milliseconds(OneOf(random, kSpans));
}

Step AnyResize(Random& random, size_t index) {
  static constexpr std::array<int64_t, 3> kMillicores{0, 1000, 2000};
  return Resize{index, OneOf(random, kMillicores)};
}

// A frontend that hears little, or a runner and its agent.
std::vector<Link> LinksOfOneParty(Random& random) {
  const size_t index = Below(random, kLinksOfKind);
  if (Below(random, 2) == 0) {
    return {{LinkKind::kStoreRead, index},
            {LinkKind::kStoreWrite, index},
            {LinkKind::kCancellation, index},
            {LinkKind::kFrontend, index}};
  }
  return {{LinkKind::kReport, index},
          {LinkKind::kOrders, index},
          {LinkKind::kHold, index},
          {LinkKind::kOrder, index}};
}

// What happens in one history: few kinds of things, each of them often, and
// over few links. That leads further than a little of everything.
class Theme {
 public:
  explicit Theme(Random& random) {
    static constexpr std::array<size_t, 4> kWeights{0, 0, 1, 3};
    std::ranges::generate(weights_, [&] { return OneOf(random, kWeights); });
    weights_[0] = std::max<size_t>(weights_[0], 1);  // Of submissions.
    total_ = std::accumulate(weights_.begin(), weights_.end(), size_t{0});
    if (Below(random, 2) == 0) {
      links_ = LinksOfOneParty(random);
      return;
    }
    constexpr size_t kMaxLinks = 4;
    links_.resize(1 + Below(random, kMaxLinks));
    std::ranges::generate(links_, [&] {
      return Link{static_cast<LinkKind>(Below(random, kLinkKinds)),
                  Below(random, kLinksOfKind)};
    });
  }

  // Sometimes, some of the links are cut for most of the history.
  History First(Random& random) const {
    constexpr milliseconds kBeginning(1000);
    constexpr milliseconds kLongCut(15'000);
    constexpr size_t kCutOnce = 4;  // In so many histories.
    History history{Submit{Below(random, kJobs), Below(random, kLinksOfKind)}};
    if (Below(random, kCutOnce) != 0) {
      return history;
    }
    history.emplace_back(Pass{kBeginning});
    for (const Link& link : links_) {
      if (Below(random, 2) == 0) {
        history.emplace_back(Cut{link, kLongCut});
      }
    }
    return history;
  }

  Step Next(Random& random) const {
    constexpr size_t kPassPercent = 40;
    if (Below(random, 100) < kPassPercent) {
      return Pass{AnySpan(random)};
    }
    size_t position = Below(random, total_);
    size_t kind = 0;
    while (position >= weights_[kind]) {
      position -= weights_[kind++];
    }
    return StepOf(random, kind);
  }

 private:
  static constexpr size_t kKinds = 19;

  Step StepOf(Random& random, size_t kind) const {
    const size_t job = Below(random, kJobs);
    const size_t index = Below(random, kLinksOfKind);
    const Link& link = links_[Below(random, links_.size())];
    switch (kind) {
      case 0:
        return Submit{job, index};
      case 1:
        return Cancel{job, index};
      case 2:
        return Query{job, index};
      case 3:
        return FreezeFront{index, AnyFreeze(random)};
      case 4:
        return StopFront{index};
      case 5:
        return RestartFront{index};
      case 6:
        return AnyRunnerCrash(random, index);
      case 7:
        return RestartAgent{index, AnyLead(random)};
      case 8:
        return AnyResize(random, index);
      case 9:
        return EndRun{index, jobs::RunEnd::kDone};
      case 10:
        return EndRun{index, jobs::RunEnd::kFailed};
      case 11:
        return DropHistory{};
      case 12:
        return Cut{link, AnyCut(random)};
      case 13:
        return SlowFront{index, AnyCut(random)};
      case 14:
        return FreezeAgent{index, AnyFreeze(random)};
      case 15:
        return StopAgent{index};
      case 16:
        return MoveFrontClock{index, AnyClockStep(random)};
      case 17:
        return MoveRunnerClock{index, AnyClockStep(random)};
      default:
        return Disturb{link, AnyFault(random, link)};
    }
  }

  std::array<size_t, kKinds> weights_{};
  size_t total_ = 0;
  std::vector<Link> links_;
};

// Returns the same step with a shorter time, if there is one.
std::optional<Step> Shorter(const Step& step) {
  const auto* pass = std::get_if<Pass>(&step);
  if (pass == nullptr || pass->span <= milliseconds(1)) {
    return std::nullopt;
  }
  return Pass{pass->span / 2};
}

bool LeaveOut(History& history, size_t size, const IsBroken& is_broken) {
  bool is_shorter = false;
  for (size_t i = 0; i + size <= history.size();) {
    History trial = history;
    const auto first = trial.begin() + static_cast<ptrdiff_t>(i);
    trial.erase(first, first + static_cast<ptrdiff_t>(size));
    if (is_broken(trial)) {
      history = std::move(trial);
      is_shorter = true;
    } else {
      ++i;
    }
  }
  return is_shorter;
}

bool Shorten(History& history, const IsBroken& is_broken) {
  bool is_shorter = false;
  for (size_t i = 0; i < history.size(); ++i) {
    for (auto step = Shorter(history[i]); step; step = Shorter(*step)) {
      History trial = history;
      trial[i] = *step;
      if (!is_broken(trial)) {
        break;
      }
      history = std::move(trial);
      is_shorter = true;
    }
  }
  return is_shorter;
}

Random RandomOf(uint64_t seed, uint64_t number) {
  std::seed_seq seeds{
      static_cast<uint32_t>(seed), static_cast<uint32_t>(seed >> 32U),
      static_cast<uint32_t>(number), static_cast<uint32_t>(number >> 32U)};
  return Random(seeds);
}

// The beginning of `first` and the end of `second`.
History Spliced(Random& random, const History& first, const History& second) {
  const auto cut = static_cast<ptrdiff_t>(Below(random, first.size() + 1));
  const auto rest = static_cast<ptrdiff_t>(Below(random, second.size() + 1));
  History history(first.begin(), first.begin() + cut);
  history.insert(history.end(), second.begin() + rest, second.end());
  return history;
}

void ChangeStep(Random& random, const Theme& theme, History& history) {
  const auto at =
      history.begin() + static_cast<ptrdiff_t>(Below(random, history.size()));
  switch (Below(random, 4)) {
    case 0:
      history.insert(at, theme.Next(random));
      return;
    case 1:
      *at = theme.Next(random);
      return;
    case 2:
      history.insert(at, history[Below(random, history.size())]);
      return;
    default:
      history.erase(at);
      return;
  }
}

}  // namespace

History MutatedHistory(const std::vector<History>& corpus,
                       uint64_t seed,
                       uint64_t number) {
  constexpr size_t kMaxChanges = 8;
  constexpr size_t kSplicedPart = 4;  // One in so many.
  Random random = RandomOf(seed, number);
  const Theme theme(random);
  History history = corpus[Below(random, corpus.size())];
  if (Below(random, kSplicedPart) == 0) {
    history = Spliced(random, history, corpus[Below(random, corpus.size())]);
  }
  const size_t changes = 1 + Below(random, kMaxChanges);
  for (size_t i = 0; i < changes; ++i) {
    if (history.empty()) {
      history = theme.First(random);
    }
    ChangeStep(random, theme, history);
  }
  history.resize(std::min(history.size(), kHistorySteps));
  return history;
}

History RandomHistory(uint64_t seed, uint64_t number) {
  Random random = RandomOf(seed, number);
  const Theme theme(random);
  History history = theme.First(random);
  while (history.size() < kHistorySteps) {
    history.push_back(theme.Next(random));
  }
  return history;
}

History Shrink(History history, const IsBroken& is_broken) {
  bool is_shorter = true;
  while (is_shorter) {
    is_shorter = false;
    for (size_t size = history.size() / 2; size > 0; size /= 2) {
      is_shorter |= LeaveOut(history, size, is_broken);
    }
    is_shorter |= Shorten(history, is_broken);
  }
  return history;
}

std::string RuleOf(const std::string& violation) {
  return violation.substr(0, violation.find(' '));
}

}  // namespace papayadrift::run_histories
