#include "replay/key_table.h"

#include <algorithm>

#include "base/lookup.h"

namespace papayadrift::replay {

namespace {

template <typename Record>
RequestKey KeyOf(const Record& record) {
  return RequestKey{.customer = record.customer,
                    .service = record.service,
                    .key = record.key};
}

}  // namespace

const KeyState* KeyTable::Find(const RequestKey& key) const {
  return FindOrNull(keys_, key);
}

std::optional<Rejection> KeyTable::Check(
    const records::KeyClaimed& record) const {
  if (const KeyState* state = Find(KeyOf(record))) {
    return state->body_digest == record.body_digest
               ? Rejection::kKeyTaken
               : Rejection::kKeyBodyDiffers;
  }
  if (record.window_ends_at <= closed_until_) {
    return Rejection::kKeyOutsideWindow;
  }
  if (keys_.size() >= kMaximumKeys) {
    return Rejection::kTooManyKeys;
  }
  return std::nullopt;
}

std::optional<Rejection> KeyTable::Check(
    const EntryKey& author,
    const records::KeyResolved& record) const {
  if (record.ran > Ran::kUnknown) {
    return Rejection::kMalformed;
  }
  const KeyState* state = Find(KeyOf(record));
  if (state == nullptr) {
    return Rejection::kKeyUnknown;
  }
  if (state->claimant != author) {
    return Rejection::kKeyNotClaimant;
  }
  if (state->answer) {
    return Rejection::kKeyResolved;
  }
  return std::nullopt;
}

void KeyTable::Apply(const records::KeyClaimed& record) {
  const RequestKey key = KeyOf(record);
  const EntryKey claimant = {.entry = record.entry,
                             .incarnation = record.incarnation};
  keys_[key] = KeyState{.claimant = claimant,
                        .body_digest = record.body_digest,
                        .window_ends_at = record.window_ends_at,
                        .answer = std::nullopt};
  window_ends_.emplace(record.window_ends_at, key);
  in_progress_[claimant].insert(key);
  closed_until_ = std::max(closed_until_, record.window_ends_at - kWindow);
  ForgetClosed();
}

void KeyTable::Apply(const records::KeyResolved& record) {
  const RequestKey key = KeyOf(record);
  KeyState& state = keys_.at(key);
  const bool is_kept = record.answer.size() <= kMaximumAnswerBytes;
  state.answer = KeyAnswer{.ran = record.ran,
                           .status = record.status,
                           .answer = is_kept ? record.answer : std::string()};
  EndProgress(state.claimant, key);
}

void KeyTable::ResolveAsUnknown(const EntryKey& claimant) {
  const auto it = in_progress_.find(claimant);
  if (it == in_progress_.end()) {
    return;
  }
  for (const RequestKey& key : it->second) {
    keys_.at(key).answer = KeyAnswer();
  }
  in_progress_.erase(it);
}

void KeyTable::Reindex() {
  window_ends_.clear();
  in_progress_.clear();
  for (const auto& [key, state] : keys_) {
    window_ends_.emplace(state.window_ends_at, key);
    if (!state.answer) {
      in_progress_[state.claimant].insert(key);
    }
  }
}

void KeyTable::EndProgress(const EntryKey& claimant, const RequestKey& key) {
  const auto it = in_progress_.find(claimant);
  if (it == in_progress_.end()) {
    return;
  }
  it->second.erase(key);
  if (it->second.empty()) {
    in_progress_.erase(it);
  }
}

void KeyTable::ForgetClosed() {
  while (!window_ends_.empty() &&
         window_ends_.begin()->first <= closed_until_) {
    const RequestKey key = window_ends_.begin()->second;
    window_ends_.erase(window_ends_.begin());
    const auto it = keys_.find(key);
    EndProgress(it->second.claimant, key);
    keys_.erase(it);
  }
}

}  // namespace papayadrift::replay
