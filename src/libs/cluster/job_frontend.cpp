#include "cluster/job_frontend.h"

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

// Delay before a write that the store refused is retried.
constexpr milliseconds kRefusedRetryDelay(80);
// Timeout of a query to another frontend and of the announcements in the store.
constexpr milliseconds kQueryTimeout(1000);
// The same for a caller's query that others answer: less than callers wait.
constexpr milliseconds kRelayedQueryTimeout(2000);
constexpr milliseconds kAnnouncementRetryDelay(500);
// Part of the caller's deadline that is reserved for sending the response.
constexpr milliseconds kResponseMargin(100);
// Candidates campaign at different times, so that the first round elects one.
constexpr uint64_t kCandidacySpreadMs = 60;
// If the store has not answered for this long, the process reports that it is
// not ready and callers are sent elsewhere. Covers a few answers of the store
// and the period of the readiness checks.
constexpr milliseconds kStoreTimeout(1500);
// Jobs remembered as possibly stored. Holds some seconds of the largest bursts,
// which is far longer than callers retry.
constexpr size_t kMaxUnresolvedJobs = 4096;

}  // namespace

// A caller's record that is being written to the store.
struct JobFrontend::PendingWrite {
  RelayCall call;  // The same write as a call to another frontend.
  keyed_log::Record record;
  Instant deadline;
  bool may_be_stored = false;
  bool is_relayed = false;
  std::function<void(SubmitResult)> done;
};

JobFrontend::JobFrontend(const JobFrontendSettings& settings,
                         const ProcessContext& context)
    : settings_(settings),
      context_(context),
      metrics_(std::make_unique<ClusterMetrics>(context.metrics)),
      job_writer_(kJobsTopic, context.log, context.clock),
      replica_(context, directory_),
      frontends_({settings.leader.node, settings.leader.address,
                  settings.started_ms, settings.millicores},
                 settings.standbys,
                 settings.frontend_timeout),
      frontend_records_({kLeaderTopic},
                        context.log,
                        context.clock,
                        [this](const keyed_log::Record& record) {
                          OnFrontendRecord(record);
                        }),
      relay_(context, frontends_, settings.leader.address),
      handover_(settings.handover, context, frontends_),
      leader_check_timer_(context.loop) {}

JobFrontend::~JobFrontend() = default;

void JobFrontend::Start() {
  leader_seen_at_ = context_.clock.Now();
  store_answered_at_ = context_.clock.Now();
  Announce();
  FollowFrontends();
}

void JobFrontend::Stop() {
  is_stopping_ = true;
  AnnounceDeparture();
  if (leader_) {
    leader_->Stop(frontends_.ChooseSuccessor());
  }
}

bool JobFrontend::is_ready() const {
  return !is_stopping_ && routes_.version > 0 &&
         context_.clock.Now() - store_answered_at_ < kStoreTimeout;
}

milliseconds JobFrontend::store_age() const {
  return std::chrono::floor<milliseconds>(context_.clock.Now() -
                                          store_answered_at_);
}

void JobFrontend::SetRoutes(const jobs::RouteTable& routes) {
  if (routes.version <= routes_.version) {
    return;
  }
  routes_ = routes;
  context_.logger.Log(Event::kConfigurationInForce,
                      {{"version", static_cast<int64_t>(routes.version)},
                       {"queues", static_cast<int64_t>(routes.queues.size())}});
  if (leader_) {
    leader_->SetRoutes(routes_);
  }
}

void JobFrontend::OnFrontendRecord(const keyed_log::Record& record) {
  if (record.key == kLeaderKey) {
    const auto leader = jobs::Decode<jobs::LeaderRecord>(record.value);
    if (leader && leader->term >= published_leader_.term) {
      published_leader_ = *leader;
    }
    return;
  }
  if (!record.key.starts_with(kFrontendPrefix)) {
    return;
  }
  if (record.value.empty()) {
    frontends_.Remove(record.key.substr(kFrontendPrefix.size()));
  } else if (const auto frontend = DecodeFrontendRecord(record.value)) {
    frontends_.Put(*frontend, context_.clock.Now());
  } else {
    context_.logger.Log(Event::kMessageUnreadable,
                        {{"from", "store"}, {"key", record.key}});
  }
}

void JobFrontend::ScheduleLeaderCheck(milliseconds delay) {
  leader_check_timer_.expires_after(delay);
  leader_check_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      CheckLeader();
    }
  });
}

void JobFrontend::CheckLeader() {
  if (is_stopping_) {
    return;
  }
  metrics_->UpdateLeaderless(is_leading()
                                 ? milliseconds(0)
                                 : std::chrono::floor<milliseconds>(
                                       context_.clock.Now() - leader_seen_at_));
  if (leader_) {
    if (is_leading()) {
      store_answered_at_ = context_.clock.Now();
      ConsiderHandover();
    }
    ScheduleLeaderCheck(settings_.leader_check_period);
    return;
  }
  if (!is_following()) {
    if (context_.clock.Now() - leader_seen_at_ <
        settings_.standby_takeover_timeout) {
      CheckLeaderRemotely();
      return;
    }
    is_taking_over_ = true;
    initial_state_read_at_.reset();
  }
  const Instant started_at = context_.clock.Now();
  // Reads the jobs that were accepted in the meantime, in parallel.
  replica_.CatchUpOnJobs([](bool) {});
  replica_.CatchUpOnProgress([this, started_at](bool is_caught_up) {
    if (!is_caught_up) {
      ScheduleLeaderCheck(settings_.leader_check_period);
      return;
    }
    store_answered_at_ = std::max(store_answered_at_, started_at);
    // Records from before do not prove that the leader is still running.
    if (!initial_state_read_at_) {
      initial_state_read_at_ = context_.clock.Now();
      leader_seen_at_ = *initial_state_read_at_ - settings_.leader_timeout +
                        settings_.startup_leader_timeout;
    } else if (replica_.leader_seen_at() > *initial_state_read_at_) {
      leader_seen_at_ = std::max(leader_seen_at_, replica_.leader_seen_at());
      is_taking_over_ = false;
    }
    CampaignIfDue();
  });
}

bool JobFrontend::is_following() const {
  return frontends_.IsOwnStandby() || is_taking_over_;
}

const std::string& JobFrontend::leader_address() const {
  return replica_.leader().term >= published_leader_.term
             ? replica_.leader().address
             : published_leader_.address;
}

void JobFrontend::CheckLeaderRemotely() {
  QueryLeader(settings_.leader_poll_timeout, [this](bool is_leader) {
    if (is_leader) {
      leader_seen_at_ = context_.clock.Now();
    }
    ScheduleLeaderCheck(is_leader ? settings_.frontend_poll_period
                                  : settings_.leader_check_period);
  });
}

Instant JobFrontend::CampaignTime(Instant now) {
  const jobs::LeaderRecord& last = replica_.leader();
  // There is no leader to wait for if the last one resigned, or was this
  // process before its restart.
  const bool is_leaderless =
      last.term == 0 || last.has_resigned || last.node == settings_.leader.node;
  if (!is_leaderless) {
    leaderless_since_.reset();
    const milliseconds spread(StableHash(settings_.leader.node, last.term) %
                              kCandidacySpreadMs);
    return leader_seen_at_ + settings_.leader_timeout + spread +
           settings_.campaign_delay;
  }
  if (!leaderless_since_) {
    leaderless_since_ = now;
  }
  if (last.successor.empty()) {
    return *leaderless_since_ + settings_.campaign_delay;
  }
  return last.successor == settings_.leader.node
             ? *leaderless_since_
             : *leaderless_since_ + settings_.successor_timeout +
                   settings_.campaign_delay;
}

void JobFrontend::CampaignIfDue() {
  if (leader_ || is_stopping_) {
    ScheduleLeaderCheck(settings_.leader_check_period);
    return;
  }
  const Instant now = context_.clock.Now();
  const Instant campaign_at = CampaignTime(now);
  if (now < campaign_at) {
    ScheduleLeaderCheck(
        std::min(settings_.leader_check_period,
                 std::chrono::ceil<milliseconds>(campaign_at - now)));
  } else if (leaderless_since_) {
    StartCampaign();
  } else {
    CampaignUnlessLeaderAnswers();
  }
}

void JobFrontend::QueryLeader(milliseconds timeout,
                              std::function<void(bool is_leader)> done) {
  http::Request request;
  request.method = "GET";
  request.path = kLeaderPath;
  context_.client.Send(
      leader_address(), request, context_.clock.Now() + timeout,
      [done = std::move(done)](const http::ClientResult& result) {
        const auto* response = std::get_if<http::Response>(&result);
        done(response != nullptr && response->status == 200);
      });
}

void JobFrontend::CampaignUnlessLeaderAnswers() {
  QueryLeader(settings_.leader_query_timeout,
              [this, term = replica_.leader().term](bool is_leader) {
                if (is_leader) {
                  leader_seen_at_ = context_.clock.Now() -
                                    settings_.leader_timeout +
                                    settings_.leader_check_period;
                  is_taking_over_ = false;
                } else if (term == replica_.leader().term && !leader_ &&
                           !is_stopping_) {
                  StartCampaign();
                  return;
                }
                ScheduleLeaderCheck(settings_.leader_check_period);
              });
}

void JobFrontend::ConsiderHandover() {
  handover_.Consider(leader_->behind(),
                     [this, term = leader_->term()](
                         const std::optional<FrontendRecord>& candidate) {
                       if (candidate && is_leading() &&
                           leader_->term() == term && !is_stopping_) {
                         is_taking_over_ = false;
                         leader_->Stop(candidate);
                       }
                     });
}

void JobFrontend::StartCampaign() {
  handover_.OnTermBegun();
  leader_ = std::make_shared<Leader>(
      settings_.leader, context_, *metrics_, directory_, replica_, [this] {
        leader_seen_at_ = context_.clock.Now();
        boost::asio::post(context_.loop, [this] { leader_.reset(); });
      });
  leader_->SetRoutes(routes_);
  leader_->Campaign();
  ScheduleLeaderCheck(settings_.leader_check_period);
}

void JobFrontend::HandleLeaderQuery(const async_http::Respond& respond) const {
  respond({is_leading() ? 200 : 409, {}, {}});
}

void JobFrontend::HandleStandbyQuery(const async_http::Respond& respond) {
  const bool is_up_to_date =
      replica_.caught_up_at() + settings_.leader_timeout >=
      context_.clock.Now();
  const bool may_lead =
      !is_stopping_ && !leader_ && initial_state_read_at_ && is_up_to_date;
  respond({may_lead ? 200 : 409,
           {},
           may_lead ? handover_.Answer() : std::string()});
}

void JobFrontend::HandleSuccession(const async_http::Respond& respond) {
  respond({is_stopping_ ? 409 : 200, {}, {}});
  CheckLeader();
}

void JobFrontend::Refresh(milliseconds freshness,
                          bool is_job_known,
                          std::function<void(bool)> done) {
  const Instant started_at = context_.clock.Now();
  if (!is_leading() && context_.log.is_out()) {
    done(false);
    return;
  }
  if (!is_leading() && !is_following()) {
    done(false);
    return;
  }
  if (is_leading()) {
    // What callers change goes to any frontend, and the leader reads it.
    if (is_job_known &&
        replica_.jobs_caught_up_at() + settings_.count_freshness >=
            started_at) {
      done(true);
    } else {
      replica_.CatchUpOnJobs(std::move(done));
    }
    return;
  }
  // Another frontend may have stored an unknown job after the last read.
  if (is_job_known && replica_.caught_up_at() + freshness >= started_at) {
    done(true);
    return;
  }
  // Progress is read before jobs: a job is stored before its progress, so every
  // progress record that was read has its job.
  replica_.CatchUpOnProgress(
      [this, started_at, done = std::move(done)](bool is_caught_up) {
        if (!is_caught_up) {
          done(false);
          return;
        }
        store_answered_at_ = std::max(store_answered_at_, started_at);
        replica_.CatchUpOnJobs(done);
      });
}

void JobFrontend::Write(const std::shared_ptr<PendingWrite>& write) {
  const Instant started_at = context_.clock.Now();
  if (context_.log.is_out()) {
    RelayWrite(write);
    return;
  }
  if (started_at + kResponseMargin >= write->deadline) {
    write->done(write->may_be_stored ? SubmitResult::kUnknown
                                     : SubmitResult::kNotStored);
    return;
  }
  job_writer_.Write(
      write->record, write->deadline - kResponseMargin,
      [this, write, started_at](const keyed_log::AppendResult& result) {
        if (std::holds_alternative<keyed_log::Stored>(result)) {
          store_answered_at_ = std::max(store_answered_at_, started_at);
          write->done(SubmitResult::kAccepted);
          return;
        }
        if (std::holds_alternative<keyed_log::Unanswered>(result)) {
          // The record is keyed by the job's id, so storing it twice has no
          // effect.
          write->may_be_stored = true;
          Write(write);
          return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(
            context_.loop, kRefusedRetryDelay);
        timer->async_wait(
            [this, write, timer](boost::system::error_code) { Write(write); });
      });
}

void JobFrontend::Submit(const JobId& id,
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
  const Instant started_at = context_.clock.Now();
  write->done = [this, id, job, started_at,
                 done = std::move(done)](SubmitResult outcome) {
    const SubmitResult result = ResolveOutcome(id, outcome);
    metrics_->OnSubmitted(result, context_.clock.Now() - started_at);
    if (result == SubmitResult::kAccepted) {
      directory_.OnJob(id, job);
    }
    done(result);
  };
  Write(write);
}

SubmitResult JobFrontend::ResolveOutcome(const JobId& id, SubmitResult result) {
  const bool is_unresolved =
      std::ranges::find(unresolved_jobs_, id) != unresolved_jobs_.end();
  switch (result) {
    case SubmitResult::kAccepted:
      std::erase(unresolved_jobs_, id);
      return result;
    case SubmitResult::kNotStored:
      return is_unresolved ? SubmitResult::kUnknown : result;
    case SubmitResult::kUnknown:
      if (!is_unresolved) {
        unresolved_jobs_.push_back(id);
      }
      if (unresolved_jobs_.size() > kMaxUnresolvedJobs) {
        unresolved_jobs_.pop_front();
      }
      return result;
  }
  return result;
}

void JobFrontend::State(const std::string& queue,
                        const JobId& id,
                        std::function<void(StateResult)> done) {
  FindState(queue, id, true, std::move(done));
}

void JobFrontend::FindState(const std::string& queue,
                            const JobId& id,
                            bool may_relay,
                            std::function<void(StateResult)> done) {
  const auto known = directory_.StateOf(queue, id);
  if (known && (*known == jobs::JobState::kCompleted ||
                *known == jobs::JobState::kFailed ||
                *known == jobs::JobState::kCancelled)) {
    done(*known);
    return;
  }
  Refresh(settings_.state_freshness, known.has_value(),
          [this, queue, id, may_relay, done = std::move(done)](bool is_fresh) {
            const auto state = directory_.StateOf(queue, id);
            const StateResult own = state      ? StateResult(*state)
                                    : is_fresh ? StateResult(JobUnknown{})
                                               : StateResult(std::monostate{});
            if (is_fresh || !may_relay) {
              done(own);
              return;
            }
            // What this process knows may be of any age.
            RelayQuery(RelayKind::kState, queue, id,
                       [own, done](const RelayAnswer* answer) {
                         if (answer == nullptr) {
                           done(own);
                         } else if (answer->has_job) {
                           done(static_cast<jobs::JobState>(answer->value));
                         } else {
                           done(JobUnknown{});
                         }
                       });
          });
}

void JobFrontend::Cancel(const std::string& queue,
                         const JobId& id,
                         Instant deadline,
                         std::function<void(CancelResult)> done) {
  if (directory_.StateOf(queue, id)) {
    WriteCancellation(queue, id, deadline, std::move(done));
    return;
  }
  State(queue, id,
        [this, queue, id, deadline,
         done = std::move(done)](const StateResult& state) {
          if (std::holds_alternative<std::monostate>(state)) {
            done(CancelResult::kFailed);
          } else if (std::holds_alternative<JobUnknown>(state)) {
            done(CancelResult::kNoSuchJob);
          } else {
            WriteCancellation(queue, id, deadline, done);
          }
        });
}

void JobFrontend::WriteCancellation(const std::string& queue,
                                    const JobId& id,
                                    Instant deadline,
                                    std::function<void(CancelResult)> done) {
  auto write = std::make_shared<PendingWrite>();
  write->record = {KeyOf(kCancelPrefix, id), "x"};
  write->call = {RelayKind::kCancel, queue, id, {}, 0};
  write->deadline = deadline;
  write->done = [this, id, done = std::move(done)](SubmitResult result) {
    if (result == SubmitResult::kAccepted) {
      directory_.OnCancelled(id);
      NotifyOfCancellation(id);
    }
    done(result == SubmitResult::kAccepted ? CancelResult::kCancelled
                                           : CancelResult::kFailed);
  };
  Write(write);
}

void JobFrontend::NotifyOfCancellation(const JobId& id) {
  if (leader_) {
    leader_->OnCancelled(id);
    return;
  }
  http::Request request;
  request.method = "POST";
  request.path = kCancellationPath;
  request.body = id.text();
  context_.client.Send(leader_address(), request,
                       context_.clock.Now() + kQueryTimeout,
                       [](const http::ClientResult&) {
                         // Without it, the leader reads the cancellation.
                       });
}

void JobFrontend::HandleCancellation(const http::Request& request,
                                     const async_http::Respond& respond) {
  const bool is_known = leader_ && leader_->OnCancelled(JobId(request.body));
  respond({is_known ? 200 : 404, {}, {}});
}

void JobFrontend::CountQueued(const std::string& queue,
                              std::function<void(std::optional<size_t>)> done) {
  Refresh(settings_.count_freshness, true,
          [this, queue, done = std::move(done)](bool is_fresh) {
            if (is_fresh) {
              done(directory_.CountQueued(queue));
              return;
            }
            RelayQuery(RelayKind::kCount, queue, JobId(),
                       [done](const RelayAnswer* answer) {
                         done(answer == nullptr
                                  ? std::nullopt
                                  : std::optional<size_t>(answer->value));
                       });
          });
}

void JobFrontend::RelayWrite(const std::shared_ptr<PendingWrite>& write) {
  const auto give_up = [write] {
    write->done(write->may_be_stored ? SubmitResult::kUnknown
                                     : SubmitResult::kNotStored);
  };
  if (write->is_relayed || !relay_.has_peers()) {
    // The store is considered unavailable; the caller gets the result at once.
    give_up();
    return;
  }
  write->is_relayed = true;
  relay_.Send(
      write->call, leader_address(), write->deadline - kResponseMargin,
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

void JobFrontend::RelayQuery(RelayKind kind,
                             const std::string& queue,
                             const JobId& id,
                             std::function<void(const RelayAnswer*)> done) {
  relay_.Send({kind, queue, id, {}, 0}, leader_address(),
              context_.clock.Now() + kRelayedQueryTimeout,
              [done = std::move(done)](const Relay::Outcome& outcome) {
                done(outcome.answer ? &*outcome.answer : nullptr);
              });
}

void JobFrontend::HandleRelay(const http::Request& request,
                              const async_http::Respond& respond) {
  const auto call = DecodeRelayCall(request.body);
  if (!call) {
    respond({400, {}, {}});
    return;
  }
  const auto answer = [respond](const RelayAnswer& it) {
    respond({200, {}, Encode(it)});
  };
  if (context_.log.is_out()) {
    answer(RelayAnswer{});
    return;
  }
  if (call->kind == RelayKind::kState || call->kind == RelayKind::kCount) {
    if (!is_leading() && !is_following()) {
      // This process would have to relay the query itself.
      answer(RelayAnswer{});
      return;
    }
  }
  const Instant deadline =
      context_.clock.Now() + milliseconds(call->remaining_ms);
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
      FindState(call->queue, call->id, false,
                [answer](const StateResult& result) {
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

void JobFrontend::Announce() {
  const FrontendRecord& own = frontends_.own();
  context_.log.Write(
      {kLeaderTopic,
       {{std::string(kFrontendPrefix) + own.node, Encode(own)}},
       std::nullopt,
       std::nullopt},
      context_.clock.Now() + kQueryTimeout,
      [this](const keyed_log::AppendResult& result) {
        auto timer = std::make_shared<boost::asio::steady_timer>(
            context_.loop, std::holds_alternative<keyed_log::Stored>(result)
                               ? settings_.announcement_period
                               : kAnnouncementRetryDelay);
        timer->async_wait([this, timer](boost::system::error_code) {
          if (!is_stopping_) {
            Announce();
          }
        });
      });
}

void JobFrontend::AnnounceDeparture() {
  context_.log.Write(
      {kLeaderTopic,
       {{std::string(kFrontendPrefix) + settings_.leader.node, {}}},
       std::nullopt,
       std::nullopt},
      context_.clock.Now() + kQueryTimeout, [](const keyed_log::AppendResult&) {
        // If the removal is not stored, other frontends make some calls in vain
        // until this one times out.
      });
}

void JobFrontend::FollowFrontends() {
  const Instant started_at = context_.clock.Now();
  frontend_records_.CatchUp([this, started_at](bool is_caught_up) {
    if (is_caught_up) {
      store_answered_at_ = std::max(store_answered_at_, started_at);
    }
    if (!std::exchange(has_read_frontends_, true)) {
      CheckLeader();
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        context_.loop, settings_.frontend_poll_period);
    timer->async_wait(
        [this, timer](boost::system::error_code) { FollowFrontends(); });
  });
}

void JobFrontend::HandleReport(const http::Request& request,
                               const async_http::Respond& respond) {
  if (!leader_) {
    respond({409, {}, {}});
    return;
  }
  leader_->HandleReport(request, respond);
}

}  // namespace papayadrift::cluster
