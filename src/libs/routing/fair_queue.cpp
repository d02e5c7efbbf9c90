#include "routing/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace papayadrift::routing {

void FairQueue::SetWeight(const CustomerId& customer, uint32_t weight) {
  queues_[customer].weight = std::max<uint32_t>(1, weight);
}

void FairQueue::SetCost(const CustomerId& customer, microseconds cost) {
  queues_[customer].cost = std::max<int64_t>(1, cost.count());
}

void FairQueue::Push(const CustomerId& customer, RequestId request) {
  const auto it = queues_.try_emplace(customer).first;
  it->second.waiting.push_back(request);
  ++size_;
  if (!it->second.is_active) {
    it->second.is_active = true;
    active_queues_.push_back(it);
  }
}

std::optional<RequestId> FairQueue::Pop(const MaySend& may_send) {
  const int64_t quantum = Quantum();
  // Each iteration either returns a request or ends the turn of a customer. A
  // quantum covers the cost of any request, so two rounds suffice to find a
  // request that may be sent.
  for (size_t visits = 2 * active_queues_.size(); visits > 0 && size_ > 0;
       --visits) {
    const auto it = active_queues_.front();
    CustomerQueue& queue = it->second;
    if (queue.waiting.empty() || !may_send(it->first)) {
      EndTurn();
      continue;
    }
    if (queue.deficit < queue.cost) {
      queue.deficit += quantum * queue.weight;
    }
    queue.deficit -= queue.cost;
    const RequestId request = queue.waiting.front();
    queue.waiting.pop_front();
    --size_;
    if (queue.waiting.empty() || queue.deficit < queue.cost) {
      EndTurn();
    }
    return request;
  }
  return std::nullopt;
}

void FairQueue::Remove(const CustomerId& customer, RequestId request) {
  const auto it = queues_.find(customer);
  if (it == queues_.end()) {
    return;
  }
  size_ -= std::erase(it->second.waiting, request);
}

std::optional<RequestId> FairQueue::EvictFor(const CustomerId& customer) {
  const auto longest = LongestQueue();
  if (longest == queues_.end() || longest->first == customer) {
    return std::nullopt;
  }
  const CustomerQueue& own = queues_[customer];
  const CustomerQueue& other = longest->second;
  const bool is_shorter_after_joining =
      (own.waiting.size() + 1) * other.weight <
      other.waiting.size() * own.weight;
  if (!is_shorter_after_joining) {
    return std::nullopt;
  }
  return PopNewest(longest->second);
}

std::optional<RequestId> FairQueue::EvictFromLongest() {
  const auto longest = LongestQueue();
  if (longest == queues_.end()) {
    return std::nullopt;
  }
  return PopNewest(longest->second);
}

std::optional<RequestId> FairQueue::Oldest() const {
  std::optional<RequestId> oldest;
  for (const auto& [id, queue] : queues_) {
    const bool is_older =
        !queue.waiting.empty() && (!oldest || queue.waiting.front() < *oldest);
    oldest = is_older ? queue.waiting.front() : oldest;
  }
  return oldest;
}

size_t FairQueue::AheadOf(const CustomerId& customer) const {
  const auto own = queues_.find(customer);
  if (own == queues_.end()) {
    return std::min<size_t>(size_, queues_.size());
  }
  double weights = 0;
  for (const auto& [id, queue] : queues_) {
    if (id == customer || !queue.waiting.empty()) {
      weights += queue.weight;
    }
  }
  const double rounds = static_cast<double>(own->second.waiting.size()) *
                        weights / own->second.weight;
  return std::min(size_, static_cast<size_t>(rounds));
}

FairQueue::CustomerQueues::iterator FairQueue::LongestQueue() {
  const auto by_length = [](const auto& left, const auto& right) {
    return left.second.waiting.size() * right.second.weight <
           right.second.waiting.size() * left.second.weight;
  };
  const auto it = std::ranges::max_element(queues_, by_length);
  const bool is_found = it != queues_.end() && !it->second.waiting.empty();
  return is_found ? it : queues_.end();
}

RequestId FairQueue::PopNewest(CustomerQueue& queue) {
  assert(!queue.waiting.empty());
  const RequestId request = queue.waiting.back();
  queue.waiting.pop_back();
  --size_;
  return request;
}

int64_t FairQueue::Quantum() const {
  int64_t quantum = 1;
  for (const auto& it : active_queues_) {
    quantum = std::max(quantum, it->second.cost);
  }
  return quantum;
}

void FairQueue::EndTurn() {
  const auto it = active_queues_.front();
  active_queues_.pop_front();
  if (it->second.waiting.empty()) {
    it->second.deficit = 0;
    it->second.is_active = false;
    return;
  }
  active_queues_.push_back(it);
}

}  // namespace papayadrift::routing
