#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_STEP_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_STEP_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/instant.h"
#include "jobs/runner.h"
#include "network.h"

// What may happen in a history. Jobs, frontends and runners are numbered.

namespace papayadrift::run_histories {

struct Pass {
  milliseconds span{0};

  friend bool operator==(const Pass&, const Pass&) = default;
};
struct Submit {
  size_t job = 0;
  size_t front = 0;

  friend bool operator==(const Submit&, const Submit&) = default;
};
struct Cancel {
  size_t job = 0;
  size_t front = 0;

  friend bool operator==(const Cancel&, const Cancel&) = default;
};
struct Query {
  size_t job = 0;
  size_t front = 0;

  friend bool operator==(const Query&, const Query&) = default;
};
// The process of the frontend does nothing for a while, and then goes on.
struct FreezeFront {
  size_t front = 0;
  milliseconds span{0};

  friend bool operator==(const FreezeFront&, const FreezeFront&) = default;
};
// Each turn of the frontend's event loop takes 20 ms for a while.
struct SlowFront {
  size_t front = 0;
  milliseconds span{0};

  friend bool operator==(const SlowFront&, const SlowFront&) = default;
};
// The frontend is shut down in order; its next process starts after the drain.
struct StopFront {
  size_t front = 0;

  friend bool operator==(const StopFront&, const StopFront&) = default;
};
struct FreezeAgent {
  size_t agent = 0;
  milliseconds span{0};

  friend bool operator==(const FreezeAgent&, const FreezeAgent&) = default;
};
// The agent is shut down in order; its next process starts at once.
struct StopAgent {
  size_t agent = 0;

  friend bool operator==(const StopAgent&, const StopAgent&) = default;
};
// The time of day on the frontend's VM jumps.
struct MoveFrontClock {
  size_t front = 0;
  milliseconds by{0};

  friend bool operator==(const MoveFrontClock&,
                         const MoveFrontClock&) = default;
};
// The time of day on the VM of the runner and its agent jumps.
struct MoveRunnerClock {
  size_t runner = 0;
  milliseconds by{0};

  friend bool operator==(const MoveRunnerClock&,
                         const MoveRunnerClock&) = default;
};
struct RestartFront {
  size_t front = 0;

  friend bool operator==(const RestartFront&, const RestartFront&) = default;
};
struct CrashRunner {
  size_t runner = 0;
  bool keeps_name = false;
  milliseconds down{0};  // Until the next process starts.

  friend bool operator==(const CrashRunner&, const CrashRunner&) = default;
};
struct RestartAgent {
  size_t agent = 0;
  milliseconds clock_lead{0};  // Of its new clock.

  friend bool operator==(const RestartAgent&, const RestartAgent&) = default;
};
struct Resize {
  size_t runner = 0;
  int64_t millicores = 0;

  friend bool operator==(const Resize&, const Resize&) = default;
};
// A run on the runner ends.
struct EndRun {
  size_t runner = 0;
  jobs::RunEnd end = jobs::RunEnd::kDone;

  friend bool operator==(const EndRun&, const EndRun&) = default;
};
// The store drops all records but the newest of each key.
struct DropHistory {
  friend bool operator==(const DropHistory&, const DropHistory&) = default;
};
// The next call over the link meets the fault.
struct Disturb {
  Link link;
  Fault fault;

  friend bool operator==(const Disturb&, const Disturb&) = default;
};
struct Cut {
  Link link;
  milliseconds span{0};

  friend bool operator==(const Cut&, const Cut&) = default;
};

using Step = std::variant<Pass,
                          Submit,
                          Cancel,
                          Query,
                          FreezeFront,
                          SlowFront,
                          StopFront,
                          FreezeAgent,
                          StopAgent,
                          MoveFrontClock,
                          MoveRunnerClock,
                          RestartFront,
                          CrashRunner,
                          RestartAgent,
                          Resize,
                          EndRun,
                          DropHistory,
                          Disturb,
                          Cut>;
using History = std::vector<Step>;

// Returns the step as C++.
std::string ToText(const Step& step);
// Returns a test of the history, to be pasted into run_histories_test.cpp.
std::string ToTest(const History& history);

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_STEP_H_
