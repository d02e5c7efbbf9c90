#include "composition/worker_process.h"

#include <algorithm>
#include <utility>

namespace papayadrift::test {
namespace {

constexpr milliseconds kTick(20);
constexpr milliseconds kHeartbeatPeriod(200);
constexpr milliseconds kHeartbeatTimeout(300);

}  // namespace

WorkerProcess::WorkerProcess(records::WorkerAnnounced announcement,
                             routing::SimulatedClock& timeline,
                             int64_t rate_error_ppm,
                             Port port)
    : announcement_(std::move(announcement)),
      timeline_(timeline),
      clock_(timeline, rate_error_ppm),
      port_(std::move(port)) {}

void WorkerProcess::Start() {
  records::WorkerAnnounced announcement = announcement_;
  announcement.incarnation = Incarnation(
      static_cast<uint64_t>(clock_.WallNow().time_since_epoch().count()));
  core_.emplace(std::move(announcement), 1);
  runner_ = std::make_shared<ProcessRunner>(timeline_);
  addresses_ = port_.start_addresses();
  position_ = 0;
  awaited_.reset();
  send_at_ = clock_.Now();
  is_draining_ = false;
  runner_->Post([this] { Tick(); });
}

void WorkerProcess::Crash() {
  runner_->Stop();
  core_.reset();
}

void WorkerProcess::Pause() {
  is_awake_ = false;
  runner_->Pause();
}

void WorkerProcess::Drain() {
  is_draining_ = true;
  core_->BeginDrain();
}

void WorkerProcess::Tick() {
  is_awake_ = true;
  core_->OnTime(clock_.Now());
  const Instant now = clock_.Now();
  if (awaited_ && now >= give_up_at_) {
    awaited_.reset();
    GoToNext();
  }
  if (!awaited_ && (now >= send_at_ || core_->WantsHeartbeat(now))) {
    SendHeartbeat();
  }
  runner_->PostAt(timeline_.now() + kTick, [this] { Tick(); });
}

void WorkerProcess::SendHeartbeat() {
  const Instant now = clock_.Now();
  const worker_protocol::Heartbeat heartbeat = core_->MakeHeartbeat(now);
  awaited_ = heartbeat.sequence;
  give_up_at_ = now + kHeartbeatTimeout;
  send_at_ = now + kHeartbeatPeriod;
  port_.send(
      addresses_[position_], heartbeat,
      [this, runner = runner_](const worker_protocol::HeartbeatAnswer& answer) {
        runner->Post([this, answer] { Take(answer); });
      });
}

// Answers that come after the worker has given up are followed as well: the
// lease alone says whether they may be.
void WorkerProcess::Take(const worker_protocol::HeartbeatAnswer& answer) {
  if (awaited_ == answer.sequence) {
    awaited_.reset();
    Learn(answer);
  }
  const size_t before = core_->journal().size();
  core_->OnAnswer(answer, clock_.Now());
  port_.on_followed(answer, before);
}

// Like HeartbeatSender: the home first, then the others.
void WorkerProcess::Learn(const worker_protocol::HeartbeatAnswer& answer) {
  if (answer.home_address.empty() ||
      answer.home_address == addresses_[position_]) {
    return;
  }
  addresses_ = {answer.home_address};
  std::ranges::for_each(answer.entry_addresses,
                        [this](const auto& it) { AddAddress(it); });
  position_ = 0;
}

// The balancer always leads to entries that are there.
void WorkerProcess::GoToNext() {
  std::ranges::for_each(port_.start_addresses(),
                        [this](const auto& it) { AddAddress(it); });
  position_ = (position_ + 1) % addresses_.size();
}

void WorkerProcess::AddAddress(const std::string& address) {
  if (std::ranges::find(addresses_, address) == addresses_.end()) {
    addresses_.push_back(address);
  }
}

}  // namespace papayadrift::test
