#include "entry/knowledge_desk.h"

#include <utility>

#include "replay/knowledge_news.h"

namespace papayadrift::entry {

namespace {

// How often news are looked for, and all is noted anew.
constexpr seconds kLookPeriod(60);
constexpr seconds kRefreshPeriod(600);

}  // namespace

KnowledgeDesk::KnowledgeDesk(KnowledgePort port,
                             DecisionStream& decisions,
                             const Clock& clock)
    : port_(std::move(port)),
      decisions_(decisions),
      clock_(clock),
      look_at_(clock.Now() + kLookPeriod),
      refresh_at_(clock.Now() + kRefreshPeriod) {}

void KnowledgeDesk::OnTime() {
  const Instant now = clock_.Now();
  if (now < look_at_ || unresolved_ > 0 || !decisions_.has_caught_up() ||
      !decisions_.is_log_available()) {
    return;
  }
  look_at_ = now + kLookPeriod;
  const bool is_refresh = now >= refresh_at_;
  if (is_refresh) {
    refresh_at_ = now + kRefreshPeriod;
  }
  const records::KnowledgeNoted news =
      replay::NewsIn(port_.knowledge(), decisions_.state().knowledge(),
                     [&](const std::string& name) {
                       return is_refresh && port_.is_home_of(name);
                     });
  for (records::KnowledgeNoted& record : replay::Cut(news)) {
    ++unresolved_;
    ++noted_count_;
    decisions_.Propose(std::move(record),
                       [this](const ProposalOutcome&) { --unresolved_; });
  }
}

}  // namespace papayadrift::entry
