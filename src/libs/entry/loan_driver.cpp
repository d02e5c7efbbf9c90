#include "entry/loan_driver.h"

#include <algorithm>
#include <utility>

namespace papayadrift::entry {

namespace {

using routing::RunnerRoute;
using routing::SlotLimit;

constexpr int32_t kSlotsPerLoan = 2;
constexpr size_t kAsksAtOnce = 4;
constexpr milliseconds kAskPeriod(2);
constexpr milliseconds kLongestAskPeriod(64);
// How long requests count as waiting after that was told.
constexpr milliseconds kWantMemory(30);
// A loan counts no more this long before its end, so that the next look at it
// comes in time.
constexpr milliseconds kEarliness(50);

}  // namespace

LoanDriver::LoanDriver(lease::MemberKey self,
                       const lease::LeaseSettings& settings,
                       const Clock& clock,
                       LoanPort port,
                       LoanMetrics* metrics)
    : self_(self),
      settings_(settings),
      clock_(clock),
      port_(std::move(port)),
      metrics_(metrics),
      loans_(std::move(self), settings) {}

routing::RoutingTable LoanDriver::WithLoans(const routing::RoutingTable& own) {
  runners_.clear();
  runners_of_.clear();
  std::vector<routing::ServiceRoute> services = own.services();
  for (routing::ServiceRoute& service : services) {
    for (RunnerRoute& route : service.runners) {
      runners_[route.address] = {service.service, route.slot_share,
                                 route.connection_share,
                                 route.state == routing::RunnerState::kServing};
      runners_of_[service.service].push_back(route.address);
      const auto traded = traded_.find(route.address);
      if (traded != traded_.end()) {
        traded->second = AllowanceOf(route.address);
        route.slot_share = traded->second.slots;
        route.slots_until = traded->second.until;
      }
    }
  }
  return routing::RoutingTable(std::move(services));
}

void LoanDriver::OnWanted(const ServiceId& service, size_t requests) {
  const Instant now = clock_.Now();
  const auto [it, is_new] = wants_.try_emplace(service);
  Want& want = it->second;
  if (is_new) {
    want.ask_at = now;
    want.period = kAskPeriod;
  }
  want.requests = requests;
  want.told_at = now;
  Ask();
}

void LoanDriver::OnTime() {
  const size_t lent = loans_.lent_count();
  loans_.OnTime(clock_.Now());
  Count(LoanStep::kRanOut, lent - loans_.lent_count());
  std::vector<std::string> addresses;
  for (const auto& [address, allowance] : traded_) {
    addresses.push_back(address);
  }
  for (const std::string& address : addresses) {
    Settle(address);
  }
  std::erase_if(wants_, [&](const auto& it) { return !IsWanted(it.first); });
  Ask();
}

void LoanDriver::OnRequest(const membership::SlotLoanRequest& request) {
  const Instant now = clock_.Now();
  const auto it = runners_.find(request.runner);
  const bool may_lend = ground_.may_trade && ground_.shares_until &&
                        now < *ground_.shares_until && it != runners_.end() &&
                        it->second.is_serving && !IsWanted(it->second.service);
  // What is borrowed might be among the slots in use, and is not lent on.
  if (!may_lend || loans_.HasBorrowed(request.runner) ||
      returning_.contains(request.runner)) {
    return;
  }
  const Runner& runner = it->second;
  const int32_t needed = port_.slots.slots_in_use(request.runner) +
                         SlotsToKeep(request.runner, runner);
  const auto loan = loans_.OnRequest(request, runner.share, needed, now);
  if (!loan) {
    return;
  }
  traded_.try_emplace(request.runner);
  const SlotLimit allowance = AllowanceOf(request.runner);
  if (!port_.slots.try_allow(request.runner, allowance)) {
    // A request has taken the slot since.
    loans_.OnReturn({request.borrower, request.sequence});
    Settle(request.runner);
    return;
  }
  traded_[request.runner] = allowance;
  Count(LoanStep::kLent);
  port_.send(request.borrower, *loan);
}

void LoanDriver::OnLoan(const membership::SlotLoan& loan) {
  const std::optional<std::string> runner = loans_.RunnerAsked(loan.sequence);
  if (!loans_.OnLoan(loan)) {
    port_.send(loan.lender, loans_.UnusedLoan(loan).message);
    return;
  }
  if (!runner) {
    return;
  }
  Count(LoanStep::kBorrowed);
  traded_.try_emplace(*runner);
  const auto known = runners_.find(*runner);
  if (known != runners_.end()) {
    const auto want = wants_.find(known->second.service);
    if (want != wants_.end()) {
      want->second.period = kAskPeriod;
      want->second.ask_at = clock_.Now();
    }
  }
  // Whether it is needed shows once waiting requests could take it.
  Enforce(*runner);
}

void LoanDriver::OnReturn(const membership::SlotLoanReturn& message) {
  const std::optional<std::string> runner = loans_.RunnerLent(message);
  loans_.OnReturn(message);
  if (runner) {
    Count(LoanStep::kTakenBack);
    Settle(*runner);
  }
}

bool LoanDriver::IsWanted(const ServiceId& service) const {
  const auto it = wants_.find(service);
  return it != wants_.end() && clock_.Now() < it->second.told_at + kWantMemory;
}

bool LoanDriver::HasOtherSlots(const ServiceId& service,
                               const std::string& runner) const {
  const auto it = runners_of_.find(service);
  return it != runners_of_.end() &&
         std::ranges::any_of(it->second, [&](const std::string& other) {
           return other != runner && AllowanceOf(other).slots > 0;
         });
}

int32_t LoanDriver::SlotsToKeep(const std::string& address,
                                const Runner& runner) const {
  // Without any slot a request would be refused for want of a runner.
  return HasOtherSlots(runner.service, address) ? 0 : 1;
}

SlotLimit LoanDriver::AllowanceOf(const std::string& address) const {
  const auto it = runners_.find(address);
  if (it == runners_.end() || !it->second.is_serving || it->second.share == 0) {
    return {};
  }
  const Instant soon = clock_.Now() + kEarliness;
  const int32_t slots = loans_.Allowed(address, it->second.share, soon);
  return {std::min(slots, it->second.connections),
          loans_.AllowedUntil(address, soon).value_or(SlotLimit::kNoExpiry)};
}

void LoanDriver::Enforce(const std::string& address) {
  const SlotLimit allowance = AllowanceOf(address);
  SlotLimit& in_force = traded_[address];
  if (in_force == allowance) {
    return;
  }
  in_force = allowance;
  const auto known = runners_.find(address);
  if (known != runners_.end()) {
    port_.slots.allow(known->second.service, address, allowance);
  }
}

// Nothing is returned before the allowance without it is in force and the use
// is within it.
void LoanDriver::Settle(const std::string& address) {
  const Instant now = clock_.Now();
  const auto known = runners_.find(address);
  const int32_t share = known == runners_.end() ? 0 : known->second.share;
  const int32_t in_use = port_.slots.slots_in_use(address);
  for (membership::LoanToReturn& it :
       loans_.ReturnUnneeded(address, share, in_use, now + kEarliness)) {
    returning_[address].push_back(
        {std::move(it), now + settings_.maximum_request});
  }
  Enforce(address);
  if (port_.slots.slots_in_use(address) <= traded_[address].slots) {
    SendReturns(address);
  }
  const bool is_traded = loans_.HasBorrowed(address) ||
                         loans_.Lent(address) > 0 ||
                         returning_.contains(address);
  if (!is_traded) {
    traded_.erase(address);
  }
}

void LoanDriver::SendReturns(const std::string& address) {
  const auto it = returning_.find(address);
  if (it == returning_.end()) {
    return;
  }
  std::erase_if(it->second, [&](const Returning& returning) {
    const bool is_sent =
        port_.send(returning.loan.lender, returning.loan.message);
    Count(LoanStep::kReturned, is_sent ? 1 : 0);
    return is_sent || clock_.Now() >= returning.drop_at;
  });
  if (it->second.empty()) {
    returning_.erase(it);
  }
}

void LoanDriver::Ask() {
  const Instant now = clock_.Now();
  if (!ground_.may_trade || !ground_.shares_until ||
      now >= *ground_.shares_until) {
    return;
  }
  for (auto& [service, want] : wants_) {
    if (now >= want.ask_at && IsWanted(service)) {
      AskFor(want, service);
    }
  }
}

// Asks each peer in turn for slots of each runner in turn.
void LoanDriver::AskFor(Want& want, const ServiceId& service) {
  const std::vector<lease::MemberKey> peers = port_.peers();
  const auto runners = runners_of_.find(service);
  if (peers.empty() || runners == runners_of_.end()) {
    return;
  }
  want.ask_at = clock_.Now() + want.period;
  want.period = std::min<microseconds>(2 * want.period, kLongestAskPeriod);
  for (size_t n = std::min(want.requests, kAsksAtOnce); n > 0; --n) {
    const lease::MemberKey& peer = peers[asked_ % peers.size()];
    const std::string& address =
        runners->second[asked_ / peers.size() % runners->second.size()];
    ++asked_;
    const Runner& runner = runners_.at(address);
    if (runner.is_serving && runner.share > 0) {
      Count(LoanStep::kAsked);
      port_.send(peer, loans_.Ask(address, kSlotsPerLoan, clock_.Now()));
    }
  }
}

void LoanDriver::Count(LoanStep step, size_t n) {
  if (metrics_ == nullptr) {
    return;
  }
  metrics_->Count(step, n);
  metrics_->SetSlots(loans_.lent_slots(), loans_.borrowed_slots());
}

}  // namespace papayadrift::entry
