#ifndef PAPAYADRIFT_ENTRY_LOAN_DRIVER_H_
#define PAPAYADRIFT_ENTRY_LOAN_DRIVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/loan_metrics.h"
#include "membership/slot_loans.h"
#include "peer_protocol/messages.h"
#include "routing/routing_table.h"

namespace papayadrift::entry {

// The slot accounts of the path of requests.
struct SlotPort {
  // Slots of a runner in use.
  std::function<int32_t(const std::string& address)> slots_in_use;
  // Sets what may be used of a runner; see routing::Router.
  std::function<void(const ServiceId& service,
                     const std::string& address,
                     const routing::SlotLimit& allowance)>
      allow;
  std::function<bool(const std::string& address,
                     const routing::SlotLimit& allowance)>
      try_allow;
};

// How loans act on slots, and reach other entries.
struct LoanPort {
  SlotPort slots;
  // Sends to a peer; returns false when no connection leads there.
  std::function<bool(const lease::MemberKey& peer,
                     const peer_protocol::Message& message)>
      send;
  // Peers that may lend: connected, and alive.
  std::function<std::vector<lease::MemberKey>()> peers;
};

// Whether the entry may trade slots at the moment.
struct LoanGround {
  // Until when its own shares may be used; nothing if they may not.
  std::optional<Instant> shares_until;
  // Whether it may take on anything: not while it leaves, nor while a joiner
  // waits for its word.
  bool may_trade = false;

  friend bool operator==(const LoanGround&, const LoanGround&) = default;
};

// Borrows idle slots of runners from other entries while requests wait, lends
// own ones, and keeps what may be used of each runner in step. On the control
// thread only.
class LoanDriver {
 public:
  LoanDriver(lease::MemberKey self,
             const lease::LeaseSettings& settings,
             const Clock& clock,
             LoanPort port,
             LoanMetrics* metrics);

  // Takes the routes with this entry's own shares, and returns them with what
  // it may use, for publishing.
  routing::RoutingTable WithLoans(const routing::RoutingTable& own);
  void SetGround(const LoanGround& ground) { ground_ = ground; }
  // Requests of the service wait for slots.
  void OnWanted(const ServiceId& service, size_t requests);
  void OnTime();

  void OnRequest(const membership::SlotLoanRequest& request);
  void OnLoan(const membership::SlotLoan& loan);
  void OnReturn(const membership::SlotLoanReturn& message);

  int32_t Lent(const std::string& runner) const { return loans_.Lent(runner); }
  int32_t lent_slots() const { return loans_.lent_slots(); }
  int32_t borrowed_slots() const { return loans_.borrowed_slots(); }

 private:
  struct Runner {
    ServiceId service;
    int32_t share = 0;
    int32_t connections = 0;
    bool is_serving = false;
  };
  // Requests of a service that wait for slots.
  struct Want {
    size_t requests = 0;
    Instant told_at;
    Instant ask_at;
    microseconds period{0};  // Doubles while nobody lends.
  };
  struct Returning {
    membership::LoanToReturn loan;
    Instant drop_at;
  };

  bool IsWanted(const ServiceId& service) const;
  bool HasOtherSlots(const ServiceId& service, const std::string& runner) const;
  int32_t SlotsToKeep(const std::string& address, const Runner& runner) const;
  routing::SlotLimit AllowanceOf(const std::string& address) const;
  void Enforce(const std::string& address);
  void Settle(const std::string& address);
  void SendReturns(const std::string& address);
  void Ask();
  void AskFor(Want& want, const ServiceId& service);
  void Count(LoanStep step, size_t n = 1);

  const lease::MemberKey self_;
  const lease::LeaseSettings settings_;
  const Clock& clock_;
  const LoanPort port_;
  LoanMetrics* const metrics_;
  membership::SlotLoans loans_;
  LoanGround ground_;
  std::map<std::string, Runner> runners_;
  std::map<ServiceId, std::vector<std::string>> runners_of_;
  std::map<ServiceId, Want> wants_;
  std::map<std::string, std::vector<Returning>> returning_;
  // Runners with loans, and what was last allowed of them.
  std::map<std::string, routing::SlotLimit> traded_;
  size_t asked_ = 0;  // Chooses peer and runner in turn.
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_LOAN_DRIVER_H_
