#ifndef PAPAYADRIFT_LOGGING_LINE_WRITER_H_
#define PAPAYADRIFT_LOGGING_LINE_WRITER_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "base/instant.h"

namespace papayadrift::logging {

// Which lines give way first when the reader falls behind.
enum class Precedence { kRoutine, kImportant };

struct LineWriterSettings {
  // Bytes that may wait to be written. 1 MiB of the 32 MB that a node has for
  // control; some 4,000 lines.
  size_t maximum_bytes = size_t{1} << 20;
  // Routine lines may fill only this part of it, in percent: the rest is kept
  // for the lines that explain failures.
  size_t routine_percent = 50;

  friend bool operator==(const LineWriterSettings&,
                         const LineWriterSettings&) = default;
};

// Carries lines from any thread to a file descriptor, through a bounded queue
// and a thread of its own. Whoever offers a line never waits for the reader of
// the descriptor, which may be slow, stopped or gone.
class LineWriter {
 public:
  // Makes the line that stands where so many lines were dropped.
  using GapLine = std::function<std::string(uint64_t dropped)>;

  LineWriter(int descriptor,
             const LineWriterSettings& settings,
             GapLine gap_line);
  // Drops what is not written yet; Finish() writes it.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  // Queues one line, without its end. Returns false if there is no room for
  // it, or the writer has finished: it is then counted as dropped.
  bool Offer(Precedence precedence, std::string line);

  // Takes no more lines and returns once all that were queued are written, or
  // `limit` has passed. Returns whether none is left in the queue.
  bool Finish(milliseconds limit);

  // Lines that were offered and never reached the descriptor.
  uint64_t dropped_count() const;

 private:
  struct Line {
    std::string text;
    bool is_gap = false;  // Made here: it is not missed if it is lost.
  };

  void Push(Line line);
  void Run();
  // Returns whether all bytes were written; false once it is given up.
  bool Write(const std::string& bytes) const;
  bool is_given_up() const;

  const int descriptor_;
  const LineWriterSettings settings_;
  const GapLine gap_line_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Line> lines_;
  size_t pending_bytes_ = 0;  // Queued or being written.
  uint64_t dropped_count_ = 0;
  uint64_t told_count_ = 0;  // Of those dropped, how many a gap line told.
  bool takes_lines_ = true;
  bool is_given_up_ = false;
  std::thread thread_;
};

}  // namespace papayadrift::logging

#endif  // PAPAYADRIFT_LOGGING_LINE_WRITER_H_
