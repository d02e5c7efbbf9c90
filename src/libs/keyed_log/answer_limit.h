#ifndef PAPAYADRIFT_KEYED_LOG_ANSWER_LIMIT_H_
#define PAPAYADRIFT_KEYED_LOG_ANSWER_LIMIT_H_

#include "base/instant.h"

namespace papayadrift::keyed_log {

// How long to wait for an answer of the store before a call is repeated.
// Answers outages that lose answers as well as those that slow them down: the
// limit follows the latency, and rises while nothing comes at all.
class AnswerLimit {
 public:
  milliseconds Current() const { return limit_; }
  void OnAnswer(microseconds latency);
  void OnTimeout();

 private:
  microseconds smoothed_{20000};
  milliseconds limit_{200};
};

}  // namespace papayadrift::keyed_log

#endif  // PAPAYADRIFT_KEYED_LOG_ANSWER_LIMIT_H_
