#include "search.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "random_history.h"
#include "world.h"

namespace papayadrift::run_histories {
namespace {

// Large enough for the threads to share, small enough to learn from.
constexpr uint64_t kGeneration = 512;

Finding ShortestOf(uint64_t number, const History& history, bool settles) {
  const std::string rule = RuleOf(*Play(history, settles).violation);
  const History shortest = Shrink(history, [&](const History& trial) {
    const auto found = Play(trial, settles).violation;
    return found && RuleOf(*found) == rule;
  });
  return {number, *Play(shortest, settles).violation, shortest, settles};
}

bool Settles(uint64_t number) {
  return number % kSettledPart == 0;
}

}  // namespace

void SearchTotals::Add(const SearchTotals& other) {
  histories += other.histories;
  states += other.states;
  longest = std::max(longest, other.longest);
  corpus += other.corpus;
}

Search::Search(const SearchSettings& settings,
               const Clock& clock,
               OnProgress on_progress)
    : settings_(settings),
      clock_(clock),
      on_progress_(std::move(on_progress)) {}

std::optional<Finding> Search::Run() {
  for (uint64_t first = 0;
       settings_.histories == 0 || first < settings_.histories;
       first += kGeneration) {
    const uint64_t count =
        settings_.histories == 0
            ? kGeneration
            : std::min(kGeneration, settings_.histories - first);
    const std::vector<Result> results = PlayGeneration(first, count);
    for (size_t i = 0; i < results.size(); ++i) {
      const Result& it = results[i];
      if (!it.is_played) {
        continue;
      }
      totals_.Add(it.totals);
      if (it.violation) {
        return ShortestOf(first + i, it.history, Settles(first + i));
      }
      if (settings_.is_guided && coverage_.Add(it.coverage)) {
        corpus_.push_back(it.history);
        ++totals_.corpus;
      }
    }
    if (!std::ranges::all_of(results, &Result::is_played)) {
      return std::nullopt;  // Time is over.
    }
    if (on_progress_) {
      on_progress_(totals_);
    }
  }
  return std::nullopt;
}

std::vector<Search::Result> Search::PlayGeneration(uint64_t first,
                                                   size_t count) {
  std::vector<Result> results(count);
  std::atomic<size_t> next = 0;
  std::vector<std::jthread> threads;
  for (size_t i = 1; i < settings_.threads; ++i) {
    threads.emplace_back([&] { PlaySome(first, results, next); });
  }
  PlaySome(first, results, next);
  threads.clear();
  return results;
}

void Search::PlaySome(uint64_t first,
                      std::vector<Result>& results,
                      std::atomic<size_t>& next) const {
  for (size_t i = next++; i < results.size(); i = next++) {
    if (clock_.Now() >= settings_.deadline) {
      return;
    }
    results[i] = PlayOne(first + i);
    if (results[i].violation) {
      // Those before it are under way.
      next = results.size();
    }
  }
}

History Search::HistoryOf(uint64_t number) const {
  return corpus_.empty() || number % 2 == 0
             ? RandomHistory(settings_.seed, number)
             : MutatedHistory(corpus_, settings_.seed, number);
}

Search::Result Search::PlayOne(uint64_t number) const {
  Result result;
  result.history = HistoryOf(number);
  const Outcome outcome =
      Play(result.history, Settles(number), nullptr,
           settings_.is_guided ? &result.coverage : nullptr);
  result.totals = {1, outcome.states, outcome.span, 0};
  result.violation = outcome.violation;
  result.is_played = true;
  return result;
}

std::string Describe(const Finding& finding) {
  std::string text = "history " + std::to_string(finding.number) + ", " +
                     std::to_string(finding.history.size()) +
                     " steps: " + finding.violation + "\n";
  Play(finding.history, finding.settles,
       [&](const std::string& line) { text += line + "\n"; });
  return text + ToTest(finding.history);
}

}  // namespace papayadrift::run_histories
