#ifndef PAPAYADRIFT_CLUSTER_HANDOVER_H_
#define PAPAYADRIFT_CLUSTER_HANDOVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/frontend_list.h"
#include "cluster/leader_load.h"
#include "cluster/process_context.h"
#include "cluster/speed_probe.h"

namespace papayadrift::cluster {

struct HandoverSettings {
  // Period at which standbys are asked.
  milliseconds period{1000};
  milliseconds query_timeout{1000};
  // A leader that has been behind for this long looks for a faster standby.
  milliseconds behind_limit{2000};
  // It does so only when it has led for this long: a change of leaders costs
  // callers about a second.
  milliseconds min_term{5000};
  // Factor by which a standby then has to be faster.
  uint64_t min_gain = 2;

  friend bool operator==(const HandoverSettings&,
                         const HandoverSettings&) = default;
};

// Decides when a leader resigns in favour of another frontend: if its VM is too
// small beside that of a standby which doesn't compute slower, or if it can't
// keep up and a standby computes much faster.
class Handover {
 public:
  // Gets the frontend that should lead, if there is one.
  using Done = std::function<void(const std::optional<FrontendRecord>&)>;

  Handover(const HandoverSettings& settings,
           const ProcessContext& context,
           const FrontendList& frontends);

  // This process begins to lead or to campaign.
  void OnTermBegun();
  // Asks the standbys if it is time to, and calls `done` once they have
  // answered or not; returns whether it was. `behind` is unset while the leader
  // keeps up.
  bool Consider(const std::optional<Behind>& behind, Done done);
  // Returns the answer to such a question of another leader.
  uint64_t MeasureSpeed() { return probe_.Measure(); }

 private:
  // Why another frontend should lead.
  enum class Reason { kVmTooSmall, kTooSlow, kCannotRead };
  // One round of questions.
  struct Round;

  static std::string_view Describe(Reason reason);
  std::optional<Reason> ReasonFor(const std::optional<Behind>& behind,
                                  Instant now) const;
  // Returns how fast a standby has to be.
  uint64_t LeastSpeed(const Round& round) const;

  void Ask(const std::shared_ptr<Round>& round, const FrontendRecord& standby);
  void Finish(const Round& round);

  const HandoverSettings settings_;
  const ProcessContext context_;
  const FrontendList& frontends_;
  SpeedProbe probe_;
  Instant term_begun_at_;
  Instant due_at_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_HANDOVER_H_
