#include "cluster/leader_term.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>
#include <variant>

#include "base/hash.h"
#include "cluster/cluster_metrics.h"
#include "cluster/topics.h"
#include "jobs/codec.h"

namespace papayadrift::cluster {
namespace {

using logging::Event;

// Delay before a refused append is repeated.
constexpr milliseconds kRefusedRetryDelay(60);
constexpr int kMaxCandidacyAttempts = 3;

// Whether a leader can go on without the record being stored.
bool IsOptional(const keyed_log::Record& record) {
  return record.key == kLearnedKey || record.key == kAgentsKey;
}

}  // namespace

LeaderTerm::LeaderTerm(const ProcessContext& context,
                       ClusterMetrics& metrics,
                       OnElected on_elected,
                       OnEnd on_end)
    : context_(context),
      metrics_(metrics),
      on_elected_(std::move(on_elected)),
      on_end_(std::move(on_end)) {}

void LeaderTerm::After(milliseconds delay, std::function<void()> action) {
  context_.loop.RunAfter(delay,
                         [weak = weak_from_this(), action = std::move(action)] {
                           const auto self = weak.lock();
                           if (self && !self->has_ended_) {
                             action();
                           }
                         });
}

void LeaderTerm::Campaign(const jobs::LeaderRecord& candidate,
                          std::optional<uint64_t> expected_end) {
  record_ = candidate;
  expected_end_ = expected_end;
  // The store must not take the appends of two candidates for the same term for
  // repeats of one append.
  constexpr uint64_t kSequenceBits = 31;
  sequence_ =
      StableHash(record_.node + record_.address,
                 static_cast<uint64_t>(
                     context_.clock.WallNow().time_since_epoch().count())) >>
      (64 - kSequenceBits);
  SendCandidacy(context_.clock.Now(), kMaxCandidacyAttempts);
}

void LeaderTerm::SendCandidacy(Instant begun_at, int attempts_left) {
  context_.log.Write(
      keyed_log::Append{
          kProgressTopic,
          {{kLeaderKey, jobs::Encode(record_)}},
          expected_end_,
          keyed_log::Writer{kLeaderWriter, record_.term, sequence_}},
      context_.clock.Now() + kAppendTimeout,
      [weak = weak_from_this(), begun_at,
       attempts_left](const keyed_log::AppendResult& result) {
        const auto self = weak.lock();
        if (!self || self->has_ended_) {
          return;
        }
        if (std::holds_alternative<keyed_log::Stored>(result)) {
          self->confirmed_at_ = begun_at;
          self->OnCandidacyStored();
        } else if (std::holds_alternative<keyed_log::Unanswered>(result) &&
                   attempts_left > 1) {
          self->SendCandidacy(begun_at, attempts_left - 1);
        } else {
          self->End("The store rejected the candidacy or did not answer.");
        }
      });
}

void LeaderTerm::OnCandidacyStored() {
  ++sequence_;
  context_.logger.Log(Event::kLeaderElected,
                      {{"term", static_cast<int64_t>(record_.term)}});
  PublishAddress();
  is_elected_ = true;
  on_elected_();
}

void LeaderTerm::PublishAddress() {
  context_.log.Write(
      keyed_log::Append{kLeaderTopic,
                        {{kLeaderKey, jobs::Encode(record_)}},
                        std::nullopt,
                        keyed_log::Writer{kLeaderWriter, record_.term, 0}},
      context_.clock.Now() + kAppendTimeout,
      [weak = weak_from_this()](const keyed_log::AppendResult& result) {
        const auto self = weak.lock();
        if (!self || self->has_ended_ ||
            std::holds_alternative<keyed_log::Stored>(result) ||
            std::holds_alternative<keyed_log::Fenced>(result)) {
          return;
        }
        self->After(kRefusedRetryDelay,
                    [self = self.get()] { self->PublishAddress(); });
      });
}

keyed_log::Record LeaderTerm::NextHeartbeat() {
  ++record_.heartbeats;
  return {kLeaderKey, jobs::Encode(record_)};
}

void LeaderTerm::Append(std::vector<keyed_log::Record> records,
                        OnStored on_stored) {
  DropOversized(records);
  unsent_ = {std::make_move_iterator(records.begin()),
             std::make_move_iterator(records.end())};
  on_stored_ = std::move(on_stored);
  is_appending_ = true;
  WriteNext(SIZE_MAX);
}

void LeaderTerm::DropOversized(std::vector<keyed_log::Record>& records) {
  const size_t max_bytes = context_.log.limits().max_record_bytes;
  std::erase_if(records, [&](const keyed_log::Record& record) {
    const bool is_oversized =
        IsOptional(record) && keyed_log::SizeOf(record) > max_bytes;
    if (is_oversized) {
      LogRejected(record);
    }
    return is_oversized;
  });
  if (records.empty()) {
    records.push_back(NextHeartbeat());
  }
}

void LeaderTerm::LogRejected(const keyed_log::Record& record) {
  context_.logger.Log(
      Event::kAppendRejected,
      {{"key", record.key},
       {"bytes", static_cast<int64_t>(keyed_log::SizeOf(record))},
       {"term", static_cast<int64_t>(record_.term)}});
}

void LeaderTerm::WriteNext(size_t max_records) {
  const size_t max_bytes = context_.log.limits().max_request_bytes;
  append_ = {kProgressTopic,
             {},
             std::nullopt,
             keyed_log::Writer{kLeaderWriter, record_.term, sequence_}};
  size_t bytes = 0;
  while (!unsent_.empty() && append_.records.size() < max_records) {
    bytes += keyed_log::SizeOf(unsent_.front());
    if (bytes > max_bytes && !append_.records.empty()) {
      break;
    }
    append_.records.push_back(std::move(unsent_.front()));
    unsent_.pop_front();
  }
  append_begun_at_ = context_.clock.Now();
  may_be_stored_ = false;
  Write();
}

void LeaderTerm::OnRejected() {
  const size_t count = append_.records.size();
  if (may_be_stored_) {
    // The store would take another append with this sequence number for a
    // repeat of the one that it may have stored.
    End("The store rejected an append that it may have stored.");
    return;
  }
  if (count == 1) {
    const keyed_log::Record& record = append_.records.front();
    LogRejected(record);
    if (!IsOptional(record)) {
      // What rests on the record must not be taken for stored. The next leader
      // goes on from the state without it.
      End("The store rejected a record for good.");
      return;
    }
    append_.records.clear();
    if (unsent_.empty()) {
      unsent_.push_back(NextHeartbeat());
    }
  }
  // Halves find the record at fault with few appends.
  for (keyed_log::Record& record : append_.records | std::views::reverse) {
    unsent_.push_front(std::move(record));
  }
  After(kRefusedRetryDelay,
        [this, count] { WriteNext(std::max<size_t>(1, count / 2)); });
}

void LeaderTerm::Write() {
  written_at_ = context_.clock.Now();
  context_.log.Write(
      append_, written_at_ + kAppendTimeout,
      [weak = weak_from_this()](const keyed_log::AppendResult& result) {
        const auto self = weak.lock();
        if (self && !self->has_ended_) {
          self->OnWritten(result);
        }
      });
}

void LeaderTerm::OnWritten(const keyed_log::AppendResult& result) {
  if (std::holds_alternative<keyed_log::Stored>(result)) {
    confirmed_at_ = append_begun_at_;
    metrics_.OnAppendStored(context_.clock.Now() - written_at_);
    ++sequence_;
    if (!unsent_.empty()) {
      WriteNext(SIZE_MAX);
      return;
    }
    is_appending_ = false;
    std::exchange(on_stored_, {})();
    if (resignation_ && !record_.has_resigned) {
      AppendResignation();
    }
    return;
  }
  if (std::holds_alternative<keyed_log::Fenced>(result) ||
      std::holds_alternative<keyed_log::Moved>(result)) {
    End("The store rejected an append because of a later term.");
    return;
  }
  if (std::holds_alternative<keyed_log::Unanswered>(result)) {
    may_be_stored_ = true;
    Write();
    return;
  }
  if (std::holds_alternative<keyed_log::Rejected>(result)) {
    OnRejected();
    return;
  }
  After(kRefusedRetryDelay, [this] { Write(); });
}

void LeaderTerm::Resign(const std::string& successor,
                        LastRecords last_records,
                        OnResigned on_resigned) {
  resignation_ = {successor, std::move(last_records), std::move(on_resigned)};
  if (!is_appending_) {
    AppendResignation();
  }
}

void LeaderTerm::AppendResignation() {
  record_.has_resigned = true;
  record_.successor = resignation_->successor;
  std::vector<keyed_log::Record> records = resignation_->last_records();
  records.push_back({kLeaderKey, jobs::Encode(record_)});
  Append(std::move(records), [this] {
    resignation_->on_resigned();
    End("It has resigned.");
  });
}

void LeaderTerm::End(std::string_view reason) {
  if (has_ended_) {
    return;
  }
  has_ended_ = true;
  context_.logger.Log(Event::kLeaderEnded,
                      {{"term", static_cast<int64_t>(record_.term)},
                       {"reason", std::string(reason)}});
  on_end_();
}

}  // namespace papayadrift::cluster
