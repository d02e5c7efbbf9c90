#ifndef PAPAYADRIFT_BASE_INSTANT_H_
#define PAPAYADRIFT_BASE_INSTANT_H_

#include <chrono>

namespace papayadrift {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The monotonic timeline of one process. Instants of two processes must not
// be compared.
struct MonotonicTimeline {
  using duration = microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicTimeline, duration>;
};

// A point in monotonic time, in microseconds.
using Instant = MonotonicTimeline::time_point;

// A point in Unix time, in milliseconds. Comparable between processes up to
// the skew of their clocks; used for deadlines that callers state.
using WallInstant =
    std::chrono::time_point<std::chrono::system_clock, milliseconds>;

}  // namespace papayadrift

#endif  // PAPAYADRIFT_BASE_INSTANT_H_
