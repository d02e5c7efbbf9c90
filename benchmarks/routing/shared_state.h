#ifndef PAPAYADRIFT_BENCHMARKS_ROUTING_SHARED_STATE_H_
#define PAPAYADRIFT_BENCHMARKS_ROUTING_SHARED_STATE_H_

namespace papayadrift::routing {

// Nanoseconds of one read by each of four threads while a fifth replaces the
// value now and then.
struct ReadCost {
  double published = 0;
  double atomic_shared_pointer = 0;
};

ReadCost MeasureReads();

// Nanoseconds of one event posted by one of four threads.
struct PostCost {
  double queue = 0;
  double mutex = 0;
};

PostCost MeasurePosts();

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_BENCHMARKS_ROUTING_SHARED_STATE_H_
