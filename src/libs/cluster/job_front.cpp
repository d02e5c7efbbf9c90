#include "cluster/job_front.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "cluster/topics.h"
#include "jobs/codec.h"

namespace papayadrift::cluster {
namespace {

using logging::Event;

// Pause before a write that the store refused is tried again.
constexpr milliseconds kRefusedPause(80);
// Time that is left to the caller's answer itself.
constexpr milliseconds kAnswerMargin(100);
// Candidates stand at different moments, so that one is elected at once.
constexpr uint64_t kCandidacySpreadMs = 200;
// Without an answer of the store for this long, callers are better served
// elsewhere: a few answers' time and the readiness checks' period.
constexpr milliseconds kStoreSilence(2500);

}  // namespace

// A record of a caller on its way into the store.
struct JobFront::PendingWrite {
  keyed_log::Append append;
  Instant deadline;
  bool may_be_stored = false;
  std::function<void(SubmitResult)> done;
};

JobFront::JobFront(const JobFrontSettings& settings, const Ports& ports)
    : settings_(settings), ports_(ports), watch_timer_(ports.loop) {
  jobs_ = std::make_unique<keyed_log::TopicFollower>(
      keyed_log::FollowerSettings{kJobsTopic}, ports.log, ports.clock,
      [this](const keyed_log::Record& record) { OnJobRecord(record); });
  progress_ = std::make_unique<keyed_log::TopicFollower>(
      keyed_log::FollowerSettings{kProgressTopic}, ports.log, ports.clock,
      [this](const keyed_log::Record& record) { OnProgressRecord(record); });
}

JobFront::~JobFront() = default;

void JobFront::Start() {
  leader_seen_at_ = ports_.clock.Now() - settings_.leader_silence;
  store_seen_at_ = ports_.clock.Now();
  Watch();
}

void JobFront::Stop() {
  is_stopping_ = true;
  if (leader_) {
    leader_->Stop();
  }
}

bool JobFront::is_ready() const {
  return !is_stopping_ && routes_.version > 0 &&
         ports_.clock.Now() - store_seen_at_ < kStoreSilence;
}

void JobFront::SetRoutes(const jobs::RouteTable& routes) {
  if (routes.version <= routes_.version) {
    return;
  }
  routes_ = routes;
  ports_.logger.Log(Event::kConfigurationInForce,
                    {{"version", static_cast<int64_t>(routes.version)},
                     {"queues", static_cast<int64_t>(routes.queues.size())}});
  if (leader_) {
    leader_->SetRoutes(routes_);
  }
}

void JobFront::OnJobRecord(const keyed_log::Record& record) {
  if (const auto id = JobOfKey(kJobPrefix, record.key)) {
    if (const auto job = jobs::Decode<jobs::Job>(record.value)) {
      directory_.OnJob(*id, *job);
    }
  } else if (const auto cancelled = JobOfKey(kCancelPrefix, record.key)) {
    directory_.OnCancelled(*cancelled);
  }
}

void JobFront::OnProgressRecord(const keyed_log::Record& record) {
  leader_seen_at_ = ports_.clock.Now();
  if (record.key == kLeaderKey) {
    const auto leader = jobs::Decode<jobs::LeaderRecord>(record.value);
    if (leader && leader->term >= leader_record_.term) {
      leader_record_ = *leader;
    }
  } else if (const auto id = JobOfKey(kProgressPrefix, record.key)) {
    if (const auto progress = jobs::Decode<jobs::JobProgress>(record.value)) {
      directory_.OnProgress(*id, *progress);
    }
  }
}

void JobFront::ScheduleWatch(milliseconds delay) {
  watch_timer_.expires_after(delay);
  watch_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Watch();
    }
  });
}

void JobFront::Watch() {
  if (is_stopping_) {
    return;
  }
  if (leader_) {
    if (is_leading()) {
      store_seen_at_ = ports_.clock.Now();
    }
    ScheduleWatch(settings_.watch_period);
    return;
  }
  const Instant begun_at = ports_.clock.Now();
  progress_->CatchUp([this, begun_at](bool is_caught_up) {
    if (is_caught_up) {
      store_seen_at_ = std::max(store_seen_at_, begun_at);
      if (!std::exchange(has_looked_, true)) {
        // What was stored before is no sign that the leader still lives.
        leader_seen_at_ = ports_.clock.Now() - settings_.leader_silence +
                          settings_.first_look;
      }
      ConsiderCandidacy();
    }
    ScheduleWatch(settings_.watch_period);
  });
}

void JobFront::ConsiderCandidacy() {
  if (leader_ || is_stopping_) {
    return;
  }
  const milliseconds turn(
      StableHash(settings_.leader.node, leader_record_.term) %
      kCandidacySpreadMs);
  // Nobody has to be waited for if the last leader said that it leaves, or was
  // this process before it started again.
  const bool is_vacant = leader_record_.term == 0 ||
                         leader_record_.has_resigned ||
                         leader_record_.node == settings_.leader.node;
  if (!is_vacant &&
      ports_.clock.Now() - leader_seen_at_ < settings_.leader_silence + turn) {
    return;
  }
  leader_ =
      std::make_shared<Leader>(settings_.leader, ports_, directory_, [this] {
        leader_seen_at_ = ports_.clock.Now();
        boost::asio::post(ports_.loop, [this] { leader_.reset(); });
      });
  leader_->SetRoutes(routes_);
  leader_->Campaign(leader_record_, progress_->next());
}

void JobFront::Refresh(milliseconds freshness, std::function<void(bool)> done) {
  const Instant begun_at = ports_.clock.Now();
  if (is_leading() ||
      std::min(jobs_->caught_up_at(), progress_->caught_up_at()) + freshness >=
          begun_at) {
    done(true);
    return;
  }
  // The job first: its progress is stored after it.
  progress_->CatchUp(
      [this, begun_at, done = std::move(done)](bool is_caught_up) {
        if (!is_caught_up) {
          done(false);
          return;
        }
        store_seen_at_ = std::max(store_seen_at_, begun_at);
        jobs_->CatchUp(done);
      });
}

void JobFront::Write(const std::shared_ptr<PendingWrite>& write) {
  const Instant begun_at = ports_.clock.Now();
  if (begun_at + kAnswerMargin >= write->deadline) {
    write->done(write->may_be_stored ? SubmitResult::kUnknown
                                     : SubmitResult::kNotStored);
    return;
  }
  ports_.log.Write(
      write->append, write->deadline - kAnswerMargin,
      [this, write, begun_at](const keyed_log::AppendResult& result) {
        if (std::holds_alternative<keyed_log::Stored>(result)) {
          store_seen_at_ = std::max(store_seen_at_, begun_at);
          write->done(SubmitResult::kAccepted);
          return;
        }
        if (std::holds_alternative<keyed_log::Unanswered>(result)) {
          // The record names its job: storing it twice changes nothing.
          write->may_be_stored = true;
          Write(write);
          return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(ports_.loop,
                                                                 kRefusedPause);
        timer->async_wait(
            [this, write, timer](boost::system::error_code) { Write(write); });
      });
}

void JobFront::Submit(const JobId& id,
                      const jobs::Job& job,
                      Instant deadline,
                      std::function<void(SubmitResult)> done) {
  if (directory_.StateOf(job.queue, id)) {
    done(SubmitResult::kAccepted);
    return;
  }
  auto write = std::make_shared<PendingWrite>();
  write->append.topic = kJobsTopic;
  write->append.records.push_back({KeyOf(kJobPrefix, id), jobs::Encode(job)});
  write->deadline = deadline;
  write->done = [this, id, job, done = std::move(done)](SubmitResult result) {
    if (result == SubmitResult::kAccepted) {
      directory_.OnJob(id, job);
    }
    done(result);
  };
  Write(write);
}

void JobFront::State(const std::string& queue,
                     const JobId& id,
                     std::function<void(StateResult)> done) {
  const auto known = directory_.StateOf(queue, id);
  if (known && (*known == jobs::JobState::kCompleted ||
                *known == jobs::JobState::kFailed ||
                *known == jobs::JobState::kCancelled)) {
    done(*known);
    return;
  }
  Refresh(settings_.state_freshness,
          [this, queue, id, done = std::move(done)](bool is_fresh) {
            const auto state = directory_.StateOf(queue, id);
            if (state) {
              done(*state);
            } else if (is_fresh) {
              done(JobUnknown{});
            } else {
              done(std::monostate{});
            }
          });
}

void JobFront::Cancel(const std::string& queue,
                      const JobId& id,
                      Instant deadline,
                      std::function<void(CancelResult)> done) {
  State(queue, id,
        [this, id, deadline, done = std::move(done)](const StateResult& state) {
          if (std::holds_alternative<std::monostate>(state)) {
            done(CancelResult::kFailed);
            return;
          }
          if (std::holds_alternative<JobUnknown>(state)) {
            done(CancelResult::kNoSuchJob);
            return;
          }
          auto write = std::make_shared<PendingWrite>();
          write->append.topic = kJobsTopic;
          write->append.records.push_back({KeyOf(kCancelPrefix, id), "x"});
          write->deadline = deadline;
          write->done = [this, id, done](SubmitResult result) {
            if (result == SubmitResult::kAccepted) {
              directory_.OnCancelled(id);
            }
            done(result == SubmitResult::kAccepted ? CancelResult::kCancelled
                                                   : CancelResult::kFailed);
          };
          Write(write);
        });
}

void JobFront::CountQueued(const std::string& queue,
                           std::function<void(std::optional<size_t>)> done) {
  Refresh(settings_.count_freshness,
          [this, queue, done = std::move(done)](bool is_fresh) {
            if (is_fresh) {
              done(directory_.CountQueued(queue));
            } else {
              done(std::nullopt);
            }
          });
}

void JobFront::HandleReport(const http::Request& request,
                            const async_http::Respond& respond) {
  if (!leader_) {
    respond({409, {}, {}});
    return;
  }
  leader_->HandleReport(request, respond);
}

}  // namespace papayadrift::cluster
