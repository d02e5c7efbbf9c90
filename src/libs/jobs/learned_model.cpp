#include "jobs/learned_model.h"

#include <algorithm>

namespace papayadrift::jobs {
namespace {

// Numbers and lengths of one entry when it is encoded: at most 9 bytes for each
// number and 5 for each length.
constexpr size_t kOverheadBytes = 30;

size_t SizeOf(const LearnedWeight& it) {
  return kOverheadBytes + it.serving_image.size() + it.filler_image.size();
}

size_t SizeOf(const LearnedDuration& it) {
  return kOverheadBytes + it.kind.size();
}

template <typename T>
size_t SizeOf(const std::vector<T>& values) {
  size_t bytes = 0;
  for (const T& it : values) {
    bytes += SizeOf(it);
  }
  return bytes;
}

template <typename T>
std::vector<T> FirstOf(const std::vector<T>& values, size_t max_bytes) {
  std::vector<T> first;
  size_t bytes = 0;
  for (const T& it : values) {
    bytes += SizeOf(it);
    if (bytes > max_bytes) {
      break;
    }
    first.push_back(it);
  }
  return first;
}

}  // namespace

LearnedModel FitTo(const LearnedModel& model, size_t max_bytes) {
  const size_t durations =
      std::min(SizeOf(model.durations),
               max_bytes - std::min(max_bytes / 2, SizeOf(model.weights)));
  return {FirstOf(model.weights, max_bytes - durations),
          FirstOf(model.durations, durations)};
}

}  // namespace papayadrift::jobs
