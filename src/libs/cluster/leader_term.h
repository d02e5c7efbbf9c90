#ifndef PAPAYADRIFT_CLUSTER_LEADER_TERM_H_
#define PAPAYADRIFT_CLUSTER_LEADER_TERM_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/process_context.h"
#include "jobs/leader_record.h"

namespace papayadrift::cluster {

class ClusterMetrics;

// Timeout of one append, after which it is repeated with the same sequence
// number. The store's client may give up sooner.
inline constexpr milliseconds kAppendTimeout(2000);

// One term in the store: the candidacy, the appends that only its leader can
// make, and its end. The term's number is the epoch of these appends, so that
// the store refuses them once there is a later term.
class LeaderTerm : public std::enable_shared_from_this<LeaderTerm> {
 public:
  using OnElected = std::function<void()>;
  // Called once, when the term has ended or the election was lost.
  using OnEnd = std::function<void()>;
  using OnStored = std::function<void()>;
  using OnResigned = std::function<void()>;
  // Returns what is to be stored together with the resignation.
  using LastRecords = std::function<std::vector<keyed_log::Record>()>;

  LeaderTerm(const ProcessContext& context,
             ClusterMetrics& metrics,
             OnElected on_elected,
             OnEnd on_end);
  LeaderTerm(const LeaderTerm&) = delete;
  LeaderTerm& operator=(const LeaderTerm&) = delete;

  // Campaigns for the term that `candidate` names. Fails if the progress topic
  // doesn't end at `expected_end`.
  void Campaign(const jobs::LeaderRecord& candidate,
                std::optional<uint64_t> expected_end);
  // Appends to the progress topic, and repeats it until it is stored or the
  // term has ended. Only one append may be under way. Records beyond what the
  // store takes at once are stored in several appends, in their order, and
  // `on_stored` is called after the last. What the leader has learned, and the
  // list of agents, are left out if the store doesn't take them; if it rejects
  // another record, the term ends.
  void Append(std::vector<keyed_log::Record> records, OnStored on_stored);
  // Returns a record for an append of a leader that has nothing to store.
  keyed_log::Record NextHeartbeat();
  // Resigns once the append under way is stored; `last_records` is called then.
  // `successor` is the node that should campaign first; empty: none. The term
  // ends after `on_resigned`.
  void Resign(const std::string& successor,
              LastRecords last_records,
              OnResigned on_resigned);
  void End(std::string_view reason);
  // Calls `action` after `delay` unless the term has ended by then.
  void After(milliseconds delay, std::function<void()> action);

  const jobs::LeaderRecord& record() const { return record_; }
  // Start of the last append by which the store confirmed the term: of its
  // first try, since it may have been stored then.
  Instant confirmed_at() const { return confirmed_at_; }
  bool is_elected() const { return is_elected_; }
  bool is_appending() const { return is_appending_; }
  bool has_ended() const { return has_ended_; }

 private:
  struct Resignation {
    std::string successor;
    LastRecords last_records;
    OnResigned on_resigned;
  };

  void SendCandidacy(Instant begun_at, int attempts_left);
  void OnCandidacyStored();
  void PublishAddress();
  // Leaves out optional records that are larger than the store takes.
  void DropOversized(std::vector<keyed_log::Record>& records);
  void LogRejected(const keyed_log::Record& record);
  // Writes as many of the unsent records as fit, at most `max_records`.
  void WriteNext(size_t max_records);
  void OnRejected();
  void Write();
  void OnWritten(const keyed_log::AppendResult& result);
  void AppendResignation();

  const ProcessContext context_;
  ClusterMetrics& metrics_;
  const OnElected on_elected_;
  const OnEnd on_end_;
  jobs::LeaderRecord record_;
  std::optional<uint64_t> expected_end_;
  uint64_t sequence_ = 0;
  Instant confirmed_at_;
  bool is_elected_ = false;
  bool is_appending_ = false;
  bool has_ended_ = false;
  keyed_log::Append append_;              // The one under way.
  std::deque<keyed_log::Record> unsent_;  // The rest, for the next ones.
  Instant append_begun_at_;
  Instant written_at_;          // Start of its last try.
  bool may_be_stored_ = false;  // A try of it was not answered.
  OnStored on_stored_;          // Of the append under way.
  std::optional<Resignation> resignation_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_LEADER_TERM_H_
