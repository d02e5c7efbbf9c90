#include "entry/route_publisher.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "entry/route_table_builder.h"

namespace papayadrift::entry {

namespace {

bool IsMemberChange(const records::Record& record) {
  return std::holds_alternative<records::EntryJoined>(record) ||
         std::holds_alternative<records::EntryAcknowledged>(record) ||
         std::holds_alternative<records::EntryLeft>(record) ||
         std::holds_alternative<records::EntryLapsed>(record) ||
         std::holds_alternative<records::EntryRetired>(record);
}

bool IsWorkerChange(const records::Record& record) {
  return std::holds_alternative<records::WorkerAnnounced>(record) ||
         std::holds_alternative<records::WorkerDraining>(record) ||
         std::holds_alternative<records::WorkerLapsed>(record) ||
         std::holds_alternative<records::WorkerFreed>(record);
}

}  // namespace

RoutePublisher::RoutePublisher(RequestPathPort request_path,
                               const DecisionStream& decisions,
                               const ConfigurationStream& configuration,
                               const EntryStanding& standing,
                               const MembershipDriver& membership,
                               lease::Renewer& renewer,
                               LoanDriver& loans,
                               const Clock& clock)
    : request_path_(std::move(request_path)),
      decisions_(decisions),
      configuration_(configuration),
      standing_(standing),
      membership_(membership),
      renewer_(renewer),
      loans_(loans),
      clock_(clock) {}

void RoutePublisher::OnTime() {
  Publish();
}

void RoutePublisher::OnApplied(Offset /*offset*/,
                               const replay::AppliedProposal& applied) {
  if (!applied.verdict.is_accepted()) {
    return;
  }
  const records::Record& record = applied.proposal.record;
  is_stale_ |= IsMemberChange(record) || IsWorkerChange(record);
  // Shares and drained runners must be obeyed before anything is proposed
  // that depends on it.
  if (is_stale_ && decisions_.has_caught_up()) {
    Publish();
  }
}

void RoutePublisher::OnRestored() {
  is_stale_ = true;
}

bool RoutePublisher::IsWithinShares() const {
  if (!published_) {
    return false;
  }
  return std::ranges::all_of(published_->services(), [&](const auto& service) {
    return std::ranges::all_of(service.runners, [&](const auto& runner) {
      return IsWithinShare(runner);
    });
  });
}

void RoutePublisher::Publish() {
  UpdateUsableShares();
  if (!is_stale_) {
    return;
  }
  is_stale_ = false;
  routing::RoutingTable table = BuildRoutes();
  if (published_ != table) {
    published_ = std::move(table);
    request_path_.publish(loans_.WithLoans(*published_));
  }
}

void RoutePublisher::UpdateUsableShares() {
  shares_until_ = standing_.is_ready()
                      ? renewer_.SharesUsableUntil(clock_.Now())
                      : std::nullopt;
  request_path_.set_usable_until(shares_until_.value_or(Instant::min()));
  const bool are_usable = shares_until_.has_value();
  if (are_usable != are_shares_usable_) {
    are_shares_usable_ = are_usable;
    is_stale_ = true;
  }
}

routing::RoutingTable RoutePublisher::BuildRoutes() const {
  const ShareOf share_of = [this](const std::string& runner,
                                  const membership::RunnerShare& total) {
    return are_shares_usable_ ? membership_.ShareOf(runner, total)
                              : membership::RunnerShare();
  };
  return BuildRoutingTable(configuration_.in_force().parsed,
                           decisions_.state().workers(), share_of);
}

bool RoutePublisher::IsWithinShare(const routing::RunnerRoute& runner) const {
  return request_path_.slots.slots_in_use(runner.address) +
             loans_.Lent(runner.address) <=
         runner.slot_share;
}

}  // namespace papayadrift::entry
