#include "cluster/job_front.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "cluster/cluster_metrics.h"
#include "cluster/topics.h"
#include "jobs/codec.h"

namespace papayadrift::cluster {
namespace {

using logging::Event;

// Pause before a write that the store refused is tried again.
constexpr milliseconds kRefusedPause(80);
// Time that another front has for a question.
constexpr milliseconds kQuestionLimit(1000);
constexpr milliseconds kPublishPause(500);
// Time that is left to the caller's answer itself.
constexpr milliseconds kAnswerMargin(100);
// Candidates stand at different moments, so that one is elected at once.
constexpr uint64_t kCandidacySpreadMs = 60;
// Without an answer of the store for this long, callers are better served
// elsewhere: a few answers' time and the readiness checks' period.
constexpr milliseconds kStoreSilence(1500);
// Jobs remembered as perhaps stored: some seconds of the largest bursts, far
// longer than callers try again.
constexpr size_t kMostUnsure = 4096;

}  // namespace

// A record of a caller on its way into the store.
struct JobFront::PendingWrite {
  RelayCall call;  // The same for another front.
  keyed_log::Record record;
  Instant deadline;
  bool may_be_stored = false;
  bool is_relayed = false;
  std::function<void(SubmitResult)> done;
};

JobFront::JobFront(const JobFrontSettings& settings, const Ports& ports)
    : settings_(settings),
      ports_(ports),
      metrics_(std::make_unique<ClusterMetrics>(ports.metrics)),
      job_writer_(kJobsTopic, ports.log, ports.clock),
      replica_(ports, directory_),
      fronts_({settings.leader.node, settings.leader.address,
               settings.started_ms, settings.millicores},
              settings.standbys,
              settings.front_lapse),
      front_records_(
          {kLeaderTopic},
          ports.log,
          ports.clock,
          [this](const keyed_log::Record& record) { OnFrontRecord(record); }),
      relay_(ports, fronts_, settings.leader.address),
      watch_timer_(ports.loop) {}

JobFront::~JobFront() = default;

void JobFront::Start() {
  leader_seen_at_ = ports_.clock.Now();
  store_seen_at_ = ports_.clock.Now();
  Announce();
  FollowFronts();
}

void JobFront::Stop() {
  is_stopping_ = true;
  Withdraw();
  if (leader_) {
    leader_->Stop(fronts_.ChooseSuccessor());
  }
}

bool JobFront::is_ready() const {
  return !is_stopping_ && routes_.version > 0 &&
         ports_.clock.Now() - store_seen_at_ < kStoreSilence;
}

milliseconds JobFront::store_age() const {
  return std::chrono::floor<milliseconds>(ports_.clock.Now() - store_seen_at_);
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

void JobFront::OnFrontRecord(const keyed_log::Record& record) {
  if (record.key == kLeaderKey) {
    const auto leader = jobs::Decode<jobs::LeaderRecord>(record.value);
    if (leader && leader->term >= published_leader_.term) {
      published_leader_ = *leader;
    }
    return;
  }
  if (!record.key.starts_with(kFrontPrefix)) {
    return;
  }
  if (record.value.empty()) {
    fronts_.Remove(record.key.substr(kFrontPrefix.size()));
  } else if (const auto front = DecodeFrontRecord(record.value)) {
    fronts_.Put(*front, ports_.clock.Now());
  } else {
    ports_.logger.Log(Event::kMessageUnreadable,
                      {{"from", "store"}, {"key", record.key}});
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
  if (!is_following()) {
    Observe();
    return;
  }
  const Instant begun_at = ports_.clock.Now();
  // What was accepted meanwhile is read beside it.
  replica_.CatchUpOnJobs([](bool) {});
  replica_.CatchUpOnProgress([this, begun_at](bool is_caught_up) {
    if (!is_caught_up) {
      ScheduleWatch(settings_.watch_period);
      return;
    }
    store_seen_at_ = std::max(store_seen_at_, begun_at);
    leader_seen_at_ = std::max(leader_seen_at_, replica_.leader_seen_at());
    if (!std::exchange(has_looked_, true)) {
      // What was stored before is no sign that the leader still lives.
      leader_seen_at_ =
          ports_.clock.Now() - settings_.leader_silence + settings_.first_look;
    }
    ConsiderCandidacy();
  });
}

bool JobFront::is_following() const {
  return fronts_.IsOwnStandby() ||
         ports_.clock.Now() - leader_seen_at_ > settings_.standby_patience;
}

const std::string& JobFront::leader_address() const {
  return replica_.leader().term >= published_leader_.term
             ? replica_.leader().address
             : published_leader_.address;
}

void JobFront::Observe() {
  SendInquiry([this](bool is_there) {
    if (is_there) {
      leader_seen_at_ = ports_.clock.Now();
    }
    ScheduleWatch(settings_.fronts_period);
  });
}

Instant JobFront::StandsAt(Instant now) {
  const jobs::LeaderRecord& last = replica_.leader();
  // Nobody has to be waited for if the last leader said that it leaves, or was
  // this process before it started again.
  const bool is_vacant =
      last.term == 0 || last.has_resigned || last.node == settings_.leader.node;
  if (!is_vacant) {
    vacant_since_.reset();
    const milliseconds turn(StableHash(settings_.leader.node, last.term) %
                            kCandidacySpreadMs);
    return leader_seen_at_ + settings_.leader_silence + turn +
           settings_.handicap;
  }
  if (!vacant_since_) {
    vacant_since_ = now;
  }
  if (last.successor.empty()) {
    return *vacant_since_ + settings_.handicap;
  }
  return last.successor == settings_.leader.node
             ? *vacant_since_
             : *vacant_since_ + settings_.succession_grace + settings_.handicap;
}

void JobFront::ConsiderCandidacy() {
  if (leader_ || is_stopping_) {
    ScheduleWatch(settings_.watch_period);
    return;
  }
  const Instant now = ports_.clock.Now();
  const Instant stands_at = StandsAt(now);
  if (now < stands_at) {
    ScheduleWatch(std::min(settings_.watch_period,
                           std::chrono::ceil<milliseconds>(stands_at - now)));
  } else if (vacant_since_) {
    Stand();
  } else {
    AskLeader();
  }
}

void JobFront::SendInquiry(std::function<void(bool is_there)> done) {
  http::Request request;
  request.method = "GET";
  request.path = kLeaderPath;
  ports_.client.Send(
      leader_address(), request, ports_.clock.Now() + settings_.inquiry_limit,
      [done = std::move(done)](const http::ClientResult& result) {
        const auto* response = std::get_if<http::Response>(&result);
        done(response != nullptr && response->status == 200);
      });
}

void JobFront::AskLeader() {
  SendInquiry([this, term = replica_.leader().term](bool is_there) {
    if (is_there) {
      leader_seen_at_ = ports_.clock.Now() - settings_.leader_silence +
                        settings_.watch_period;
    } else if (term == replica_.leader().term && !leader_ && !is_stopping_) {
      Stand();
      return;
    }
    ScheduleWatch(settings_.watch_period);
  });
}

void JobFront::Stand() {
  leader_ = std::make_shared<Leader>(
      settings_.leader, ports_, *metrics_, directory_, replica_, [this] {
        leader_seen_at_ = ports_.clock.Now();
        boost::asio::post(ports_.loop, [this] { leader_.reset(); });
      });
  leader_->SetRoutes(routes_);
  leader_->Campaign();
  ScheduleWatch(settings_.watch_period);
}

void JobFront::HandleInquiry(const async_http::Respond& respond) const {
  respond({is_leading() ? 200 : 409, {}, {}});
}

void JobFront::HandleSuccession(const async_http::Respond& respond) {
  respond({is_stopping_ ? 409 : 200, {}, {}});
  Watch();
}

void JobFront::Refresh(milliseconds freshness,
                       bool is_job_known,
                       std::function<void(bool)> done) {
  const Instant begun_at = ports_.clock.Now();
  if (!is_leading() && ports_.log.is_out()) {
    done(false);
    return;
  }
  if (!is_leading() && !is_following()) {
    done(false);
    return;
  }
  if (is_leading()) {
    if (is_job_known) {
      done(true);
    } else {
      // Another front may have stored it just now.
      replica_.CatchUpOnJobs(std::move(done));
    }
    return;
  }
  if (replica_.caught_up_at() + freshness >= begun_at) {
    done(true);
    return;
  }
  // The job first: its progress is stored after it.
  replica_.CatchUpOnProgress(
      [this, begun_at, done = std::move(done)](bool is_caught_up) {
        if (!is_caught_up) {
          done(false);
          return;
        }
        store_seen_at_ = std::max(store_seen_at_, begun_at);
        replica_.CatchUpOnJobs(done);
      });
}

void JobFront::Write(const std::shared_ptr<PendingWrite>& write) {
  const Instant begun_at = ports_.clock.Now();
  if (ports_.log.is_out()) {
    RelayWrite(write);
    return;
  }
  if (begun_at + kAnswerMargin >= write->deadline) {
    write->done(write->may_be_stored ? SubmitResult::kUnknown
                                     : SubmitResult::kNotStored);
    return;
  }
  job_writer_.Write(
      write->record, write->deadline - kAnswerMargin,
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
  write->record = {KeyOf(kJobPrefix, id), jobs::Encode(job)};
  write->call = {RelayKind::kSubmit, job.queue, id, write->record.value, 0};
  write->deadline = deadline;
  const Instant begun_at = ports_.clock.Now();
  write->done = [this, id, job, begun_at,
                 done = std::move(done)](SubmitResult outcome) {
    const SubmitResult result = Judge(id, outcome);
    metrics_->OnSubmitted(result, ports_.clock.Now() - begun_at);
    if (result == SubmitResult::kAccepted) {
      directory_.OnJob(id, job);
    }
    done(result);
  };
  Write(write);
}

SubmitResult JobFront::Judge(const JobId& id, SubmitResult result) {
  const bool is_unsure = std::ranges::find(unsure_, id) != unsure_.end();
  switch (result) {
    case SubmitResult::kAccepted:
      std::erase(unsure_, id);
      return result;
    case SubmitResult::kNotStored:
      return is_unsure ? SubmitResult::kUnknown : result;
    case SubmitResult::kUnknown:
      if (!is_unsure) {
        unsure_.push_back(id);
      }
      if (unsure_.size() > kMostUnsure) {
        unsure_.pop_front();
      }
      return result;
  }
  return result;
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
  Refresh(settings_.state_freshness, known.has_value(),
          [this, queue, id, done = std::move(done)](bool is_fresh) {
            const auto state = directory_.StateOf(queue, id);
            if (state) {
              done(*state);
            } else if (is_fresh) {
              done(JobUnknown{});
            } else {
              RelayQuestion(
                  RelayKind::kState, queue, id,
                  [done](const RelayAnswer* answer) {
                    if (answer == nullptr) {
                      done(std::monostate{});
                    } else if (answer->has_job) {
                      done(static_cast<jobs::JobState>(answer->value));
                    } else {
                      done(JobUnknown{});
                    }
                  });
            }
          });
}

void JobFront::Cancel(const std::string& queue,
                      const JobId& id,
                      Instant deadline,
                      std::function<void(CancelResult)> done) {
  State(queue, id,
        [this, queue, id, deadline,
         done = std::move(done)](const StateResult& state) {
          if (std::holds_alternative<std::monostate>(state)) {
            done(CancelResult::kFailed);
            return;
          }
          if (std::holds_alternative<JobUnknown>(state)) {
            done(CancelResult::kNoSuchJob);
            return;
          }
          auto write = std::make_shared<PendingWrite>();
          write->record = {KeyOf(kCancelPrefix, id), "x"};
          write->call = {RelayKind::kCancel, queue, id, {}, 0};
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
  Refresh(settings_.count_freshness, true,
          [this, queue, done = std::move(done)](bool is_fresh) {
            if (is_fresh) {
              done(directory_.CountQueued(queue));
              return;
            }
            RelayQuestion(RelayKind::kCount, queue, JobId(),
                          [done](const RelayAnswer* answer) {
                            done(answer == nullptr
                                     ? std::nullopt
                                     : std::optional<size_t>(answer->value));
                          });
          });
}

void JobFront::RelayWrite(const std::shared_ptr<PendingWrite>& write) {
  const auto give_up = [write] {
    write->done(write->may_be_stored ? SubmitResult::kUnknown
                                     : SubmitResult::kNotStored);
  };
  if (write->is_relayed || !relay_.has_peers()) {
    // The store is out for all that is known: the caller is told at once.
    give_up();
    return;
  }
  write->is_relayed = true;
  relay_.Send(
      write->call, leader_address(), write->deadline - kAnswerMargin,
      [write, give_up](const Relay::Outcome& outcome) {
        write->may_be_stored |= outcome.may_be_done;
        if (!outcome.answer) {
          give_up();
          return;
        }
        const bool is_submission = write->call.kind == RelayKind::kSubmit;
        const auto result =
            is_submission ? static_cast<SubmitResult>(outcome.answer->value)
            : static_cast<CancelResult>(outcome.answer->value) ==
                    CancelResult::kCancelled
                ? SubmitResult::kAccepted
                : SubmitResult::kUnknown;
        write->may_be_stored |= result == SubmitResult::kUnknown;
        if (result == SubmitResult::kAccepted) {
          write->done(result);
        } else {
          give_up();
        }
      });
}

void JobFront::RelayQuestion(RelayKind kind,
                             const std::string& queue,
                             const JobId& id,
                             std::function<void(const RelayAnswer*)> done) {
  relay_.Send({kind, queue, id, {}, 0}, leader_address(),
              ports_.clock.Now() + kQuestionLimit,
              [done = std::move(done)](const Relay::Outcome& outcome) {
                done(outcome.answer ? &*outcome.answer : nullptr);
              });
}

void JobFront::HandleRelay(const http::Request& request,
                           const async_http::Respond& respond) {
  const auto call = DecodeRelayCall(request.body);
  if (!call) {
    respond({400, {}, {}});
    return;
  }
  const auto answer = [respond](const RelayAnswer& it) {
    respond({200, {}, Encode(it)});
  };
  if (ports_.log.is_out()) {
    answer(RelayAnswer{});
    return;
  }
  if (call->kind == RelayKind::kState || call->kind == RelayKind::kCount) {
    if (!is_leading() && !is_following()) {
      // It would have to ask another one itself.
      answer(RelayAnswer{});
      return;
    }
  }
  const Instant deadline =
      ports_.clock.Now() + milliseconds(call->remaining_ms);
  switch (call->kind) {
    case RelayKind::kSubmit: {
      const auto job = jobs::Decode<jobs::Job>(call->job);
      if (!job) {
        respond({400, {}, {}});
        return;
      }
      Submit(call->id, *job, deadline, [answer](SubmitResult result) {
        answer({true, static_cast<uint32_t>(result), true});
      });
      return;
    }
    case RelayKind::kState:
      State(call->queue, call->id, [answer](const StateResult& result) {
        const auto* state = std::get_if<jobs::JobState>(&result);
        answer({!std::holds_alternative<std::monostate>(result),
                state == nullptr ? 0 : static_cast<uint32_t>(*state),
                state != nullptr});
      });
      return;
    case RelayKind::kCancel:
      Cancel(call->queue, call->id, deadline, [answer](CancelResult result) {
        answer({true, static_cast<uint32_t>(result), true});
      });
      return;
    case RelayKind::kCount:
      CountQueued(call->queue, [answer](std::optional<size_t> count) {
        answer({count.has_value(), static_cast<uint32_t>(count.value_or(0)),
                true});
      });
      return;
  }
}

void JobFront::Announce() {
  const FrontRecord& own = fronts_.own();
  ports_.log.Write(
      {kLeaderTopic,
       {{std::string(kFrontPrefix) + own.node, Encode(own)}},
       std::nullopt,
       std::nullopt},
      ports_.clock.Now() + kQuestionLimit,
      [this](const keyed_log::AppendResult& result) {
        auto timer = std::make_shared<boost::asio::steady_timer>(
            ports_.loop, std::holds_alternative<keyed_log::Stored>(result)
                             ? settings_.announce_period
                             : kPublishPause);
        timer->async_wait([this, timer](boost::system::error_code) {
          if (!is_stopping_) {
            Announce();
          }
        });
      });
}

void JobFront::Withdraw() {
  ports_.log.Write({kLeaderTopic,
                    {{std::string(kFrontPrefix) + settings_.leader.node, {}}},
                    std::nullopt,
                    std::nullopt},
                   ports_.clock.Now() + kQuestionLimit,
                   [](const keyed_log::AppendResult&) {
                     // One that stays listed costs others a call in vain.
                   });
}

void JobFront::FollowFronts() {
  const Instant begun_at = ports_.clock.Now();
  front_records_.CatchUp([this, begun_at](bool is_caught_up) {
    if (is_caught_up) {
      store_seen_at_ = std::max(store_seen_at_, begun_at);
    }
    if (!std::exchange(has_listed_, true)) {
      Watch();
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        ports_.loop, settings_.fronts_period);
    timer->async_wait(
        [this, timer](boost::system::error_code) { FollowFronts(); });
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
