#ifndef PAPAYADRIFT_ASYNC_HTTP_CONNECTION_BUDGET_H_
#define PAPAYADRIFT_ASYNC_HTTP_CONNECTION_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "base/instant.h"

namespace papayadrift::async_http {

// A connection counts as holding this much besides the bytes of its messages:
// its own state, that of its socket and its read buffer.
inline constexpr size_t kConnectionBytes = 4 * 1024;

struct ConnectionLimits {
  size_t connections = 2048;
  // Held by all connections together, with kConnectionBytes for each.
  size_t bytes = size_t{64} << 20;

  friend bool operator==(const ConnectionLimits&,
                         const ConnectionLimits&) = default;
};

// Decides which connections of a listener are closed when its descriptors or
// its memory run out, so that a new caller is still admitted. Does no I/O.
//
// A connection whose request is handled is never closed, nor one whose response
// has just begun to be written.
//  - For a place, the connection that waits for longest goes first. Bytes that
//    it sends meanwhile don't shorten its wait; only a whole request does.
//    Connections that have never brought one go before others while they take
//    more than a fourth of the places, so that a crowd of them doesn't close
//    the kept-alive connections of ordinary callers.
//  - For memory, the connection with the highest product of the bytes of its
//    message and the message's age goes first: a large message that arrives
//    swiftly stays. Connections without a message stay, as they would free
//    nothing.
class ConnectionBudget {
 public:
  using Id = uint64_t;

  explicit ConnectionBudget(const ConnectionLimits& limits);

  // Adds a connection that waits for its first request.
  Id Add(Instant now);
  void Remove(Id id);
  // The first bytes of a request have come.
  void BeginMessage(Id id, Instant now);
  // The request of the connection is whole and is handled from now on.
  void BeginHandling(Id id);
  // The response is being written.
  void BeginWriting(Id id, Instant now);
  // The response was written; the connection waits for the next request.
  void BeginWaiting(Id id, Instant now);
  // States the bytes of messages that the connection holds.
  void SetBytes(Id id, size_t bytes);

  size_t connections() const { return entries_.size(); }
  size_t bytes() const { return bytes_; }
  bool is_full() const { return entries_.size() >= limits_.connections; }
  bool is_over_bytes() const { return bytes_ > limits_.bytes; }
  // Return which connection to close first; nothing if none may be.
  std::optional<Id> ChooseForPlace(Instant now) const;
  std::optional<Id> ChooseForBytes(Instant now) const;

 private:
  enum class Phase { kNew, kKept, kHandling, kWriting };
  using Queue = std::list<Id>;
  struct Entry {
    Phase phase = Phase::kNew;
    Instant since;          // Of the wait.
    Instant message_since;  // Of the message whose bytes it holds.
    size_t bytes = 0;
    Queue* queue = nullptr;  // Nothing while handling.
    Queue::iterator position;
  };

  void Enqueue(Id id, Entry& entry, Queue& queue, Instant now);
  static void Dequeue(Entry& entry);
  bool MayClose(const Entry& entry, Instant now) const;

  const ConnectionLimits limits_;
  std::unordered_map<Id, Entry> entries_;
  // The longest wait first.
  Queue new_;   // Never brought a whole request.
  Queue kept_;  // Wait for a further request.
  Queue writing_;
  size_t bytes_ = 0;
  Id last_id_ = 0;
};

}  // namespace papayadrift::async_http

#endif  // PAPAYADRIFT_ASYNC_HTTP_CONNECTION_BUDGET_H_
