#include "fake_runners.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace papayadrift::routing {

namespace {

constexpr microseconds kDelayInZone(100);

}  // namespace

FakeRunners::FakeRunners(Timeline& timeline, uint64_t seed)
    : timeline_(timeline), random_(seed) {}

void FakeRunners::Take(const Send& send,
                       const FakeWork& work,
                       const Report& report) {
  ++total_sends_;
  const FakeDeed deed = choose_(send);
  FakeRunner& runner = runners_[send.address];
  runner.last_arrival = timeline_.now();
  const auto later = [&](auto run) {
    timeline_.At(timeline_.now() + OneWay(send.address, work), std::move(run));
  };
  if (deed == FakeDeed::kNotConnected || deed == FakeDeed::kCutBefore) {
    const auto failure = deed == FakeDeed::kNotConnected
                             ? http::ClientFailure::kNotConnected
                             : http::ClientFailure::kLost;
    later([=] { report(SendFailed{send.send, failure}); });
    return;
  }
  if (deed == FakeDeed::kFailFast) {
    later([=] {
      report(AnswerArrived{send.send, send.identity, {500, {}, ""}});
    });
    return;
  }
  runner.peak_connections =
      std::max(runner.peak_connections, ++runner.connections);
  later([=, this] { Execute(send, work, deed, report); });
}

int FakeRunners::executions(const std::string& name) const {
  const auto it = executions_.find(name);
  return it == executions_.end() ? 0 : it->second;
}

void FakeRunners::Execute(const Send& send,
                          const FakeWork& work,
                          FakeDeed deed,
                          const Report& report) {
  microseconds length = ServiceTime(runners_[send.address]);
  if (deed == FakeDeed::kCutDuring) {
    // Nobody will take the answer, so the runner stops by the deadline.
    length =
        std::clamp(send.deadline - timeline_.now(), microseconds(0), length);
    timeline_.At(timeline_.now() + length / 2, [=] {
      report(SendFailed{send.send, http::ClientFailure::kLost});
    });
  }
  const microseconds left = send.deadline - timeline_.now();
  if (keeps_deadlines_ && deed == FakeDeed::kServe && length > left) {
    deed = FakeDeed::kStop;
    length = std::max(left, microseconds(0));
  }
  auto done = [=, this] {
    ++executions_[work.name];
    if (work.sending != work.name) {
      ++executions_[work.sending];
    }
    --runners_[send.address].connections;
    ReportEnd(send, work, deed, report);
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
  timeline_.At(timeline_.now() + length, [=, this, done = std::move(done)] {
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
                            FakeDeed deed,
                            const Report& report) {
  if (deed == FakeDeed::kCutDuring) {
    return;
  }
  const Instant at = timeline_.now() + OneWay(send.address, work);
  const bool is_late = at > send.give_up_at;
  if (deed == FakeDeed::kSilent || is_late) {
    timeline_.At(std::max(at, send.give_up_at), [=] {
      report(SendFailed{send.send, http::ClientFailure::kTimedOut});
    });
    return;
  }
  if (deed == FakeDeed::kCutAfter) {
    timeline_.At(at, [=] {
      report(SendFailed{send.send, http::ClientFailure::kTruncated});
    });
    return;
  }
  if (deed == FakeDeed::kStop) {
    timeline_.At(at, [=] {
      report(AnswerArrived{send.send, send.identity, {504, {}, ""}});
    });
    return;
  }
  const bool is_swapped = deed == FakeDeed::kSwap;
  const std::string echo = is_swapped ? "entry-1.999999.1" : send.identity;
  const std::string body =
      "answer to " + (is_swapped ? std::string("another") : work.name);
  const AnswerArrived answer{send.send, echo, {200, {}, body}};
  timeline_.At(at, [=] { report(answer); });
  if (deed == FakeDeed::kRepeat) {
    timeline_.At(at + kDelayInZone, [=] { report(answer); });
  }
}

microseconds FakeRunners::OneWay(const std::string& address,
                                 const FakeWork& work) {
  return runners_[address].zone == work.from ? kDelayInZone : zone_delay_;
}

microseconds FakeRunners::ServiceTime(const FakeRunner& runner) {
  std::lognormal_distribution<double> draw(
      std::log(runner.mean_microseconds * slowness_) -
          runner.sigma * runner.sigma / 2,
      runner.sigma);
  return microseconds(static_cast<int64_t>(draw(random_) * hang_()) + 1);
}

}  // namespace papayadrift::routing
