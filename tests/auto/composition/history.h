#ifndef PAPAYADRIFT_TESTS_COMPOSITION_HISTORY_H_
#define PAPAYADRIFT_TESTS_COMPOSITION_HISTORY_H_

#include <cstdint>
#include <functional>

#include "composition/region.h"

namespace papayadrift::test {

// A random history of faults and of what operators and callers do meanwhile.
class History {
 public:
  explicit History(uint64_t seed);

  // Runs everything. What went wrong is in region().violations().
  void Run();
  Region& region() { return region_; }

 private:
  void DoSomething();
  void BreakLog();
  void CutLogOff();
  void EndEntry();
  void PauseEntry();
  void HurtWorker();
  void CutLink();
  void RaceOperators();
  void RaceForKey();
  void SubmitJobs();
  void CancelJob();
  void DrainWorker();

  // A duration that is mostly shorter than a lease and sometimes longer.
  milliseconds SomeTime();
  EntryProcess* SomeEntry();
  WorkerProcess& SomeWorker();
  void After(milliseconds delay, std::function<void()> run);

  Region region_;
  int jobs_made_ = 0;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_COMPOSITION_HISTORY_H_
