#include "fake_runners.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace papayadrift::routing {

namespace {

constexpr microseconds kDelayInZone(100);

}  // namespace

FakeRunners::FakeRunners(SimulatedClock& clock, uint64_t seed)
    : clock_(clock), random_(seed) {}

void FakeRunners::Take(const Send& send,
                       const FakeWork& work,
                       const Report& report) {
  ++total_sends_;
  const FakeBehavior behavior = choose_(send);
  FakeRunner& runner = runners_[send.address];
  runner.last_arrival = clock_.now();
  const auto later = [&](auto run) {
    clock_.At(clock_.now() + OneWay(send.address, work), std::move(run));
  };
  if (behavior == FakeBehavior::kNotConnected ||
      behavior == FakeBehavior::kDisconnectBefore) {
    const auto failure = behavior == FakeBehavior::kNotConnected
                             ? http::ClientFailure::kNotConnected
                             : http::ClientFailure::kLost;
    later([=] { report(SendFailed{send.send, failure}); });
    return;
  }
  if (behavior == FakeBehavior::kFailFast) {
    later([=] {
      report(AnswerArrived{send.send, send.identity, {500, {}, ""}});
    });
    return;
  }
  runner.peak_connections =
      std::max(runner.peak_connections, ++runner.connections);
  later([=, this] { Execute(send, work, behavior, report); });
}

int FakeRunners::executions(const std::string& name) const {
  const auto it = executions_.find(name);
  return it == executions_.end() ? 0 : it->second;
}

void FakeRunners::Execute(const Send& send,
                          const FakeWork& work,
                          FakeBehavior behavior,
                          const Report& report) {
  microseconds length = ServiceTime(runners_[send.address]);
  if (behavior == FakeBehavior::kDisconnectDuring) {
    // The response can't be delivered, so the runner stops at the deadline.
    length = std::clamp(send.deadline - clock_.now(), microseconds(0), length);
    clock_.At(clock_.now() + length / 2, [=] {
      report(SendFailed{send.send, http::ClientFailure::kLost});
    });
  }
  const microseconds left = send.deadline - clock_.now();
  if (enforces_deadlines_ && behavior == FakeBehavior::kServe &&
      length > left) {
    behavior = FakeBehavior::kStopAtDeadline;
    length = std::max(left, microseconds(0));
  }
  auto done = [=, this] {
    ++executions_[work.name];
    if (work.request_name != work.name) {
      ++executions_[work.request_name];
    }
    --runners_[send.address].connections;
    ReportEnd(send, work, behavior, report);
  };
  FakeRunner& runner = runners_[send.address];
  if (runner.busy < runner.slots) {
    Start(send.address, length, std::move(done));
    return;
  }
  runner.backlog.push_back([=, this] { Start(send.address, length, done); });
  runner.peak_backlog = std::max(runner.peak_backlog, runner.backlog.size());
}

void FakeRunners::Start(const std::string& address,
                        microseconds length,
                        std::function<void()> done) {
  FakeRunner& runner = runners_[address];
  runner.peak_busy = std::max(runner.peak_busy, ++runner.busy);
  runner.busy_microseconds += length.count();
  clock_.At(clock_.now() + length, [=, this, done = std::move(done)] {
    Finish(address);
    done();
  });
}

void FakeRunners::Finish(const std::string& address) {
  FakeRunner& runner = runners_[address];
  --runner.busy;
  if (!runner.backlog.empty()) {
    const auto next = std::move(runner.backlog.front());
    runner.backlog.pop_front();
    next();
  }
}

void FakeRunners::ReportEnd(const Send& send,
                            const FakeWork& work,
                            FakeBehavior behavior,
                            const Report& report) {
  if (behavior == FakeBehavior::kDisconnectDuring) {
    return;
  }
  const Instant at = clock_.now() + OneWay(send.address, work);
  const bool is_late = at > send.give_up_at;
  if (behavior == FakeBehavior::kNoAnswer || is_late) {
    clock_.At(std::max(at, send.give_up_at), [=] {
      report(SendFailed{send.send, http::ClientFailure::kTimedOut});
    });
    return;
  }
  if (behavior == FakeBehavior::kTruncate) {
    clock_.At(at, [=] {
      report(SendFailed{send.send, http::ClientFailure::kTruncated});
    });
    return;
  }
  if (behavior == FakeBehavior::kStopAtDeadline) {
    clock_.At(at, [=] {
      report(AnswerArrived{send.send, send.identity, {504, {}, ""}});
    });
    return;
  }
  const bool is_swapped = behavior == FakeBehavior::kWrongIdentity;
  const std::string echo = is_swapped ? "entry-1.999999.1" : send.identity;
  const std::string body =
      "answer to " + (is_swapped ? std::string("another") : work.name);
  const AnswerArrived answer{send.send, echo, {200, {}, body}};
  clock_.At(at, [=] { report(answer); });
  if (behavior == FakeBehavior::kDuplicateAnswer) {
    clock_.At(at + kDelayInZone, [=] { report(answer); });
  }
}

microseconds FakeRunners::OneWay(const std::string& address,
                                 const FakeWork& work) {
  return runners_[address].zone == work.from ? kDelayInZone : zone_delay_;
}

microseconds FakeRunners::ServiceTime(const FakeRunner& runner) {
  std::lognormal_distribution<double> draw(
      std::log(runner.mean_microseconds * service_time_factor_) -
          runner.sigma * runner.sigma / 2,
      runner.sigma);
  return microseconds(static_cast<int64_t>(draw(random_) * outlier_factor_()) +
                      1);
}

}  // namespace papayadrift::routing
