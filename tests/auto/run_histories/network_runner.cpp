#include "network_runner.h"

#include <optional>
#include <utility>

namespace papayadrift::run_histories {

NetworkRunner::NetworkRunner(size_t index,
                             const Clock& clock,
                             ProcessLoop& loop,
                             Network& network,
                             ModelRunner& runner)
    : index_(index),
      clock_(clock),
      loop_(loop),
      network_(network),
      runner_(runner) {}

milliseconds NetworkRunner::TimeoutOf(Instant deadline) const {
  return std::chrono::ceil<milliseconds>(deadline - clock_.Now());
}

void NetworkRunner::RenewLease(
    const std::string& /*address*/,
    const std::string& instance,
    const cluster::LeaseRenewalRequest& call,
    Instant deadline,
    std::function<void(cluster::LeaseRenewalResult)> done) {
  using Result = cluster::LeaseRenewalResult;
  const Network::Done<Result> finish =
      [done = std::move(done)](const std::optional<Result>& result) {
        done(result.value_or(cluster::RunnerFailure::kUnanswered));
      };
  network_.Call<Result>(
      {LinkKind::kHold, index_}, TimeoutOf(deadline),
      [&runner = runner_, call, instance](
          const Delivery& delivery, const Network::Respond<Result>& respond) {
        if (delivery.is_refused) {
          respond(cluster::RunnerFailure::kNotListening);
          return;
        }
        runner.Receive(delivery.held_up, [&runner, call, instance, respond] {
          runner.Hold(instance, call, respond);
        });
      },
      loop_.Enter(finish));
}

void NetworkRunner::SendOrder(const std::string& /*address*/,
                              const std::string& instance,
                              const jobs::Order& order,
                              uint64_t fencing_token,
                              int64_t lease_until_ms,
                              Instant deadline,
                              std::function<void(jobs::OrderVerdict)> done) {
  using jobs::OrderVerdict;
  const Network::Done<OrderVerdict> finish =
      [done = std::move(done)](const std::optional<OrderVerdict>& verdict) {
        done(verdict.value_or(OrderVerdict::kUnanswered));
      };
  network_.Call<OrderVerdict>(
      {LinkKind::kOrder, index_}, TimeoutOf(deadline),
      [&runner = runner_, instance, order, fencing_token, lease_until_ms](
          const Delivery& delivery,
          const Network::Respond<OrderVerdict>& respond) {
        runner.Receive(delivery.held_up,
                       [&runner, instance, order, fencing_token, lease_until_ms,
                        respond, sent_at = delivery.sent_at] {
                         respond(runner.Execute(instance, order, fencing_token,
                                                lease_until_ms, sent_at));
                       });
      },
      loop_.Enter(finish));
}

}  // namespace papayadrift::run_histories
