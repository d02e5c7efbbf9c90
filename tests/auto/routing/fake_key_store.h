#ifndef PAPAYADRIFT_TESTS_ROUTING_FAKE_KEY_STORE_H_
#define PAPAYADRIFT_TESTS_ROUTING_FAKE_KEY_STORE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>

#include "routing/actions.h"
#include "simulated_clock.h"

namespace papayadrift::routing {

// Idempotency keys as decided by the log: the first claim wins, after the delay
// of a group commit. Shared by several entries.
class FakeKeyStore {
 public:
  FakeKeyStore(SimulatedClock& clock, microseconds commit_delay)
      : clock_(clock), commit_delay_(commit_delay) {}

  void SetIsAvailable(bool is_available) { is_available_ = is_available; }

  void Claim(const ClaimKey& claim,
             const std::function<void(KeyClaimResult)>& answer) {
    clock_.At(clock_.now() + commit_delay_,
              [=, this] { answer(VerdictOn(claim.info.key)); });
  }

  // Returns what a replayed log contains for the key.
  std::optional<KeyClaimResult> Known(const IdempotencyKey& key) const {
    const auto it = resolved_.find(key);
    if (it == resolved_.end()) {
      return std::nullopt;
    }
    return VerdictOnKnown(it->second);
  }

  void Resolve(const ResolveKey& resolve) {
    resolved_[resolve.key] =
        KeyDuplicate{resolve.ran, resolve.status, resolve.answer};
  }

  bool all_are_resolved() const {
    return std::ranges::all_of(
        resolved_, [](const auto& it) { return it.second.has_value(); });
  }

 private:
  KeyClaimResult VerdictOn(const IdempotencyKey& key) {
    if (!is_available_) {
      return KeyRejected{RefusalReason::kLogUnavailable};
    }
    const auto [it, is_first] = resolved_.try_emplace(key);
    if (is_first) {
      return KeyAccepted{};
    }
    return VerdictOnKnown(it->second);
  }

  static KeyClaimResult VerdictOnKnown(
      const std::optional<KeyDuplicate>& first) {
    if (!first) {
      return KeyRejected{RefusalReason::kKeyInProgress};
    }
    return *first;
  }

  SimulatedClock& clock_;
  const microseconds commit_delay_;
  bool is_available_ = true;
  std::map<IdempotencyKey, std::optional<KeyDuplicate>> resolved_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_TESTS_ROUTING_FAKE_KEY_STORE_H_
