#include "parallel_search.h"

#include <limits>
#include <thread>
#include <utility>
#include <vector>

namespace papayadrift::run_histories {
namespace {

constexpr uint64_t kNone = std::numeric_limits<uint64_t>::max();
// Histories between two times that a thread tells of its progress.
constexpr uint64_t kProgressHistories = 64;

}  // namespace

ParallelSearch::ParallelSearch(const ParallelSearchSettings& settings,
                               const Clock& clock,
                               OnProgress on_progress)
    : settings_(settings),
      clock_(clock),
      on_progress_(std::move(on_progress)),
      next_(settings.first),
      lowest_broken_(kNone) {}

std::optional<uint64_t> ParallelSearch::Run() {
  {
    std::vector<std::jthread> threads;
    for (size_t i = 0; i < settings_.threads; ++i) {
      threads.emplace_back([this] { Work(); });
    }
  }
  return lowest_broken_ == kNone ? std::nullopt
                                 : std::optional(lowest_broken_.load());
}

bool ParallelSearch::MayPlay(uint64_t number) const {
  return number < lowest_broken_ &&
         (settings_.histories == 0 ||
          number - settings_.first < settings_.histories) &&
         clock_.Now() < settings_.deadline;
}

void ParallelSearch::Work() {
  SearchTotals totals;
  for (uint64_t number = next_++; MayPlay(number); number = next_++) {
    if (BreaksRule(settings_.seed, number, totals)) {
      uint64_t lowest = lowest_broken_;
      while (number < lowest &&
             !lowest_broken_.compare_exchange_weak(lowest, number)) {
      }
    }
    if (totals.histories == kProgressHistories) {
      Add(std::exchange(totals, {}));
    }
  }
  Add(totals);
}

void ParallelSearch::Add(const SearchTotals& totals) {
  const std::scoped_lock lock(mutex_);
  totals_.Add(totals);
  on_progress_(totals_);
}

}  // namespace papayadrift::run_histories
