#include "logging/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <csignal>
#include <string_view>
#include <utility>

namespace papayadrift::logging {

namespace {

// A pipe that can be written takes this much without blocking (POSIX).
constexpr size_t kChunkBytes = PIPE_BUF;
// How long the thread waits for a slow reader before it looks whether it is to
// give up; ends of processes are late by no more than that.
constexpr milliseconds kPollInterval(50);

// A reader that has gone must not end the process. The signal goes to the
// thread that writes.
void BlockBrokenPipeSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

bool IsWritable(int descriptor) {
  pollfd it{descriptor, POLLOUT, 0};
  return poll(&it, 1, static_cast<int>(kPollInterval.count())) > 0;
}

}  // namespace

LineWriter::LineWriter(int descriptor,
                       const LineWriterSettings& settings,
                       GapLine gap_line)
    : descriptor_(descriptor),
      settings_(settings),
      gap_line_(std::move(gap_line)),
      thread_([this] { Run(); }) {}

LineWriter::~LineWriter() {
  Finish(milliseconds(0));
  thread_.join();
}

bool LineWriter::Offer(Precedence precedence, std::string line) {
  line.push_back('\n');
  const size_t room =
      precedence == Precedence::kImportant
          ? settings_.maximum_bytes
          : settings_.maximum_bytes * settings_.routine_percent / 100;
  {
    const std::lock_guard lock(mutex_);
    if (!takes_lines_ || pending_bytes_ + line.size() > room) {
      ++dropped_count_;
      return false;
    }
    if (dropped_count_ > told_count_) {
      Push({gap_line_(dropped_count_ - told_count_) + "\n", true});
      told_count_ = dropped_count_;
    }
    Push({std::move(line)});
  }
  changed_.notify_all();
  return true;
}

bool LineWriter::Finish(milliseconds limit) {
  std::unique_lock lock(mutex_);
  takes_lines_ = false;
  changed_.notify_all();
  const bool is_written =
      changed_.wait_for(lock, limit, [this] { return pending_bytes_ == 0; });
  is_given_up_ = true;
  changed_.notify_all();
  return is_written;
}

uint64_t LineWriter::dropped_count() const {
  const std::lock_guard lock(mutex_);
  return dropped_count_;
}

void LineWriter::Push(Line line) {
  pending_bytes_ += line.text.size();
  lines_.push_back(std::move(line));
}

void LineWriter::Run() {
  BlockBrokenPipeSignal();
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return is_given_up_ || !lines_.empty(); });
    if (is_given_up_) {
      dropped_count_ += static_cast<uint64_t>(
          std::ranges::count(std::exchange(lines_, {}), false, &Line::is_gap));
      pending_bytes_ = 0;
      return;
    }
    const Line line = std::move(lines_.front());
    lines_.pop_front();
    lock.unlock();
    const bool is_written = Write(line.text);
    lock.lock();
    pending_bytes_ -= line.text.size();
    dropped_count_ += is_written || line.is_gap ? 0 : 1;
    changed_.notify_all();
  }
}

bool LineWriter::Write(const std::string& bytes) const {
  std::string_view left = bytes;
  while (!left.empty()) {
    if (is_given_up()) {
      return false;
    }
    if (!IsWritable(descriptor_)) {
      continue;
    }
    const ssize_t n =
        write(descriptor_, left.data(), std::min(left.size(), kChunkBytes));
    if (n >= 0) {
      left.remove_prefix(static_cast<size_t>(n));
    } else if (errno != EINTR && errno != EAGAIN) {
      return false;  // The reader has gone.
    }
  }
  return true;
}

bool LineWriter::is_given_up() const {
  const std::lock_guard lock(mutex_);
  return is_given_up_;
}

}  // namespace papayadrift::logging
