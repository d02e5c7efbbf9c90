#include "routing/routing_state.h"

#include <utility>

namespace papayadrift::routing {

namespace {

std::shared_ptr<SlotAccount> AccountFor(const SlotAccounts& previous,
                                        const std::string& address) {
  const auto it = previous.find(address);
  return it == previous.end() ? std::make_shared<SlotAccount>() : it->second;
}

// Runners that are gone get nothing new, and stay while slots are in use.
void KeepBusyAccounts(const SlotAccounts& previous, SlotAccounts& accounts) {
  for (const auto& [address, account] : previous) {
    if (accounts.contains(address)) {
      continue;
    }
    account->Allow({0});
    if (account->in_use() > 0) {
      accounts.emplace(address, account);
    }
  }
}

}  // namespace

RoutingState FollowingState(const RoutingState& previous, RoutingTable table) {
  SlotAccounts accounts;
  for (const ServiceRoute& service : table.services()) {
    for (const RunnerRoute& runner : service.runners) {
      auto account = AccountFor(previous.accounts, runner.address);
      account->Allow(UsableSlots(runner));
      accounts.emplace(runner.address, std::move(account));
    }
  }
  KeepBusyAccounts(previous.accounts, accounts);
  return {std::move(table), std::move(accounts)};
}

}  // namespace papayadrift::routing
