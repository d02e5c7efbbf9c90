#ifndef PAPAYADRIFT_ROUTING_SERIAL_EVENT_QUEUE_H_
#define PAPAYADRIFT_ROUTING_SERIAL_EVENT_QUEUE_H_

#include <atomic>
#include <utility>

namespace papayadrift::routing {

// Lock-free multi-producer queue in front of a handler that is not thread-safe.
// A thread that posts to the idle queue handles all items until the queue is
// empty; other threads only add their item and return immediately. Items are
// handled in the order in which they were posted.
template <typename Item, typename Handler>
class SerialEventQueue {
 public:
  explicit SerialEventQueue(Handler handler) : handler_(std::move(handler)) {}
  ~SerialEventQueue() = default;
  SerialEventQueue(const SerialEventQueue&) = delete;
  SerialEventQueue& operator=(const SerialEventQueue&) = delete;

  // May be called from within the handler: the item is then handled later.
  void Post(Item item) {
    auto* node = new Node{std::move(item), nullptr};
    Node* seen = newest_.load();
    do {
      node->next = seen == &busy_ ? nullptr : seen;
    } while (!newest_.compare_exchange_weak(seen, node));
    if (seen == nullptr) {
      HandleUntilIdle();
    }
  }

 private:
  struct Node {
    Item item{};
    Node* next = nullptr;
  };

  void HandleUntilIdle() {
    Node* seen = nullptr;
    do {
      HandleAll(Reversed(newest_.exchange(&busy_)));
      seen = &busy_;
    } while (!newest_.compare_exchange_strong(seen, nullptr));
  }

  void HandleAll(Node* node) {
    while (node != nullptr) {
      handler_(std::move(node->item));
      delete std::exchange(node, node->next);
    }
  }

  static Node* Reversed(Node* node) {
    Node* reversed = nullptr;
    while (node != nullptr) {
      Node* next = std::exchange(node->next, reversed);
      reversed = std::exchange(node, next);
    }
    return reversed;
  }

  Handler handler_;
  Node busy_;  // Marker in `newest_` while items are being handled.
  std::atomic<Node*> newest_{nullptr};  // Null while the queue is idle.
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SERIAL_EVENT_QUEUE_H_
