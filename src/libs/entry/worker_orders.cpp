#include "entry/worker_orders.h"

#include <algorithm>
#include <optional>
#include <set>

#include "base/lookup.h"

namespace papayadrift::entry {

using worker_protocol::AttemptReport;
using worker_protocol::CheckpointOrder;
using worker_protocol::ForgetOrder;
using worker_protocol::GrantOrder;
using worker_protocol::Order;
using worker_protocol::StartOrder;
using worker_protocol::StopOrder;

namespace {

class OrderBuilder {
 public:
  OrderBuilder(const replay::DecisionState& state,
               const replay::WorkerKey& worker,
               const LowerGrants& lower_grants)
      : state_(state), worker_(worker), lower_grants_(lower_grants) {}

  std::optional<Order> ForReport(const AttemptReport& report) const {
    const replay::TaskState* live = LiveHere(report);
    if (report.has_ended) {
      return live ? std::nullopt
                  : std::optional<Order>(
                        ForgetOrder{report.task, report.attempt});
    }
    if (live == nullptr) {
      return StopOrder{report.task, report.attempt};
    }
    if (live->is_evicting || !IsJobOpen(report.task)) {
      return EndOrder(report);
    }
    const Resources grant = WantedGrant(report.task, *live);
    if (grant != report.grant) {
      return GrantOrder{report.task, report.attempt, grant};
    }
    return std::nullopt;
  }

  std::optional<Order> ForUnreported(const TaskId& task) const {
    const replay::TaskState* live = state_.jobs().FindTask(task);
    const replay::JobState* job = state_.jobs().FindJob(task.job);
    if (live == nullptr || job == nullptr || !live->is_live) {
      return std::nullopt;
    }
    return StartOrder{task,
                      live->attempt,
                      live->token,
                      job->submitted.kind,
                      live->grant,
                      live->checkpoint,
                      job->submitted.declared_run_milliseconds,
                      job->submitted.is_checkpointable};
  }

 private:
  const replay::TaskState* LiveHere(const AttemptReport& report) const {
    const replay::TaskState* live =
        state_.jobs().FindLive(report.task, report.attempt);
    const bool is_here = live != nullptr && live->worker == worker_ &&
                         live->token == report.token;
    return is_here ? live : nullptr;
  }

  bool IsJobOpen(const TaskId& task) const {
    const replay::JobState* job = state_.jobs().FindJob(task.job);
    return job != nullptr && job->phase == replay::JobPhase::kOpen;
  }

  Order EndOrder(const AttemptReport& report) const {
    const replay::JobState* job = state_.jobs().FindJob(report.task.job);
    const bool is_checkpoint_wanted =
        IsJobOpen(report.task) && job->submitted.is_checkpointable;
    if (is_checkpoint_wanted) {
      return CheckpointOrder{report.task, report.attempt};
    }
    return StopOrder{report.task, report.attempt};
  }

  Resources WantedGrant(const TaskId& task,
                        const replay::TaskState& live) const {
    return ValueOr(lower_grants_, task, live.grant);
  }

  const replay::DecisionState& state_;
  const replay::WorkerKey& worker_;
  const LowerGrants& lower_grants_;
};

}  // namespace

std::vector<Order> OrdersFor(const replay::DecisionState& state,
                             const replay::WorkerKey& worker,
                             const std::vector<AttemptReport>& reports,
                             const LowerGrants& lower_grants) {
  const OrderBuilder builder(state, worker, lower_grants);
  std::vector<Order> orders;
  std::set<TaskId> reported;
  for (const AttemptReport& report : reports) {
    reported.insert(report.task);
    if (std::optional<Order> order = builder.ForReport(report)) {
      orders.push_back(std::move(*order));
    }
  }
  const replay::WorkerState* known = state.workers().Find(worker);
  if (known == nullptr || known->phase == replay::WorkerPhase::kLapsed) {
    return orders;
  }
  for (const TaskId& task : known->live_tasks) {
    if (reported.contains(task)) {
      continue;
    }
    if (std::optional<Order> order = builder.ForUnreported(task)) {
      orders.push_back(std::move(*order));
    }
  }
  return orders;
}

}  // namespace papayadrift::entry
