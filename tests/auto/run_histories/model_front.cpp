#include "model_front.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>
#include <variant>

#include "async_http/client.h"
#include "cluster/process_context.h"
#include "cluster/topics.h"
#include "cluster_http/asio_event_loop.h"
#include "cluster_http/http_peers.h"
#include "jobs/codec.h"
#include "logging/logger.h"
#include "metrics/registry.h"
#include "workload.h"

namespace papayadrift::run_histories {
namespace {

// As in job_frontend.cpp.
constexpr milliseconds kRefusedRetryDelay(80);
constexpr milliseconds kWriteTimeout(2000);
constexpr int kWriteAttempts = 3;
constexpr milliseconds kStateFreshness(100);
constexpr milliseconds kCountFreshness(700);

// What processes need besides a clock and a store; nothing here is used.
struct Unused {
  Unused()
      : descriptor(open("/dev/null", O_WRONLY | O_CLOEXEC)),
        logger("unused", logging::Level::kError, clock, descriptor),
        event_loop(loop),
        client(loop, async_http::ClientSettings(), clock),
        peers(client) {}
  ~Unused() { close(descriptor); }
  Unused(const Unused&) = delete;
  Unused& operator=(const Unused&) = delete;

  ManualClock clock;
  const int descriptor;
  boost::asio::io_context loop;
  logging::Logger logger;
  metrics::Registry metrics;
  cluster_http::AsioEventLoop event_loop;
  async_http::Client client;
  cluster_http::HttpPeers peers;
};

cluster::ProcessContext ContextOf(const Clock& clock,
                                  keyed_log::KeyedLog& store) {
  static Unused unused;
  return {unused.event_loop, clock,         store,
          unused.peers,      unused.logger, unused.metrics};
}

bool IsFinal(jobs::JobState state) {
  return state == jobs::JobState::kCompleted ||
         state == jobs::JobState::kFailed ||
         state == jobs::JobState::kCancelled;
}

}  // namespace

ModelFront::ModelFront(size_t index,
                       Simulation& simulation,
                       Network& network,
                       keyed_log::KeyedLog& store,
                       Wiring& wiring,
                       Referee& referee,
                       NotifyLeader notify_leader,
                       jobs::JobSchedulerEventListener event_listener)
    : index_(index),
      simulation_(simulation),
      network_(network),
      store_(store),
      wiring_(wiring),
      referee_(referee),
      notify_leader_(std::move(notify_leader)),
      event_listener_(std::move(event_listener)),
      replica_(ContextOf(simulation.clock(), store), directory_) {}

ModelFront::~ModelFront() {
  replica_.SetListener({});
}

void ModelFront::Write(const keyed_log::Record& record,
                       int attempts_left,
                       Done done) {
  store_.Write({cluster::kJobsTopic, {record}, std::nullopt, std::nullopt},
               simulation_.Now() + kWriteTimeout,
               [weak = weak_from_this(), record, attempts_left,
                done = std::move(done)](const keyed_log::AppendResult& result) {
                 const auto self = weak.lock();
                 if (!self) {
                   return;
                 }
                 const bool is_stored =
                     std::holds_alternative<keyed_log::Stored>(result);
                 if (is_stored || attempts_left <= 1) {
                   done(is_stored);
                   return;
                 }
                 self->simulation_.After(
                     kRefusedRetryDelay, [weak, record, attempts_left, done] {
                       if (const auto still = weak.lock()) {
                         still->Write(record, attempts_left - 1, done);
                       }
                     });
               });
}

void ModelFront::Submit(size_t job) {
  const JobId id = IdOf(job);
  referee_.OnSubmitted(job);
  if (directory_.StateOf(Jobs()[job].queue, id)) {
    referee_.OnAccepted(job);
    return;
  }
  Write({cluster::KeyOf(cluster::kJobPrefix, id), jobs::Encode(Jobs()[job])},
        kWriteAttempts, [this, job, id](bool is_stored) {
          if (is_stored) {
            directory_.OnJob(id, Jobs()[job]);
            referee_.OnAccepted(job);
          }
        });
}

void ModelFront::Refresh(bool is_job_known, Done done) {
  const Instant now = simulation_.Now();
  if (is_leading()) {
    if (is_job_known && replica_.jobs_caught_up_at() + kCountFreshness >= now) {
      done(true);
    } else {
      replica_.CatchUpOnJobs(std::move(done));
    }
    return;
  }
  if (is_job_known && replica_.caught_up_at() + kStateFreshness >= now) {
    done(true);
    return;
  }
  replica_.CatchUpOnProgress(
      [weak = weak_from_this(), done = std::move(done)](bool is_caught_up) {
        const auto self = weak.lock();
        if (!self || !is_caught_up) {
          done(false);
          return;
        }
        self->replica_.CatchUpOnJobs(done);
      });
}

void ModelFront::Query(size_t job) {
  const JobId id = IdOf(job);
  const std::string& queue = Jobs()[job].queue;
  const auto known = directory_.StateOf(queue, id);
  if (known && IsFinal(*known)) {
    referee_.OnShown(job, known);
    return;
  }
  Refresh(known.has_value(),
          [weak = weak_from_this(), job, id, &queue](bool is_fresh) {
            const auto self = weak.lock();
            if (self && is_fresh) {
              self->referee_.OnShown(job, self->directory_.StateOf(queue, id));
            }
          });
}

void ModelFront::Cancel(size_t job) {
  const JobId id = IdOf(job);
  const std::string& queue = Jobs()[job].queue;
  if (directory_.StateOf(queue, id)) {
    WriteCancellation(job);
    return;
  }
  Refresh(false, [weak = weak_from_this(), job, id, &queue](bool is_fresh) {
    const auto self = weak.lock();
    if (self && is_fresh && self->directory_.StateOf(queue, id)) {
      self->WriteCancellation(job);
    }
  });
}

void ModelFront::WriteCancellation(size_t job) {
  const JobId id = IdOf(job);
  referee_.OnCancelSent(job);
  Write({cluster::KeyOf(cluster::kCancelPrefix, id), "x"}, kWriteAttempts,
        [this, job, id](bool is_stored) {
          if (!is_stored) {
            return;
          }
          directory_.OnCancelled(id);
          referee_.OnCancelled(job);
          if (leader_) {
            leader_->OnCancelled(id);
          } else {
            notify_leader_(replica_.leader().address, id);
          }
        });
}

void ModelFront::Campaign() {
  if (has_term()) {
    return;
  }
  leader_.reset();
  // The jobs that were accepted in the meantime are read in parallel.
  replica_.CatchUpOnJobs([](bool) {});
  replica_.CatchUpOnProgress([weak = weak_from_this()](bool is_caught_up) {
    const auto self = weak.lock();
    if (!self || !is_caught_up || self->leader_) {
      return;
    }
    self->leader_ = std::make_shared<ModelLeader>(
        self->index_, self->simulation_, self->network_, self->store_,
        self->wiring_, self->directory_, self->replica_, self->event_listener_);
    self->leader_->Campaign();
  });
}

void ModelFront::Resign(const std::string& successor) {
  if (has_term()) {
    leader_->Resign(successor);
  }
}

void ModelFront::OnReport(const jobs::RunnerReport& report,
                          const Network::Respond<ReportReply>& respond) {
  if (leader_) {
    leader_->OnReport(report, respond);
  } else {
    respond({});
  }
}

void ModelFront::OnCancelled(const JobId& id) {
  if (leader_) {
    leader_->OnCancelled(id);
  }
}

}  // namespace papayadrift::run_histories
