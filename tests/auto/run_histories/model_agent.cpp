#include "model_agent.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "cluster/topics.h"
#include "jobs/codec.h"
#include "workload.h"

namespace papayadrift::run_histories {
namespace {

// As in runner_agent.cpp.
constexpr milliseconds kLeaderLookupDelay(250);
constexpr milliseconds kLeaderLookupTimeout(1500);

cluster::RunnerAgentSettings SettingsOf(size_t index) {
  cluster::RunnerAgentSettings settings;
  settings.node = "n" + std::to_string(index);
  settings.address = std::to_string(index);
  settings.service = Routes().services.front().name;
  return settings;
}

}  // namespace

struct ModelAgent::PendingOrders {
  jobs::OrderBatch batch;
  jobs::OrderAnswer answer;
  Network::Respond<jobs::OrderAnswer> respond;
  size_t open = 0;
};

ModelAgent::ModelAgent(size_t index,
                       milliseconds clock_lead,
                       Simulation& simulation,
                       Network& network,
                       keyed_log::KeyedLog& store,
                       Wiring& wiring,
                       ModelRunner& runner)
    : index_(index),
      clock_lead_(clock_lead),
      settings_(SettingsOf(index)),
      simulation_(simulation),
      network_(network),
      store_(store),
      wiring_(wiring),
      runner_(runner),
      session_(settings_, simulation.UnixMs()),
      renewal_timer_(simulation),
      report_timer_(simulation) {}

void ModelAgent::OnAnnouncement(const cluster::Announcement& announcement) {
  const auto verdict = session_.OnAnnouncement(announcement, Now(),
                                               simulation_.clock().WallNow());
  if (verdict == cluster::AnnouncementVerdict::kStarted) {
    ReportNow();
    ScheduleLeaseRenewal(milliseconds(0));
  } else if (verdict == cluster::AnnouncementVerdict::kChanged) {
    ReportNow();
  }
}

void ModelAgent::ScheduleLeaseRenewal(milliseconds delay) {
  renewal_timer_.Start(delay, [this] { RenewLease(); });
}

void ModelAgent::RenewLease() {
  using Result = cluster::LeaseRenewalResult;
  if (!session_.CanRenewLease()) {
    return;
  }
  if (session_.term() == 0) {
    ScheduleLeaseRenewal(cluster::RunnerSession::kRetryDelay);
    return;
  }
  const cluster::RenewalCall call = session_.StartRenewal(Now());
  network_.Call<Result>(
      {LinkKind::kHold, index_}, call.request.wait + settings_.runner_timeout,
      [&runner = runner_, request = call.request,
       instance = session_.announced().instance](
          const Delivery& delivery, const Network::Respond<Result>& respond) {
        runner.Receive(delivery.held_up, [&runner, request, instance, respond] {
          runner.Hold(instance, request, respond);
        });
      },
      [weak = weak_from_this(), call](const std::optional<Result>& result) {
        if (const auto self = weak.lock()) {
          self->OnLeaseRenewed(
              call, result.value_or(cluster::RunnerFailure::kUnanswered));
        }
      });
}

void ModelAgent::OnLeaseRenewed(const cluster::RenewalCall& call,
                                const cluster::LeaseRenewalResult& result) {
  const cluster::RenewalOutcome outcome =
      session_.OnLeaseRenewed(call, result, Now());
  if (outcome.has_runner_ended) {
    renewal_timer_.Cancel();
    ReportNow();
    return;
  }
  if (outcome.is_superseded) {
    LookUpLeader();
  }
  if (outcome.is_report_due) {
    ReportNow();
  }
  if (outcome.next_renewal) {
    ScheduleLeaseRenewal(*outcome.next_renewal);
  }
}

void ModelAgent::ScheduleReport(milliseconds delay) {
  const Instant due = simulation_.Now() + delay;
  if (report_due_ && *report_due_ <= due) {
    return;
  }
  report_due_ = due;
  report_timer_.Start(delay, [this] {
    report_due_.reset();
    Report();
  });
}

void ModelAgent::ReportNow() {
  if (session_.is_reporting()) {
    is_report_needed_ = true;
    return;
  }
  Report();
}

void ModelAgent::Report() {
  if (!session_.CanReport()) {
    return;
  }
  is_report_needed_ = false;
  const cluster::ReportCall call = session_.StartReport(Now());
  network_.Call<ReportReply>(
      {LinkKind::kReport, index_}, settings_.report_timeout,
      [&wiring = wiring_, address = session_.leader().address,
       report = call.report](const Delivery&,
                             const Network::Respond<ReportReply>& respond) {
        wiring.OnReport(address, report, respond);
      },
      [weak = weak_from_this(),
       ticket = call.ticket](const std::optional<ReportReply>& reply) {
        const auto self = weak.lock();
        if (self && self->session_.IsAwaited(ticket)) {
          self->OnReported(ticket, reply);
        }
      });
}

void ModelAgent::OnReported(const cluster::ReportTicket& ticket,
                            const std::optional<ReportReply>& reply) {
  const cluster::ReportOutcome outcome = session_.OnReported(
      ticket, reply && reply->is_accepted ? std::optional(reply->answer)
                                          : std::nullopt);
  if (!outcome.is_accepted) {
    ScheduleLeaderLookup();
    return;
  }
  if (outcome.is_renewal_due) {
    ScheduleLeaseRenewal(milliseconds(0));
  }
  if (is_report_needed_) {
    Report();
  } else {
    ScheduleReport(settings_.report_period);
  }
}

void ModelAgent::OnLeader(const jobs::LeaderRecord& leader) {
  if (session_.OnLeader(leader)) {
    ReportNow();
  }
}

void ModelAgent::ScheduleLeaderLookup() {
  simulation_.After(kLeaderLookupDelay,
                    [weak = weak_from_this(), term = session_.leader().term] {
                      const auto self = weak.lock();
                      if (self && self->session_.leader().term == term) {
                        self->LookUpLeader();
                      }
                    });
}

void ModelAgent::LookUpLeader() {
  if (is_looking_up_leader_) {
    return;
  }
  is_looking_up_leader_ = true;
  store_.ReadNewest(
      cluster::kLeaderTopic, {}, simulation_.Now() + kLeaderLookupTimeout,
      [weak = weak_from_this()](const keyed_log::ReadResult& result) {
        if (const auto self = weak.lock()) {
          self->OnLeaderRead(result);
        }
      });
}

void ModelAgent::OnLeaderRead(const keyed_log::ReadResult& result) {
  is_looking_up_leader_ = false;
  bool is_new = false;
  if (const auto* read = std::get_if<keyed_log::Records>(&result)) {
    for (const keyed_log::StoredRecord& stored : read->records) {
      const auto leader = jobs::Decode<jobs::LeaderRecord>(stored.record.value);
      if (stored.record.key == cluster::kLeaderKey && leader) {
        is_new = session_.OnLeader(*leader);
      }
    }
  }
  if (session_.leader().address.empty()) {
    ScheduleLeaderLookup();
    return;
  }
  if (!session_.is_reporting()) {
    ScheduleReport(is_new ? milliseconds(0) : kLeaderLookupDelay);
  }
}

void ModelAgent::OnOrders(const jobs::OrderBatch& batch,
                          const Network::Respond<jobs::OrderAnswer>& respond) {
  const auto pending = std::make_shared<PendingOrders>();
  pending->batch = batch;
  pending->answer.results.resize(batch.orders.size());
  pending->answer.agent_start_unix_ms = session_.agent_start_unix_ms();
  pending->respond = respond;
  pending->open = batch.orders.size();
  session_.OnTerm(batch.term);
  const Instant deadline = Now() + settings_.batch_limit;
  for (size_t i = 0; i < batch.orders.size(); ++i) {
    if (const auto known =
            session_.VerdictOn(batch, batch.orders[i], deadline, Now())) {
      OnOrderDone(pending, i, *known);
    } else {
      SendOrder(pending, i);
    }
  }
}

void ModelAgent::SendOrder(const std::shared_ptr<PendingOrders>& pending,
                           size_t i) {
  using jobs::OrderVerdict;
  network_.Call<OrderVerdict>(
      {LinkKind::kOrder, index_}, settings_.order_timeout,
      [&runner = runner_, instance = session_.announced().instance,
       order = pending->batch.orders[i], term = pending->batch.term,
       until_ms = session_.LeaseEndOnRunnerClock()](
          const Delivery& delivery,
          const Network::Respond<OrderVerdict>& respond) {
        runner.Receive(
            delivery.held_up, [&runner, instance, order, term, until_ms,
                               respond, sent_at = delivery.sent_at] {
              respond(runner.Execute(instance, order, term, until_ms, sent_at));
            });
      },
      [weak = weak_from_this(), pending, i, generation = session_.generation()](
          const std::optional<OrderVerdict>& verdict) {
        if (const auto self = weak.lock()) {
          const OrderVerdict known =
              verdict.value_or(OrderVerdict::kUnanswered);
          self->session_.OnOrderAnswered(generation, known, self->Now());
          self->OnOrderDone(pending, i, known);
        }
      });
}

void ModelAgent::OnOrderDone(const std::shared_ptr<PendingOrders>& pending,
                             size_t i,
                             jobs::OrderVerdict verdict) {
  const int64_t now_ms =
      std::chrono::floor<milliseconds>(Now().time_since_epoch()).count();
  pending->answer.results[i] = {verdict, now_ms};
  if (--pending->open > 0) {
    return;
  }
  pending->respond(pending->answer);
  if (session_.IsRunnerUp() && !session_.HasLease(Now())) {
    ReportNow();
  }
}

}  // namespace papayadrift::run_histories
