#include "cluster/handover.h"

#include <charconv>
#include <string>
#include <utility>
#include <variant>

#include "cluster/topics.h"

namespace papayadrift::cluster {
namespace {

// Returns the speed in an answer; 0: it has none.
uint64_t SpeedOf(const std::string& body) {
  uint64_t n = 0;
  const char* end = body.data() + body.size();
  const auto [parsed_end, ec] = std::from_chars(body.data(), end, n);
  return ec == std::errc() && parsed_end == end ? n : 0;
}

}  // namespace

struct Handover::Round {
  bool is_behind = false;
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

bool Handover::Consider(const std::optional<Instant>& behind_since, Done done) {
  const Instant now = context_.clock.Now();
  if (now < due_at_) {
    return false;
  }
  const bool is_behind = behind_since &&
                         now - *behind_since >= settings_.behind_limit &&
                         now - term_begun_at_ >= settings_.min_term;
  const std::vector<FrontendRecord> candidates =
      is_behind ? frontends_.Standbys() : frontends_.LargerLeaders();
  if (candidates.empty()) {
    return false;
  }
  due_at_ = now + settings_.period;
  const auto round = std::make_shared<Round>();
  round->is_behind = is_behind;
  round->own_speed = probe_.Measure();
  round->unanswered = candidates.size();
  round->done = std::move(done);
  for (const FrontendRecord& it : candidates) {
    Ask(round, it);
  }
  return true;
}

void Handover::Ask(const std::shared_ptr<Round>& round,
                   const FrontendRecord& standby) {
  http::Request request;
  request.method = "GET";
  request.path = kStandbyPath;
  context_.client.Send(
      standby.address, request, context_.clock.Now() + settings_.query_timeout,
      [this, round, standby](const http::ClientResult& result) {
        const auto* response = std::get_if<http::Response>(&result);
        if (response != nullptr && response->status == 200) {
          const uint64_t speed = SpeedOf(response->body);
          if (!round->best || speed > round->best_speed) {
            round->best = standby;
            round->best_speed = speed;
          }
        }
        if (--round->unanswered == 0) {
          Finish(*round);
        }
      });
}

void Handover::Finish(const Round& round) {
  const uint64_t least_speed =
      round.own_speed * (round.is_behind ? settings_.min_gain : 1);
  if (!round.best || round.best_speed < least_speed) {
    round.done(std::nullopt);
    return;
  }
  context_.logger.Log(
      logging::Event::kLeaderHandsOver,
      {{"to", round.best->node},
       {"speed", static_cast<int64_t>(round.best_speed)},
       {"own_speed", static_cast<int64_t>(round.own_speed)},
       {"reason", round.is_behind
                      ? std::string("This process can't keep up.")
                      : std::string("The VM of this process is too small.")}});
  round.done(round.best);
}

}  // namespace papayadrift::cluster
