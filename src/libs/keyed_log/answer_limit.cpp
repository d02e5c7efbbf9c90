#include "keyed_log/answer_limit.h"

#include <algorithm>

namespace papayadrift::keyed_log {
namespace {

// The store answers in milliseconds; the lower bound leaves room for a busy
// process that reads the answer late, the upper one for answers that take a
// hundred times as long; the end of an outage is seen within it.
constexpr milliseconds kShortest(150);
constexpr milliseconds kLongest(1000);
// Multiple of the smoothed latency: few answers take longer.
constexpr int kLatencies = 8;
constexpr int kSmoothing = 8;  // Answers that the smoothed latency averages.
// Turns that a call takes: to connect, to write, and to read in two parts.
constexpr int kTurns = 4;
constexpr milliseconds kLongestForTurns(1000);

}  // namespace

milliseconds AnswerLimit::Current() const {
  return limit_ + std::chrono::floor<milliseconds>(turn_ * kTurns);
}

void AnswerLimit::OnTurn(microseconds wait) {
  turn_ = std::min<microseconds>(std::max(wait, turn_ - turn_ / kSmoothing),
                                 kLongestForTurns / kTurns);
}

void AnswerLimit::OnAnswer(microseconds latency) {
  smoothed_ += (latency - smoothed_) / kSmoothing;
  limit_ = std::clamp(std::chrono::ceil<milliseconds>(
                          std::max(smoothed_ * kLatencies, latency * 2)),
                      kShortest, kLongest);
}

void AnswerLimit::OnTimeout() {
  limit_ = std::min(limit_ * 2, kLongest);
}

}  // namespace papayadrift::keyed_log
