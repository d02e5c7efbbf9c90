#ifndef PAPAYADRIFT_KEYED_LOG_TOPIC_FOLLOWER_H_
#define PAPAYADRIFT_KEYED_LOG_TOPIC_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/instant.h"
#include "keyed_log/keyed_log.h"

namespace papayadrift::keyed_log {

struct FollowerSettings {
  std::string topic;
  // Time that the store has for one answer, beyond a wait that was asked for;
  // its client may allow less.
  milliseconds answer_limit{2000};

  friend bool operator==(const FollowerSettings&,
                         const FollowerSettings&) = default;
};

// Keeps a reader in step with one topic: first the newest of each key, then
// every record behind it. A gap, when records have expired, is closed from the
// newest of each key. These are collected and handed on at once, in the order
// of the keys, so that the reader has a whole state at any time.
class TopicFollower {
 public:
  using OnRecord = std::function<void(const Record&)>;
  // Whether everything that was stored before the call has been handed on.
  using Done = std::function<void(bool is_caught_up)>;
  // Runs right before the newest of each key is handed on: what was handed on
  // before may have been dropped since.
  using OnReload = std::function<void()>;

  TopicFollower(const FollowerSettings& settings,
                KeyedLog& log,
                const Clock& clock,
                OnRecord on_record,
                OnReload on_reload = nullptr);
  ~TopicFollower();
  TopicFollower(const TopicFollower&) = delete;
  TopicFollower& operator=(const TopicFollower&) = delete;

  // Hands on all that is stored by now. Calls that come while one is under way
  // share the next.
  void CatchUp(Done done);
  // Reads on; the store may hold the answer back for `wait` while there is
  // nothing new.
  void Wait(milliseconds wait, Done done);

  // Offset behind the last record that was handed on.
  uint64_t next() const;
  bool is_loaded() const;
  // When the last read began that handed on all there was.
  Instant caught_up_at() const;

 private:
  class Private;
  const std::shared_ptr<Private> private_;
};

}  // namespace papayadrift::keyed_log

#endif  // PAPAYADRIFT_KEYED_LOG_TOPIC_FOLLOWER_H_
