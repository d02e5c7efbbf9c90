#include "proposals/proposal_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <ranges>
#include <utility>

#include "records/codec.h"

namespace papayadrift::proposals {

namespace {

constexpr uint64_t kMinimumOffsetMargin = 16;
constexpr microseconds kRatePeriod = seconds(1);
constexpr microseconds kNoOperationDelay = milliseconds(20);

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};

}  // namespace

ProposalQueue::ProposalQueue(EntryId author,
                             Incarnation incarnation,
                             Offset next_offset,
                             const QueueLimits& limits,
                             uint64_t seed)
    : author_(std::move(author)),
      incarnation_(incarnation),
      limits_(limits),
      budget_(limits.append_interval, limits.append_burst),
      back_off_(seed),
      next_offset_(next_offset),
      tail_(next_offset),
      rate_period_start_(next_offset) {}

std::optional<Instant> ProposalQueue::wake_at() const {
  std::optional<Instant> append_at = GroupDueAt();
  const std::optional<Instant> no_operation_at = NoOperationDueAt();
  if (!append_at || (no_operation_at && *no_operation_at < *append_at)) {
    append_at = no_operation_at;
  }
  if (!append_at || is_in_flight_) {
    return next_give_up_at_;
  }
  const Instant allowed_at =
      std::max({*append_at, back_off_.retry_at(), budget_.NextTokenAt()});
  return next_give_up_at_ ? std::min(allowed_at, *next_give_up_at_)
                          : allowed_at;
}

std::optional<Ticket> ProposalQueue::Submit(Instant now,
                                            records::Record record,
                                            std::optional<Instant> give_up_at) {
  last_reason_.reset();
  if (pending_.size() >= limits_.maximum_pending) {
    last_reason_ = SubmitFault::kQueueFull;
    return std::nullopt;
  }
  const records::Batch batch = {
      {.id = {}, .last_offset = {}, .record = record}};
  // Upper bound of what the numbers in the proposal's header add once they are
  // set.
  const size_t bytes =
      records::Encode(batch).size() + author_.text().size() + 32;
  if (bytes > limits_.maximum_bytes_per_append) {
    last_reason_ = SubmitFault::kTooLarge;
    return std::nullopt;
  }
  const Ticket ticket(++last_ticket_);
  AddPending({.ticket = ticket,
              .record = std::move(record),
              .bytes = bytes,
              .submitted_at = now,
              .give_up_at = give_up_at});
  return ticket;
}

std::vector<QueueAction> ProposalQueue::OnTime(Instant now) {
  std::vector<QueueAction> actions;
  ExpirePending(now, actions);
  if (is_in_flight_ || now < back_off_.retry_at() || !budget_.HasToken(now)) {
    return actions;
  }
  const std::optional<Instant> group_at = GroupDueAt();
  const std::optional<Instant> no_operation_at = NoOperationDueAt();
  if (group_at && now >= *group_at) {
    actions.emplace_back(AppendGroup(now));
  } else if (no_operation_at && now >= *no_operation_at) {
    actions.emplace_back(AppendNoOperation(now));
  }
  return actions;
}

std::vector<QueueAction> ProposalQueue::OnAppendResult(
    Instant now,
    AppendId append,
    const log::AppendResult& result) {
  if (!is_in_flight_ || append != last_append_) {
    return {};
  }
  is_in_flight_ = false;
  std::visit(Overloaded{[&](const log::Appended& appended) {
                          back_off_.OnSuccess();
                          OnStored(appended.offset);
                        },
                        [&](const log::AppendRefused&) {
                          back_off_.OnFailure(now);
                          OnRefused();
                        },
                        [&](const log::AppendUnanswered&) {
                          back_off_.OnFailure(now);
                          OnUnanswered();
                        }},
             result);
  in_flight_.clear();
  return OnTime(now);
}

std::vector<QueueAction> ProposalQueue::OnRead(
    Instant now,
    Offset offset,
    std::span<const ReadProposal> proposals) {
  assert(offset == next_offset_);
  next_offset_ = offset.Next();
  last_progress_at_ = now;
  OnTail(next_offset_);
  MeasureRate(now);
  std::vector<QueueAction> actions;
  uint32_t i = 0;
  for (const ReadProposal& read : proposals) {
    const uint32_t index_in_batch = i++;
    if (read.id.author != author_ || read.id.incarnation != incarnation_) {
      continue;
    }
    const auto it = sent_.find(Ticket(read.id.sequence));
    if (it == sent_.end() || offset > it->second.last_offset) {
      continue;
    }
    Resolve(it,
            ProposalDecided{.offset = offset,
                            .index_in_batch = index_in_batch,
                            .verdict = read.verdict},
            actions);
  }
  for (auto it = sent_.begin(); it != sent_.end();) {
    const auto next = std::next(it);
    if (it->second.last_offset <= offset) {
      Resolve(it, ProposalExpired(), actions);
    }
    it = next;
  }
  return actions;
}

std::vector<QueueAction> ProposalQueue::OnGap(Offset next_offset) {
  assert(next_offset >= next_offset_);
  if (next_offset == next_offset_) {
    return {};  // No records were skipped.
  }
  next_offset_ = next_offset;
  OnTail(next_offset);
  std::vector<QueueAction> actions;
  while (!sent_.empty()) {
    Resolve(sent_.begin(), ProposalUnknown(), actions);
  }
  return actions;
}

void ProposalQueue::OnTail(Offset next) {
  tail_ = std::max(tail_, next);
}

void ProposalQueue::Resolve(SentMap::iterator it,
                            const ProposalOutcome& outcome,
                            std::vector<QueueAction>& actions) {
  if (it->second.is_unanswered) {
    --unanswered_count_;
  }
  actions.emplace_back(ReportOutcome{.ticket = it->first, .outcome = outcome});
  sent_.erase(it);
}

void ProposalQueue::ExpirePending(Instant now,
                                  std::vector<QueueAction>& actions) {
  if (!next_give_up_at_ || now < *next_give_up_at_) {
    return;
  }
  next_give_up_at_.reset();
  std::deque<Pending> kept;
  kept.swap(pending_);
  pending_bytes_ = 0;
  for (Pending& pending : kept) {
    if (pending.give_up_at && now >= *pending.give_up_at) {
      actions.emplace_back(ReportOutcome{.ticket = pending.ticket,
                                         .outcome = ProposalExpired()});
    } else {
      AddPending(std::move(pending));
    }
  }
}

void ProposalQueue::AddPending(Pending pending) {
  UpdateNextGiveUp(pending);
  pending_bytes_ += pending.bytes;
  pending_.push_back(std::move(pending));
}

void ProposalQueue::UpdateNextGiveUp(const Pending& pending) {
  if (pending.give_up_at) {
    next_give_up_at_ = std::min(next_give_up_at_.value_or(*pending.give_up_at),
                                *pending.give_up_at);
  }
}

std::optional<Instant> ProposalQueue::GroupDueAt() const {
  if (pending_.empty()) {
    return std::nullopt;
  }
  const bool is_full =
      pending_.size() >= limits_.maximum_proposals_per_append ||
      pending_bytes_ >= limits_.maximum_bytes_per_append;
  const Instant submitted_at = pending_.front().submitted_at;
  return is_full ? submitted_at : submitted_at + limits_.group_delay;
}

std::optional<Instant> ProposalQueue::NoOperationDueAt() const {
  if (unanswered_count_ == 0) {
    return std::nullopt;
  }
  return last_progress_at_ + kNoOperationDelay;
}

std::vector<ProposalQueue::Pending> ProposalQueue::TakeGroup() {
  std::vector<Pending> group;
  size_t bytes = 0;
  while (!pending_.empty() &&
         group.size() < limits_.maximum_proposals_per_append) {
    Pending& first = pending_.front();
    if (bytes + first.bytes > limits_.maximum_bytes_per_append) {
      break;
    }
    bytes += first.bytes;
    group.push_back(std::move(first));
    pending_.pop_front();
  }
  pending_bytes_ -= bytes;
  return group;
}

StartAppend ProposalQueue::AppendGroup(Instant now) {
  records::Batch batch;
  for (Pending& pending : TakeGroup()) {
    batch.push_back({.id = {.author = author_,
                            .incarnation = incarnation_,
                            .sequence = pending.ticket.value()},
                     .last_offset = LastOffset(),
                     .record = pending.record});
    in_flight_.push_back(pending.ticket);
    Sent& sent = sent_[pending.ticket];
    sent.last_offset = LastOffset();
    sent.retry = std::move(pending);
  }
  return Start(now, batch);
}

StartAppend ProposalQueue::AppendNoOperation(Instant now) {
  const records::Batch batch = {{.id = {.author = author_,
                                        .incarnation = incarnation_,
                                        .sequence = ++last_ticket_},
                                 .last_offset = LastOffset(),
                                 .record = records::NoOperation()}};
  return Start(now, batch);
}

StartAppend ProposalQueue::Start(Instant now, const records::Batch& batch) {
  budget_.Take(now);
  is_in_flight_ = true;
  last_progress_at_ = now;
  last_append_ = last_append_.Next();
  return {.append = last_append_, .bytes = records::Encode(batch)};
}

void ProposalQueue::OnStored(Offset offset) {
  OnTail(offset.Next());
  for (const Ticket ticket : in_flight_) {
    const auto it = sent_.find(ticket);
    if (it != sent_.end()) {
      it->second.retry.reset();
    }
  }
}

void ProposalQueue::OnRefused() {
  for (const Ticket ticket : in_flight_ | std::views::reverse) {
    const auto it = sent_.find(ticket);
    if (it == sent_.end()) {
      continue;
    }
    Pending pending = std::move(*it->second.retry);
    sent_.erase(it);
    UpdateNextGiveUp(pending);
    pending_bytes_ += pending.bytes;
    pending_.push_front(std::move(pending));
  }
}

void ProposalQueue::OnUnanswered() {
  for (const Ticket ticket : in_flight_) {
    const auto it = sent_.find(ticket);
    if (it != sent_.end()) {
      it->second.retry.reset();
      it->second.is_unanswered = true;
      ++unanswered_count_;
    }
  }
}

void ProposalQueue::MeasureRate(Instant now) {
  if (now < rate_period_ends_at_) {
    return;
  }
  const bool is_next = now < rate_period_ends_at_ + kRatePeriod;
  offsets_of_last_period_ =
      is_next ? next_offset_.value() - rate_period_start_.value() : 0;
  rate_period_start_ = next_offset_;
  rate_period_ends_at_ = now + kRatePeriod;
}

Offset ProposalQueue::LastOffset() const {
  // Twice the offsets of the last second leave room for slow appends and reads.
  return Offset(tail_.value() + kMinimumOffsetMargin +
                2 * offsets_of_last_period_);
}

}  // namespace papayadrift::proposals
