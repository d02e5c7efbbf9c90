#include "front_process.h"

#include <optional>
#include <string>
#include <variant>

#include "unused_registry.h"
#include "workload.h"

namespace papayadrift::run_histories {
namespace {

// Rounds that find nothing to do are what histories cost most.
constexpr milliseconds kIdleStepInterval(100);
// Time for which callers wait for the answer to a submission or a cancellation.
constexpr milliseconds kCallerTimeout(4000);
// The first frontend leads first.
constexpr milliseconds kCampaignDelay(40);

cluster::JobFrontendSettings SettingsOf(size_t index, const Clock& clock) {
  cluster::JobFrontendSettings settings;
  settings.leader.node = "f" + std::to_string(index);
  settings.leader.address = std::to_string(index);
  settings.leader.max_step_interval = kIdleStepInterval;
  settings.started_ms = clock.WallNow().time_since_epoch().count();
  settings.election.campaign_delay =
      kCampaignDelay * static_cast<int64_t>(index);
  return settings;
}

}  // namespace

FrontProcess::FrontProcess(size_t index,
                           const milliseconds& wall_lead,
                           Simulation& simulation,
                           Network& network,
                           keyed_log::FakeKeyedLog& store,
                           Wiring& wiring,
                           Referee& referee,
                           const TraceLog::Trace& trace,
                           Coverage* coverage)
    : referee_(referee),
      loop_(simulation),
      clock_(simulation, milliseconds(0), wall_lead),
      store_(simulation,
             clock_,
             loop_,
             network,
             store,
             {LinkKind::kStoreWrite, index},
             {LinkKind::kStoreRead, index}),
      peers_(index, clock_, loop_, network, wiring),
      log_("front " + std::to_string(index), trace, coverage),
      frontend_(SettingsOf(index, clock_),
                {loop_, clock_, store_, peers_, log_, UnusedRegistry()}) {
  frontend_.SetRoutes(Routes());
  frontend_.Start();
}

const cluster::Leader* FrontProcess::confirmed_leader() const {
  const cluster::Leader* leader = frontend_.leader();
  return leader != nullptr && leader->is_confirmed() ? leader : nullptr;
}

void FrontProcess::Submit(size_t job) {
  referee_.OnSubmitted(job);
  loop_.Run([this, job] {
    frontend_.Submit(IdOf(job), Jobs()[job], clock_.Now() + kCallerTimeout,
                     [this, job](cluster::SubmitResult result) {
                       if (result == cluster::SubmitResult::kAccepted) {
                         referee_.OnAccepted(job);
                       } else if (result == cluster::SubmitResult::kNotStored) {
                         referee_.OnRejected(job);
                       }
                     });
  });
}

void FrontProcess::Cancel(size_t job) {
  referee_.OnCancelSent(job);
  loop_.Run([this, job] {
    frontend_.Cancel(Jobs()[job].queue, IdOf(job),
                     clock_.Now() + kCallerTimeout,
                     [this, job](cluster::CancelResult result) {
                       if (result == cluster::CancelResult::kCancelled) {
                         referee_.OnCancelled(job);
                       } else if (result == cluster::CancelResult::kNoSuchJob) {
                         referee_.OnCancelRefused(job);
                       }
                     });
  });
}

void FrontProcess::Query(size_t job) {
  loop_.Run([this, job, asked_at = clock_.Now()] {
    frontend_.State(
        Jobs()[job].queue, IdOf(job),
        [this, job, asked_at](const cluster::StateResult& result) {
          if (const auto* state = std::get_if<jobs::JobState>(&result)) {
            referee_.OnShown(job, *state, asked_at);
          } else if (std::holds_alternative<cluster::JobUnknown>(result)) {
            referee_.OnShown(job, std::nullopt, asked_at);
          }
        });
  });
}

}  // namespace papayadrift::run_histories
