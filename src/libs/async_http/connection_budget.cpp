#include "async_http/connection_budget.h"

#include <algorithm>

namespace papayadrift::async_http {
namespace {

// A peer that reads takes its response within this time also on a slow path.
constexpr milliseconds kWriteGrace(1000);
// Part of the places that connections without any whole request may take before
// they are the first to go.
constexpr size_t kNewPart = 4;

}  // namespace

ConnectionBudget::ConnectionBudget(const ConnectionLimits& limits)
    : limits_(limits) {}

ConnectionBudget::Id ConnectionBudget::Add(Instant now) {
  const Id id = ++last_id_;
  Entry& entry = entries_[id];
  entry.bytes = kConnectionBytes;
  bytes_ += entry.bytes;
  Enqueue(id, entry, new_, now);
  return id;
}

void ConnectionBudget::Remove(Id id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return;
  }
  Dequeue(it->second);
  bytes_ -= it->second.bytes;
  entries_.erase(it);
}

void ConnectionBudget::BeginMessage(Id id, Instant now) {
  entries_.at(id).message_since = now;
}

void ConnectionBudget::BeginHandling(Id id) {
  Entry& entry = entries_.at(id);
  Dequeue(entry);
  entry.phase = Phase::kHandling;
}

void ConnectionBudget::BeginWriting(Id id, Instant now) {
  Entry& entry = entries_.at(id);
  Dequeue(entry);
  entry.phase = Phase::kWriting;
  entry.message_since = now;
  Enqueue(id, entry, writing_, now);
}

void ConnectionBudget::BeginWaiting(Id id, Instant now) {
  Entry& entry = entries_.at(id);
  Dequeue(entry);
  entry.phase = Phase::kKept;
  Enqueue(id, entry, kept_, now);
}

void ConnectionBudget::SetBytes(Id id, size_t bytes) {
  Entry& entry = entries_.at(id);
  bytes_ -= entry.bytes;
  entry.bytes = kConnectionBytes + bytes;
  bytes_ += entry.bytes;
}

std::optional<ConnectionBudget::Id> ConnectionBudget::ChooseForPlace(
    Instant now) const {
  if (!writing_.empty() && MayClose(entries_.at(writing_.front()), now)) {
    return writing_.front();
  }
  const bool prefers_new =
      new_.size() > limits_.connections / kNewPart || kept_.empty();
  const Queue& queue = prefers_new ? new_ : kept_;
  if (queue.empty()) {
    return std::nullopt;
  }
  return queue.front();
}

std::optional<ConnectionBudget::Id> ConnectionBudget::ChooseForBytes(
    Instant now) const {
  // One more millisecond, so that among new ones the largest goes first.
  constexpr microseconds kLeast = milliseconds(1);
  std::optional<Id> chosen;
  double most = 0;
  for (const Queue* queue : {&new_, &kept_, &writing_}) {
    for (const Id id : *queue) {
      const Entry& entry = entries_.at(id);
      const double weight =
          static_cast<double>(entry.bytes - kConnectionBytes) *
          static_cast<double>((now - entry.message_since + kLeast).count());
      if (weight > most && MayClose(entry, now)) {
        most = weight;
        chosen = id;
      }
    }
  }
  return chosen;
}

void ConnectionBudget::Enqueue(Id id, Entry& entry, Queue& queue, Instant now) {
  entry.since = now;
  entry.queue = &queue;
  entry.position = queue.insert(queue.end(), id);
}

void ConnectionBudget::Dequeue(Entry& entry) {
  if (entry.queue != nullptr) {
    entry.queue->erase(entry.position);
    entry.queue = nullptr;
  }
}

bool ConnectionBudget::MayClose(const Entry& entry, Instant now) const {
  return entry.phase != Phase::kWriting || now - entry.since >= kWriteGrace;
}

}  // namespace papayadrift::async_http
