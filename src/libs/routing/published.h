#ifndef PAPAYADRIFT_ROUTING_PUBLISHED_H_
#define PAPAYADRIFT_ROUTING_PUBLISHED_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace papayadrift::routing {

// Marks the calling thread as reading published values while it lives. Nests;
// never blocks. Registers the thread on its first use.
class RcuReadGuard {
 public:
  RcuReadGuard();
  ~RcuReadGuard();
  RcuReadGuard(const RcuReadGuard&) = delete;
  RcuReadGuard& operator=(const RcuReadGuard&) = delete;
};

// Waits until every read section that has begun is over. Must not be called
// inside one.
void WaitForReaders();

// An immutable value that many threads read without a lock while one replaces
// it now and then (read-copy-update).
template <typename T>
class Published {
 public:
  explicit Published(T value) : value_(new T(std::move(value))) {}
  ~Published() { delete value_.load(); }
  Published(const Published&) = delete;
  Published& operator=(const Published&) = delete;

  // Returns reader(value); the reference ends with the call.
  template <typename Reader>
  auto Read(Reader reader) const {
    const RcuReadGuard section;
    return reader(*value_.load(std::memory_order_acquire));
  }

  // Replaces the value and waits until nobody reads the old one. Not for the
  // path of a request, nor inside Read().
  void Replace(T value) {
    const std::scoped_lock lock(writers_);
    std::unique_ptr<const T> old(value_.exchange(new T(std::move(value))));
    WaitForReaders();
  }

 private:
  std::mutex writers_;
  std::atomic<const T*> value_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_PUBLISHED_H_
