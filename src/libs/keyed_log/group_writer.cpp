#include "keyed_log/group_writer.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>
#include <variant>

namespace papayadrift::keyed_log {
namespace {

// At 4 KB a job this stays below 256 KB.
constexpr size_t kMostRecords = 64;
// An append that takes so many times as long as usual may have lost its answer;
// others need not wait for it.
constexpr int kOverdueFactor = 2;
// Weight of one answer in the usual time, as a divisor.
constexpr int kSmoothing = 4;

}  // namespace

GroupWriter::GroupWriter(std::string topic, KeyedLog& log, const Clock& clock)
    : topic_(std::move(topic)), log_(log), clock_(clock) {}

void GroupWriter::Write(Record record, Instant deadline, Done done) {
  waiting_.push_back({std::move(record), deadline, std::move(done), false});
  if (under_way_ == 0 || IsOverdue(clock_.Now())) {
    SendNext();
  }
}

bool GroupWriter::IsOverdue(Instant now) const {
  return now - sent_at_ > usual_time_ * kOverdueFactor;
}

size_t GroupWriter::CountOfNext() const {
  const size_t max_bytes = log_.limits().max_request_bytes;
  size_t count = 0;
  size_t bytes = 0;
  for (const Item& item : waiting_) {
    bytes += SizeOf(item.record);
    if (count > 0 &&
        (bytes > max_bytes || count == kMostRecords || item.is_alone)) {
      break;
    }
    ++count;
    if (item.is_alone) {
      break;
    }
  }
  return count;
}

void GroupWriter::SendNext() {
  const auto n = static_cast<std::ptrdiff_t>(CountOfNext());
  if (n == 0) {
    return;
  }
  std::vector<Item> items(std::make_move_iterator(waiting_.begin()),
                          std::make_move_iterator(waiting_.begin() + n));
  waiting_.erase(waiting_.begin(), waiting_.begin() + n);
  Append append{topic_, {}, std::nullopt, std::nullopt};
  std::ranges::transform(items, std::back_inserter(append.records),
                         &Item::record);
  const Instant deadline =
      std::ranges::min_element(items, {}, &Item::deadline)->deadline;
  ++under_way_;
  sent_at_ = clock_.Now();
  log_.Write(append, deadline,
             [this, is_alive = std::weak_ptr(is_alive_), sent_at = sent_at_,
              items = std::move(items)](const AppendResult& result) mutable {
               if (!is_alive.expired()) {
                 OnAnswered(std::move(items), sent_at, result);
               }
             });
}

void GroupWriter::OnAnswered(std::vector<Item> items,
                             Instant sent_at,
                             const AppendResult& result) {
  --under_way_;
  if (std::holds_alternative<Rejected>(result) && items.size() > 1) {
    // One of them is at fault; the others must not fail with it.
    for (Item& item : items | std::views::reverse) {
      item.is_alone = true;
      waiting_.push_front(std::move(item));
    }
    items.clear();
  }
  if (std::holds_alternative<Stored>(result)) {
    usual_time_ += (clock_.Now() - sent_at - usual_time_) / kSmoothing;
  }
  // Before the callbacks: they may write again.
  if (under_way_ == 0) {
    SendNext();
  }
  for (const Item& item : items) {
    item.done(result);
  }
}

}  // namespace papayadrift::keyed_log
