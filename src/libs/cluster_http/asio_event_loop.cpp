#include "cluster_http/asio_event_loop.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace papayadrift::cluster_http {
namespace {

class AsioTimer : public Timer {
 public:
  explicit AsioTimer(boost::asio::io_context& loop) : timer_(loop) {}

  void Start(microseconds delay, std::function<void()> action) override {
    // A wait that has ended but whose handler has not run yet can't be
    // cancelled any more.
    const auto start = std::make_shared<bool>(true);
    Cancel();
    start_ = start;
    timer_.expires_after(delay);
    timer_.async_wait(
        [start, action = std::move(action)](boost::system::error_code ec) {
          if (!ec && *start) {
            action();
          }
        });
  }

  void Cancel() override {
    if (start_) {
      *start_ = false;
    }
    boost::system::error_code ignored;
    timer_.cancel(ignored);
  }

  ~AsioTimer() override { AsioTimer::Cancel(); }
  AsioTimer(const AsioTimer&) = delete;
  AsioTimer& operator=(const AsioTimer&) = delete;

 private:
  boost::asio::steady_timer timer_;
  std::shared_ptr<bool> start_;  // False once it is void.
};

}  // namespace

std::unique_ptr<Timer> AsioEventLoop::MakeTimer() {
  return std::make_unique<AsioTimer>(loop_);
}

void AsioEventLoop::RunAfter(microseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(loop_, delay);
  timer->async_wait([timer, action = std::move(action)](
                        boost::system::error_code) { action(); });
}

}  // namespace papayadrift::cluster_http
