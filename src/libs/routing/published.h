#ifndef PAPAYADRIFT_ROUTING_PUBLISHED_H_
#define PAPAYADRIFT_ROUTING_PUBLISHED_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace papayadrift::routing {

// RCU read-side critical section of the calling thread; ends with the lifetime
// of the object. Can be nested; never blocks. Registers the thread on first
// use.
class RcuReadGuard {
 public:
  RcuReadGuard();
  ~RcuReadGuard();
  RcuReadGuard(const RcuReadGuard&) = delete;
  RcuReadGuard& operator=(const RcuReadGuard&) = delete;
};

// Waits until all read sections that began before this call have ended. Must
// not be called inside one.
void WaitForReaders();

// An immutable value that many threads read without locking while it is
// occasionally replaced (read-copy-update).
template <typename T>
class Published {
 public:
  explicit Published(T value) : value_(new T(std::move(value))) {}
  ~Published() { delete value_.load(); }
  Published(const Published&) = delete;
  Published& operator=(const Published&) = delete;

  // Returns reader(value); the reference is valid only during the call.
  template <typename Reader>
  auto Read(Reader reader) const {
    const RcuReadGuard section;
    return reader(*value_.load(std::memory_order_acquire));
  }

  // Replaces the value and waits until there are no readers of the old one.
  // Must not be called inside Read(), nor on the request path.
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
