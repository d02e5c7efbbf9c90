#ifndef PAPAYADRIFT_CLUSTER_HTTP_ASIO_EVENT_LOOP_H_
#define PAPAYADRIFT_CLUSTER_HTTP_ASIO_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "base/event_loop.h"

namespace papayadrift::cluster_http {

// The event loop of a process that does its I/O with Boost.Asio.
class AsioEventLoop : public EventLoop {
 public:
  explicit AsioEventLoop(boost::asio::io_context& loop) : loop_(loop) {}

  std::unique_ptr<Timer> MakeTimer() override;
  void RunAfter(microseconds delay, std::function<void()> action) override;

 private:
  boost::asio::io_context& loop_;
};

}  // namespace papayadrift::cluster_http

#endif  // PAPAYADRIFT_CLUSTER_HTTP_ASIO_EVENT_LOOP_H_
