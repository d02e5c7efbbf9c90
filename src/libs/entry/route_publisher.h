#ifndef PAPAYADRIFT_ENTRY_ROUTE_PUBLISHER_H_
#define PAPAYADRIFT_ENTRY_ROUTE_PUBLISHER_H_

#include <optional>

#include "base/clock.h"
#include "entry/configuration_stream.h"
#include "entry/decision_stream.h"
#include "entry/entry_standing.h"
#include "entry/loan_driver.h"
#include "entry/membership_driver.h"
#include "entry/request_path_port.h"
#include "lease/renewer.h"
#include "routing/routing_table.h"

namespace papayadrift::entry {

// Keeps the routing table of the path of requests in step with workers, shares
// and configuration. On the control thread only.
class RoutePublisher : public DecisionListener {
 public:
  RoutePublisher(RequestPathPort request_path,
                 const DecisionStream& decisions,
                 const ConfigurationStream& configuration,
                 const EntryStanding& standing,
                 const MembershipDriver& membership,
                 lease::Renewer& renewer,
                 LoanDriver& loans,
                 const Clock& clock);

  void OnTime();
  void OnConfigurationChanged() { is_stale_ = true; }

  void OnApplied(Offset offset,
                 const replay::AppliedProposal& applied) override;
  void OnRestored() override;

  // Until when this entry's own shares may be used; nothing if they may not.
  std::optional<Instant> shares_until() const { return shares_until_; }
  // Whether no more of any runner is used or lent than this entry's share.
  bool IsWithinShares() const;

 private:
  void Publish();
  void UpdateUsableShares();
  routing::RoutingTable BuildRoutes() const;
  bool IsWithinShare(const routing::RunnerRoute& runner) const;

  const RequestPathPort request_path_;
  const DecisionStream& decisions_;
  const ConfigurationStream& configuration_;
  const EntryStanding& standing_;
  const MembershipDriver& membership_;
  lease::Renewer& renewer_;
  LoanDriver& loans_;
  const Clock& clock_;
  std::optional<routing::RoutingTable> published_;
  std::optional<Instant> shares_until_;
  bool is_stale_ = true;
  bool are_shares_usable_ = false;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_ROUTE_PUBLISHER_H_
