#ifndef PAPAYADRIFT_KEYED_LOG_ANSWER_LIMIT_H_
#define PAPAYADRIFT_KEYED_LOG_ANSWER_LIMIT_H_

#include "base/instant.h"

namespace papayadrift::keyed_log {

// How long to wait for an answer of the store before a call is repeated.
// Answers outages that lose answers as well as those that slow them down: the
// limit follows the latency, and rises while nothing comes at all. A process
// that is slow itself allows for the turns of its event loop that a call takes:
// an answer that waits in the process is no sign of an outage.
class AnswerLimit {
 public:
  milliseconds Current() const;
  void OnAnswer(microseconds latency);
  void OnTimeout();
  // An event of this process has waited for its turn for `wait`.
  void OnTurn(microseconds wait);

 private:
  microseconds smoothed_{20000};
  microseconds turn_{0};  // The longest of late.
  milliseconds limit_{200};
};

}  // namespace papayadrift::keyed_log

#endif  // PAPAYADRIFT_KEYED_LOG_ANSWER_LIMIT_H_
