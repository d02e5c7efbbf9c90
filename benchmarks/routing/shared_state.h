#ifndef PAPAYADRIFT_BENCHMARKS_ROUTING_SHARED_STATE_H_
#define PAPAYADRIFT_BENCHMARKS_ROUTING_SHARED_STATE_H_

namespace papayadrift::routing {

// Nanoseconds per read by each of four threads while a fifth periodically
// replaces the value.
struct ReadCost {
  double published = 0;
  double atomic_shared_pointer = 0;
};

ReadCost MeasureReads();

// Nanoseconds per event posted by one of four threads.
struct PostCost {
  double queue = 0;
  double mutex = 0;
};

PostCost MeasurePosts();

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_BENCHMARKS_ROUTING_SHARED_STATE_H_
