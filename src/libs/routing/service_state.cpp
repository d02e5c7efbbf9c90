#include "routing/service_state.h"

#include <algorithm>

#include "base/hash.h"

namespace papayadrift::routing {

namespace {

constexpr double kCostWeight = 0.1;
constexpr double kMedian = 0.5;

}  // namespace

ServiceState::ServiceState(const RoutingSettings& settings,
                           const ServiceId& service)
    : settings_(settings),
      pool_(settings.runners,
            settings.zone,
            StableHash(service.text(), settings.random_seed)),
      limit_(settings.limits),
      budget_(settings.extra_sends_per_request,
              settings.maximum_extra_sends_saved) {}

void ServiceState::Update(const ServiceRoute& route,
                          const SlotCounters& counters,
                          Instant now) {
  route_ = route;
  updated_at_ = now;
  pool_.Update(route.runners, counters, now);
  budget_.SetRatio(route.extra_sends_per_request.value_or(
      settings_.extra_sends_per_request));
  for (const CustomerWeight& it : route.weights) {
    queue_.SetWeight(it.customer, it.weight);
  }
  UpdateLimits();
}

void ServiceState::UpdateLimits() {
  const int32_t slots = pool_.usable_slots();
  limit_.SetCeiling(slots);
  for (auto& [id, customer] : customers_) {
    customer.limit.SetCeiling(slots);
  }
}

void ServiceState::RemoveRunners() {
  pool_.Update({}, {}, Instant());
}

size_t ServiceState::maximum_queue() const {
  return route_.maximum_queue.value_or(settings_.maximum_queued_per_service);
}

std::optional<AdmissionRefusal> ServiceState::CheckAdmission(
    const RequestInfo& info,
    Instant now) const {
  if (info.body_bytes > route_.maximum_body_bytes) {
    return AdmissionRefusal{RefusalReason::kBodyTooLarge, std::nullopt};
  }
  if (info.deadline - settings_.reply_margin <= now) {
    return AdmissionRefusal{RefusalReason::kDeadlinePassed, std::nullopt};
  }
  if (!route_.is_idempotent && info.key.is_empty()) {
    return AdmissionRefusal{RefusalReason::kKeyMissing, std::nullopt};
  }
  if (pool_.usable_slots() == 0) {
    return RefuseLater(RefusalReason::kNoRunner, now);
  }
  const bool is_alone = in_flight_ == 0 && queue_.size() == 0;
  if (!settings_.has_admission || is_alone) {
    return std::nullopt;
  }
  const Instant latest_start = LatestStart(info.deadline);
  if (latest_start < now) {
    return RefuseLater(RefusalReason::kDeadlineTooClose, now);
  }
  const microseconds wait = PredictedWait(info.customer);
  const Instant predicted_start = now + wait;
  if (latest_start < predicted_start || wait > LongestWait()) {
    return AdmissionRefusal{RefusalReason::kOverloaded, predicted_start};
  }
  return std::nullopt;
}

ServiceLoad ServiceState::LoadFor(const CustomerId& customer) const {
  return {queue_.size(),
          in_flight_,
          limit_.limit(),
          pool_.usable_slots(),
          ExpectedServiceTime(),
          PredictedWait(customer),
          updated_at_};
}

Instant ServiceState::LatestStart(Instant deadline) const {
  const Instant answer_by = deadline - settings_.reply_margin;
  if (!settings_.has_admission) {
    return answer_by;
  }
  return answer_by - ExpectedServiceTime();
}

bool ServiceState::IsWorthSending(Instant deadline, Instant now) const {
  const bool would_be_alone = in_flight_ == 0;
  return now <= LatestStart(deadline) ||
         (would_be_alone && now < deadline - settings_.reply_margin);
}

Instant ServiceState::HedgeAt(Instant sent_at) const {
  const auto delay = answers_.Quantile(settings_.hedge_quantile);
  return sent_at + delay.value_or(route_.latency_target);
}

std::optional<RequestId> ServiceState::PopNext() {
  return queue_.Pop(
      [this](const CustomerId& customer) { return HasRoomFor(customer); });
}

bool ServiceState::HasRoomFor(const CustomerId& customer) const {
  const auto it = customers_.find(customer);
  const bool is_below =
      it == customers_.end() || it->second.in_flight < it->second.limit.limit();
  return HasRoom() && is_below;
}

bool ServiceState::HasRoom() const {
  return in_flight_ < limit_.limit();
}

void ServiceState::RecordSent(const CustomerId& customer) {
  ++in_flight_;
  ++CustomerOf(customer).in_flight;
}

void ServiceState::RecordEnded(const CustomerId& customer) {
  --in_flight_;
  --CustomerOf(customer).in_flight;
}

void ServiceState::RecordAnswered(const CustomerId& customer,
                                  microseconds latency,
                                  Instant now) {
  answers_.Record(latency, now);
  RecordAny(customer, latency, now);
}

void ServiceState::RecordUnanswered(const CustomerId& customer,
                                    microseconds waited,
                                    Instant now) {
  // A lower bound of the latency is informative only if it exceeds the expected
  // latency.
  if (waited >= ExpectedServiceTime()) {
    RecordAny(customer, waited, now);
  }
}

void ServiceState::RecordAny(const CustomerId& customer,
                             microseconds latency,
                             Instant now) {
  all_.Record(latency, now);
  limit_.Record(latency, in_flight_);
  Customer& own = CustomerOf(customer);
  own.limit.Record(latency, own.in_flight);
  const auto value = static_cast<double>(latency.count());
  own.mean_latency +=
      own.mean_latency == 0 ? value : kCostWeight * (value - own.mean_latency);
  queue_.SetCost(customer,
                 microseconds(static_cast<int64_t>(own.mean_latency)));
}

microseconds ServiceState::ExpectedServiceTime() const {
  const microseconds zero(0);
  const auto answered = answers_.Quantile(settings_.admission_quantile);
  // If runners mostly miss the deadline, there are few responses to estimate
  // from.
  const auto median = all_.Quantile(kMedian);
  return std::max(answered.value_or(zero), median.value_or(zero));
}

ServiceState::Customer& ServiceState::CustomerOf(const CustomerId& customer) {
  const auto it = customers_.find(customer);
  if (it != customers_.end()) {
    return it->second;
  }
  ConcurrencyLimit limit(settings_.limits);
  limit.SetCeiling(pool_.usable_slots());
  return customers_.emplace(customer, Customer{limit}).first->second;
}

microseconds ServiceState::PredictedWait(const CustomerId& customer) const {
  const auto mean = all_.Mean();
  const int32_t servers = std::min(limit_.limit(), pool_.usable_slots());
  const bool is_free = queue_.size() == 0 && in_flight_ < servers;
  if (!mean || is_free) {
    return microseconds(0);
  }
  const auto places = static_cast<int64_t>(queue_.AheadOf(customer)) + 1;
  return *mean * places / std::max(1, servers);
}

microseconds ServiceState::LongestWait() const {
  const microseconds for_target = route_.latency_target - ExpectedServiceTime();
  return std::max(for_target, all_.Mean().value_or(microseconds(0)));
}

AdmissionRefusal ServiceState::RefuseLater(RefusalReason reason,
                                           Instant now) const {
  return {reason, now + settings_.default_retry_delay};
}

}  // namespace papayadrift::routing
