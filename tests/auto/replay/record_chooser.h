#ifndef PAPAYADRIFT_TESTS_AUTO_REPLAY_RECORD_CHOOSER_H_
#define PAPAYADRIFT_TESTS_AUTO_REPLAY_RECORD_CHOOSER_H_

#include <cstdint>
#include <pcg_random.hpp>
#include <string>

#include "records/record.h"
#include "replay/decision_state.h"

namespace papayadrift::test {

// Turns random numbers into records about few workers, jobs and keys: most
// make sense in the given state, some don't.
class RecordChooser {
 public:
  // The same number and state give the same record.
  RecordChooser(const replay::DecisionState& state, uint32_t number)
      : state_(state), random_(number) {}

  // `author` is the proposer.
  records::Record Choose(const replay::EntryKey& author);

 private:
  uint32_t Pick(uint32_t n) { return random_(n); }
  records::Record ChooseMembership(const replay::EntryKey& author);
  records::Record ChooseWorker();
  records::Record ChooseTask();
  records::Record ChooseEnd(const TaskId& task);
  records::Record ChooseKey(const replay::EntryKey& author);
  records::Record ChooseKnowledge();
  records::Record ChooseJob();
  std::string PickJob();
  TaskId PickTask();
  std::string PickWorker() { return "w" + std::to_string(Pick(2)); }
  uint64_t NewestLife(const std::string& worker) const;

  const replay::DecisionState& state_;
  pcg32 random_;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_AUTO_REPLAY_RECORD_CHOOSER_H_
