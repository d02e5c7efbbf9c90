#include "routing/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace papayadrift::routing {

void FairQueue::SetWeight(const CustomerId& customer, uint32_t weight) {
  lanes_[customer].weight = std::max<uint32_t>(1, weight);
}

void FairQueue::SetCost(const CustomerId& customer, microseconds cost) {
  lanes_[customer].cost = std::max<int64_t>(1, cost.count());
}

void FairQueue::Push(const CustomerId& customer, RequestId request) {
  const auto it = lanes_.try_emplace(customer).first;
  it->second.waiting.push_back(request);
  ++size_;
  if (!it->second.is_in_turn) {
    it->second.is_in_turn = true;
    turns_.push_back(it);
  }
}

std::optional<RequestId> FairQueue::Pop(const MaySend& may_send) {
  const int64_t quantum = Quantum();
  // Each visit either serves, or ends the turn; a quantum pays for a request,
  // so two rounds find one that may be served.
  for (size_t visits = 2 * turns_.size(); visits > 0 && size_ > 0; --visits) {
    const auto it = turns_.front();
    Lane& lane = it->second;
    if (lane.waiting.empty() || !may_send(it->first)) {
      EndTurn();
      continue;
    }
    if (lane.deficit < lane.cost) {
      lane.deficit += quantum * lane.weight;
    }
    lane.deficit -= lane.cost;
    const RequestId request = lane.waiting.front();
    lane.waiting.pop_front();
    --size_;
    if (lane.waiting.empty() || lane.deficit < lane.cost) {
      EndTurn();
    }
    return request;
  }
  return std::nullopt;
}

void FairQueue::Remove(const CustomerId& customer, RequestId request) {
  const auto it = lanes_.find(customer);
  if (it == lanes_.end()) {
    return;
  }
  size_ -= std::erase(it->second.waiting, request);
}

std::optional<RequestId> FairQueue::PushOutFor(const CustomerId& customer) {
  const auto longest = Longest();
  if (longest == lanes_.end() || longest->first == customer) {
    return std::nullopt;
  }
  const Lane& own = lanes_[customer];
  const Lane& other = longest->second;
  const bool is_shorter_after_joining =
      (own.waiting.size() + 1) * other.weight <
      other.waiting.size() * own.weight;
  if (!is_shorter_after_joining) {
    return std::nullopt;
  }
  return TakeNewest(longest->second);
}

std::optional<RequestId> FairQueue::PushOut() {
  const auto longest = Longest();
  if (longest == lanes_.end()) {
    return std::nullopt;
  }
  return TakeNewest(longest->second);
}

std::optional<RequestId> FairQueue::Oldest() const {
  std::optional<RequestId> oldest;
  for (const auto& [id, lane] : lanes_) {
    const bool is_older =
        !lane.waiting.empty() && (!oldest || lane.waiting.front() < *oldest);
    oldest = is_older ? lane.waiting.front() : oldest;
  }
  return oldest;
}

size_t FairQueue::AheadOf(const CustomerId& customer) const {
  const auto own = lanes_.find(customer);
  if (own == lanes_.end()) {
    return std::min<size_t>(size_, lanes_.size());
  }
  double weights = 0;
  for (const auto& [id, lane] : lanes_) {
    if (id == customer || !lane.waiting.empty()) {
      weights += lane.weight;
    }
  }
  const double rounds = static_cast<double>(own->second.waiting.size()) *
                        weights / own->second.weight;
  return std::min(size_, static_cast<size_t>(rounds));
}

FairQueue::Lanes::iterator FairQueue::Longest() {
  const auto by_length = [](const auto& left, const auto& right) {
    return left.second.waiting.size() * right.second.weight <
           right.second.waiting.size() * left.second.weight;
  };
  const auto it = std::ranges::max_element(lanes_, by_length);
  const bool is_found = it != lanes_.end() && !it->second.waiting.empty();
  return is_found ? it : lanes_.end();
}

RequestId FairQueue::TakeNewest(Lane& lane) {
  assert(!lane.waiting.empty());
  const RequestId request = lane.waiting.back();
  lane.waiting.pop_back();
  --size_;
  return request;
}

int64_t FairQueue::Quantum() const {
  int64_t quantum = 1;
  for (const auto& it : turns_) {
    quantum = std::max(quantum, it->second.cost);
  }
  return quantum;
}

void FairQueue::EndTurn() {
  const auto it = turns_.front();
  turns_.pop_front();
  if (it->second.waiting.empty()) {
    it->second.deficit = 0;
    it->second.is_in_turn = false;
    return;
  }
  turns_.push_back(it);
}

}  // namespace papayadrift::routing
