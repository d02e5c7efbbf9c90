#ifndef PAPAYADRIFT_REPLAY_KEY_TABLE_H_
#define PAPAYADRIFT_REPLAY_KEY_TABLE_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/refusal.h"
#include "records/record.h"
#include "replay/entry_table.h"
#include "replay/verdict.h"

namespace papayadrift::replay {

// What names one non-idempotent request of a caller.
struct RequestKey {
  CustomerId customer;
  ServiceId service;
  IdempotencyKey key;

  friend auto operator<=>(const RequestKey&, const RequestKey&) = default;
};

// How the request with a key ended.
struct KeyAnswer {
  Ran ran = Ran::kUnknown;
  int32_t status = 0;  // HTTP status; 0 when there is no answer.
  std::string answer;  // Empty when there is none, or it is too large to keep.

  friend bool operator==(const KeyAnswer&, const KeyAnswer&) = default;
};

struct KeyState {
  EntryKey claimant;
  uint64_t body_digest = 0;
  WallInstant window_ends_at;
  std::optional<KeyAnswer> answer;  // Empty while the request is in progress.

  friend bool operator==(const KeyState&, const KeyState&) = default;
};

// The idempotency keys inside their window. The table has no clock: its time
// is the latest window end accepted so far, less the length of a window. A key
// whose window ends by that time is forgotten, and a claim of it is refused,
// so a forgotten key cannot run again. For this a caller's retry must state
// the same window end as its first try.
class KeyTable {
 public:
  // An entry must refuse a window that ends later than this from now.
  static constexpr milliseconds kWindow = std::chrono::minutes(10);
  static constexpr size_t kMaximumKeys = 50'000;
  static constexpr size_t kMaximumAnswerBytes = 1'024;

  using Keys = std::map<RequestKey, KeyState>;

  const Keys& keys() const { return keys_; }
  const KeyState* Find(const RequestKey& key) const;
  // Keys whose window ends by this time are refused.
  WallInstant closed_until() const { return closed_until_; }

  std::optional<Rejection> Check(const records::KeyClaimed& record) const;
  std::optional<Rejection> Check(const EntryKey& author,
                                 const records::KeyResolved& record) const;

  void Apply(const records::KeyClaimed& record);
  void Apply(const records::KeyResolved& record);
  // Resolves every key in progress of an entry that is gone as unknown.
  void ResolveAsUnknown(const EntryKey& claimant);
  // Rebuilds what follows from the keys after they were unpacked.
  void Reindex();

  friend bool operator==(const KeyTable&, const KeyTable&) = default;

 private:
  friend auto Fields(KeyTable& table) {
    return std::tie(table.keys_, table.closed_until_);
  }

  void EndProgress(const EntryKey& claimant, const RequestKey& key);
  void ForgetClosed();

  Keys keys_;
  WallInstant closed_until_;
  std::set<std::pair<WallInstant, RequestKey>> window_ends_;
  std::map<EntryKey, std::set<RequestKey>> in_progress_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_KEY_TABLE_H_
