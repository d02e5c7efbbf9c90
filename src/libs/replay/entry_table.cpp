#include "replay/entry_table.h"

#include <algorithm>
#include <ranges>
#include <vector>

#include "base/lookup.h"

namespace papayadrift::replay {

namespace {

template <typename Record>
EntryKey KeyOf(const Record& record) {
  return EntryKey{.entry = record.entry, .incarnation = record.incarnation};
}

}  // namespace

const EntryState* EntryTable::Find(const EntryKey& key) const {
  return FindOrNull(entries_, key);
}

bool EntryTable::IsActive(const EntryKey& key) const {
  const EntryState* state = Find(key);
  return state != nullptr && state->phase != EntryPhase::kLapsed;
}

std::optional<Rejection> EntryTable::Check(
    const records::EntryJoined& record) const {
  if (record.entry.is_empty()) {
    return Rejection::kMalformed;
  }
  const std::optional<Incarnation> newest = NewestIncarnation(record.entry);
  if (newest && record.incarnation <= *newest) {
    return Find(KeyOf(record)) != nullptr ? Rejection::kNoChange
                                          : Rejection::kIncarnationSuperseded;
  }
  return std::nullopt;
}

std::optional<Rejection> EntryTable::Check(
    const records::EntryAcknowledged& record) const {
  const EntryState* state = Find(KeyOf(record));
  if (state == nullptr) {
    return Rejection::kEntryUnknown;
  }
  if (state->phase == EntryPhase::kLapsed) {
    return Rejection::kEntryLapsed;
  }
  if (record.generation > generation_) {
    return Rejection::kGenerationUnknown;
  }
  if (record.generation <= state->acknowledged) {
    return Rejection::kNoChange;
  }
  return std::nullopt;
}

std::optional<Rejection> EntryTable::Check(
    const records::EntryLeft& record) const {
  if (Find(KeyOf(record)) == nullptr) {
    return Rejection::kEntryUnknown;
  }
  return std::nullopt;
}

std::optional<Rejection> EntryTable::Check(
    const records::EntryLapsed& record) const {
  const EntryState* state = Find(KeyOf(record));
  if (state == nullptr) {
    return Rejection::kEntryUnknown;
  }
  if (state->phase == EntryPhase::kLapsed) {
    return Rejection::kNoChange;
  }
  return std::nullopt;
}

std::optional<Rejection> EntryTable::Check(
    const records::EntryRetired& record) const {
  const EntryState* state = Find(KeyOf(record));
  if (state == nullptr) {
    return Rejection::kEntryUnknown;
  }
  if (state->phase != EntryPhase::kLapsed) {
    return Rejection::kEntryNotLapsed;
  }
  return std::nullopt;
}

void EntryTable::Apply(Offset offset, const records::EntryJoined& record) {
  generation_ = generation_.Next();
  entries_[KeyOf(record)] = EntryState{.zone = record.zone,
                                       .http_address = record.http_address,
                                       .stream_address = record.stream_address,
                                       .phase = EntryPhase::kJoining,
                                       .was_full = false,
                                       .joined = generation_,
                                       .acknowledged = generation_,
                                       .phase_since = offset};
  Promote(offset);
}

void EntryTable::Apply(Offset offset,
                       const records::EntryAcknowledged& record) {
  entries_.at(KeyOf(record)).acknowledged = record.generation;
  Promote(offset);
}

void EntryTable::Apply(Offset offset, const records::EntryLeft& record) {
  Remove(offset, KeyOf(record));
}

void EntryTable::Apply(Offset offset, const records::EntryLapsed& record) {
  EntryState& state = entries_.at(KeyOf(record));
  state.phase = EntryPhase::kLapsed;
  state.phase_since = offset;
  Promote(offset);
}

void EntryTable::Apply(Offset offset, const records::EntryRetired& record) {
  Remove(offset, KeyOf(record));
}

std::optional<Incarnation> EntryTable::NewestIncarnation(
    const EntryId& entry) const {
  std::optional<Incarnation> newest = formers_.Newest(entry);
  for (const EntryKey& key : entries_ | std::views::keys) {
    if (key.entry == entry) {
      newest = std::max(newest, std::optional(key.incarnation));
    }
  }
  return newest;
}

void EntryTable::Remove(Offset offset, const EntryKey& key) {
  entries_.erase(key);
  formers_.Add(key.entry, key.incarnation, offset);
  generation_ = generation_.Next();
  Promote(offset);
}

void EntryTable::Promote(Offset offset) {
  std::vector<Entries::value_type*> joiners;
  for (auto& member : entries_) {
    if (member.second.phase == EntryPhase::kJoining) {
      joiners.push_back(&member);
    }
  }
  std::ranges::sort(joiners, {}, [](const Entries::value_type* member) {
    return member->second.joined;
  });
  for (Entries::value_type* member : joiners) {
    EntryState& state = member->second;
    if (IsAcknowledgedByAll(member->first, state)) {
      state.phase = EntryPhase::kFull;
      state.was_full = true;
      state.phase_since = offset;
      // It becomes full with the shares of the membership at this offset.
      state.acknowledged = generation_;
    }
  }
}

bool EntryTable::IsAcknowledgedByAll(const EntryKey& key,
                                     const EntryState& joiner) const {
  return std::ranges::all_of(entries_, [&](const auto& member) {
    const EntryState& state = member.second;
    return member.first == key || !state.was_full ||
           state.acknowledged >= joiner.joined;
  });
}

}  // namespace papayadrift::replay
