#include "cluster/handover.h"

#include <string>
#include <utility>

namespace papayadrift::cluster {

struct Handover::Round {
  Reason reason = Reason::kVmTooSmall;
  uint64_t own_speed = 0;
  size_t unanswered = 0;
  std::optional<FrontendRecord> best;
  uint64_t best_speed = 0;
  Done done;
};

Handover::Handover(const HandoverSettings& settings,
                   const ProcessContext& context,
                   const FrontendList& frontends)
    : settings_(settings),
      context_(context),
      frontends_(frontends),
      probe_(context.clock) {}

void Handover::OnTermBegun() {
  term_begun_at_ = context_.clock.Now();
  due_at_ = term_begun_at_ + settings_.period;
}

std::optional<Handover::Reason> Handover::ReasonFor(
    const std::optional<Behind>& behind,
    Instant now) const {
  if (behind && now - behind->since >= settings_.behind_limit &&
      now - term_begun_at_ >= settings_.min_term) {
    return behind->has_old_view ? Reason::kCannotRead : Reason::kTooSlow;
  }
  return frontends_.LargerLeaders().empty()
             ? std::nullopt
             : std::optional(Reason::kVmTooSmall);
}

bool Handover::Consider(const std::optional<Behind>& behind, Done done) {
  const Instant now = context_.clock.Now();
  if (now < due_at_) {
    return false;
  }
  const std::optional<Reason> reason = ReasonFor(behind, now);
  if (!reason) {
    return false;
  }
  const std::vector<FrontendRecord> standbys = reason == Reason::kVmTooSmall
                                                   ? frontends_.LargerLeaders()
                                                   : frontends_.Standbys();
  if (standbys.empty()) {
    return false;
  }
  due_at_ = now + settings_.period;
  const auto round = std::make_shared<Round>();
  round->reason = *reason;
  round->own_speed = probe_.Measure();
  round->unanswered = standbys.size();
  round->done = std::move(done);
  for (const FrontendRecord& it : standbys) {
    Ask(round, it);
  }
  return true;
}

uint64_t Handover::LeastSpeed(const Round& round) const {
  switch (round.reason) {
    case Reason::kVmTooSmall:
      return round.own_speed;
    case Reason::kTooSlow:
      return round.own_speed * settings_.min_gain;
    case Reason::kCannotRead:
      break;  // A standby that could lead at once has read them.
  }
  return 0;
}

void Handover::Ask(const std::shared_ptr<Round>& round,
                   const FrontendRecord& standby) {
  context_.peers.QueryStandby(
      standby.address, context_.clock.Now() + settings_.query_timeout,
      [this, round, standby](std::optional<uint64_t> speed) {
        if (speed && (!round->best || *speed > round->best_speed)) {
          round->best = standby;
          round->best_speed = *speed;
        }
        if (--round->unanswered == 0) {
          Finish(*round);
        }
      });
}

void Handover::Finish(const Round& round) {
  if (!round.best || round.best_speed < LeastSpeed(round)) {
    round.done(std::nullopt);
    return;
  }
  context_.logger.Log(logging::Event::kLeaderHandsOver,
                      {{"to", round.best->node},
                       {"speed", static_cast<int64_t>(round.best_speed)},
                       {"own_speed", static_cast<int64_t>(round.own_speed)},
                       {"reason", std::string(Describe(round.reason))}});
  round.done(round.best);
}

std::string_view Handover::Describe(Reason reason) {
  switch (reason) {
    case Reason::kVmTooSmall:
      return "The VM of this process is too small.";
    case Reason::kTooSlow:
      return "This process can't keep up.";
    case Reason::kCannotRead:
      return "This process can't read the jobs.";
  }
  return "unknown";
}

}  // namespace papayadrift::cluster
