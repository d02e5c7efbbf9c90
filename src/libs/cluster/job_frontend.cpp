#include "cluster/job_frontend.h"

#include <algorithm>
#include <utility>

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
      election_(
          settings.election,
          context,
          *metrics_,
          replica_,
          frontends_,
          [this](Leader::OnEnd on_end) {
            auto leader = std::make_shared<Leader>(settings_.leader, context_,
                                                   *metrics_, directory_,
                                                   replica_, std::move(on_end));
            leader->SetRoutes(routes_);
            leader->SetZones(zones_);
            return leader;
          },
          [this](Instant started_at) { OnStoreAnswered(started_at); }) {}

JobFrontend::~JobFrontend() = default;

void JobFrontend::Start() {
  election_.Start();
  store_answered_at_ = context_.clock.Now();
  Announce();
  FollowFrontends();
}

void JobFrontend::Stop() {
  is_stopping_ = true;
  AnnounceDeparture();
  election_.Stop();
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
  if (election_.leader() != nullptr) {
    election_.leader()->SetRoutes(routes_);
  }
}

void JobFrontend::SetZones(const ZonesView& zones) {
  zones_ = zones;
  if (election_.leader() != nullptr) {
    election_.leader()->SetZones(zones_);
  }
}

void JobFrontend::OnFrontendRecord(const keyed_log::Record& record) {
  if (record.key == kLeaderKey) {
    const auto leader = jobs::Decode<jobs::LeaderRecord>(record.value);
    if (leader) {
      election_.OnLeaderPublished(*leader);
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

void JobFrontend::OnStoreAnswered(Instant started_at) {
  store_answered_at_ = std::max(store_answered_at_, started_at);
}

std::optional<uint64_t> JobFrontend::HandleStandbyQuery() {
  return election_.HandleStandbyQuery();
}

bool JobFrontend::HandleSuccession() {
  return election_.HandleSuccession();
}

void JobFrontend::Refresh(milliseconds freshness,
                          bool is_job_known,
                          std::function<void(bool)> done) {
  const Instant started_at = context_.clock.Now();
  if (!election_.is_leading() && context_.log.is_out()) {
    done(false);
    return;
  }
  if (!election_.is_leading() && !election_.is_following()) {
    done(false);
    return;
  }
  if (election_.is_leading()) {
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
        OnStoreAnswered(started_at);
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
          OnStoreAnswered(started_at);
          write->done(SubmitResult::kAccepted);
          return;
        }
        if (std::holds_alternative<keyed_log::Rejected>(result)) {
          write->done(write->may_be_stored ? SubmitResult::kUnknown
                                           : SubmitResult::kTooLarge);
          return;
        }
        if (std::holds_alternative<keyed_log::Unanswered>(result)) {
          // The record is keyed by the job's id, so storing it twice has no
          // effect.
          write->may_be_stored = true;
          Write(write);
          return;
        }
        context_.loop.RunAfter(kRefusedRetryDelay,
                               [this, write] { Write(write); });
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
  if (keyed_log::SizeOf(write->record) >
      context_.log.limits().max_record_bytes) {
    const SubmitResult result = ResolveOutcome(id, SubmitResult::kTooLarge);
    metrics_->OnSubmitted(result, microseconds(0));
    done(result);
    return;
  }
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
    case SubmitResult::kTooLarge:
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
  if (election_.leader() != nullptr) {
    election_.leader()->OnCancelled(id);
    return;
  }
  // Without the call, the leader reads the cancellation from the store.
  context_.peers.NotifyOfCancellation(election_.leader_address(), id,
                                      context_.clock.Now() + kQueryTimeout);
}

bool JobFrontend::HandleCancellation(const JobId& id) {
  return election_.leader() != nullptr && election_.leader()->OnCancelled(id);
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
      write->call, election_.leader_address(),
      write->deadline - kResponseMargin,
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
  relay_.Send({kind, queue, id, {}, 0}, election_.leader_address(),
              context_.clock.Now() + kRelayedQueryTimeout,
              [done = std::move(done)](const Relay::Outcome& outcome) {
                done(outcome.answer ? &*outcome.answer : nullptr);
              });
}

void JobFrontend::HandleRelay(const RelayCall& call,
                              const RespondToRelay& respond) {
  const auto answer = [respond](const RelayAnswer& it) { respond(it); };
  if (context_.log.is_out()) {
    answer(RelayAnswer{});
    return;
  }
  if (call.kind == RelayKind::kState || call.kind == RelayKind::kCount) {
    if (!election_.is_leading() && !election_.is_following()) {
      // This process would have to relay the query itself.
      answer(RelayAnswer{});
      return;
    }
  }
  const Instant deadline =
      context_.clock.Now() + milliseconds(call.remaining_ms);
  switch (call.kind) {
    case RelayKind::kSubmit: {
      const auto job = jobs::Decode<jobs::Job>(call.job);
      if (!job) {
        respond(std::nullopt);
        return;
      }
      Submit(call.id, *job, deadline, [answer](SubmitResult result) {
        answer({true, static_cast<uint32_t>(result), true});
      });
      return;
    }
    case RelayKind::kState:
      FindState(call.queue, call.id, false,
                [answer](const StateResult& result) {
                  const auto* state = std::get_if<jobs::JobState>(&result);
                  answer({!std::holds_alternative<std::monostate>(result),
                          state == nullptr ? 0 : static_cast<uint32_t>(*state),
                          state != nullptr});
                });
      return;
    case RelayKind::kCancel:
      Cancel(call.queue, call.id, deadline, [answer](CancelResult result) {
        answer({true, static_cast<uint32_t>(result), true});
      });
      return;
    case RelayKind::kCount:
      CountQueued(call.queue, [answer](std::optional<size_t> count) {
        answer({count.has_value(), static_cast<uint32_t>(count.value_or(0)),
                true});
      });
      return;
  }
}

void JobFrontend::Announce() {
  // VMs that are replaced leave the announcements of their frontends behind.
  // One that is alive announces itself again.
  constexpr size_t kMaxRemovals = 64;
  const FrontendRecord& own = frontends_.own();
  keyed_log::Append append{
      kLeaderTopic,
      {{std::string(kFrontendPrefix) + own.node, Encode(own)}},
      std::nullopt,
      std::nullopt};
  if (election_.is_leading()) {
    for (const std::string& node : frontends_.TimedOut(kMaxRemovals)) {
      append.records.push_back({std::string(kFrontendPrefix) + node, {}});
    }
  }
  context_.log.Write(append, context_.clock.Now() + kQueryTimeout,
                     [this](const keyed_log::AppendResult& result) {
                       context_.loop.RunAfter(
                           std::holds_alternative<keyed_log::Stored>(result)
                               ? settings_.announcement_period
                               : kAnnouncementRetryDelay,
                           [this] {
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
      OnStoreAnswered(started_at);
    }
    if (!std::exchange(has_read_frontends_, true)) {
      election_.CheckLeader();
    }
    context_.loop.RunAfter(settings_.frontend_poll_period,
                           [this] { FollowFrontends(); });
  });
}

void JobFrontend::HandleReport(const ArrivedReport& report,
                               const RespondToReport& respond) {
  if (election_.leader() == nullptr) {
    respond(ReportRejection::kNotTaken);
    return;
  }
  election_.leader()->HandleReport(report, respond);
}

}  // namespace papayadrift::cluster
