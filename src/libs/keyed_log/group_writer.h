#ifndef PAPAYADRIFT_KEYED_LOG_GROUP_WRITER_H_
#define PAPAYADRIFT_KEYED_LOG_GROUP_WRITER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/instant.h"
#include "keyed_log/keyed_log.h"

namespace papayadrift::keyed_log {

// Appends records to one topic, together where they come faster than the store
// answers. Answers the load in which a slow store takes one append after the
// other: appends of one record each would queue up there without bound.
class GroupWriter {
 public:
  using Done = std::function<void(AppendResult)>;

  GroupWriter(std::string topic, KeyedLog& log, const Clock& clock);
  GroupWriter(const GroupWriter&) = delete;
  GroupWriter& operator=(const GroupWriter&) = delete;

  // Runs `done` once, with the result of the append that has the record. The
  // append may end early, unanswered, at the deadline of another of its
  // records. A record that the store rejects fails alone.
  void Write(Record record, Instant deadline, Done done);

 private:
  struct Item {
    Record record;
    Instant deadline;
    Done done;
    bool is_alone = false;  // The store rejected an append with others.
  };

  // Whether an append may leave though others are under way.
  bool IsOverdue(Instant now) const;
  void SendNext();
  // Returns how many of the waiting records fit in one append.
  size_t CountOfNext() const;
  void OnAnswered(std::vector<Item> items,
                  Instant sent_at,
                  const AppendResult& result);

  const std::string topic_;
  KeyedLog& log_;
  const Clock& clock_;
  std::deque<Item> waiting_;
  int under_way_ = 0;
  Instant sent_at_;                // Of the last append.
  microseconds usual_time_{5000};  // Of an append, smoothed; at first a guess.
  // Callbacks of the log may come after this object is gone.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace papayadrift::keyed_log

#endif  // PAPAYADRIFT_KEYED_LOG_GROUP_WRITER_H_
