#ifndef PAPAYADRIFT_REPLAY_ENTRY_TABLE_H_
#define PAPAYADRIFT_REPLAY_ENTRY_TABLE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "base/identifiers.h"
#include "records/record.h"
#include "replay/former_incarnations.h"
#include "replay/verdict.h"

namespace papayadrift::replay {

// One life of an entry.
struct EntryKey {
  EntryId entry;
  Incarnation incarnation;

  friend auto operator<=>(const EntryKey&, const EntryKey&) = default;
};

enum class EntryPhase : uint8_t {
  kJoining,  // Not yet acknowledged by every member: has no slot shares.
  kFull,
  kLapsed,  // Suspected dead; its shares return when it is retired.
};

struct EntryState {
  ZoneId zone;
  std::string http_address;    // "ip:port".
  std::string stream_address;  // "ip:port".
  EntryPhase phase = EntryPhase::kJoining;
  // Whether it ever was full, and so may hold shares while lapsed.
  bool was_full = false;
  // The generation that its joining started.
  Generation joined;
  // The newest generation to which it has shrunk its shares.
  Generation acknowledged;
  // Offset of the record that brought it into `phase`.
  Offset phase_since;

  friend bool operator==(const EntryState&, const EntryState&) = default;
};

// The members of the membership of entries, and its generation. Check*()
// answers whether a record would be valid, Apply*() carries out a valid one.
class EntryTable {
 public:
  using Entries = std::map<EntryKey, EntryState>;

  const Entries& entries() const { return entries_; }
  Generation generation() const { return generation_; }
  const EntryState* Find(const EntryKey& key) const;
  // Whether the entry is a member that has not lapsed.
  bool IsActive(const EntryKey& key) const;

  std::optional<Rejection> Check(const records::EntryJoined& record) const;
  std::optional<Rejection> Check(
      const records::EntryAcknowledged& record) const;
  std::optional<Rejection> Check(const records::EntryLeft& record) const;
  std::optional<Rejection> Check(const records::EntryLapsed& record) const;
  std::optional<Rejection> Check(const records::EntryRetired& record) const;

  void Apply(Offset offset, const records::EntryJoined& record);
  void Apply(Offset offset, const records::EntryAcknowledged& record);
  void Apply(Offset offset, const records::EntryLeft& record);
  void Apply(Offset offset, const records::EntryLapsed& record);
  void Apply(Offset offset, const records::EntryRetired& record);

  friend bool operator==(const EntryTable&, const EntryTable&) = default;

 private:
  friend auto Fields(EntryTable& table) {
    return std::tie(table.entries_, table.formers_, table.generation_);
  }

  std::optional<Incarnation> NewestIncarnation(const EntryId& entry) const;
  void Remove(Offset offset, const EntryKey& key);
  // Makes every joining entry full that all others have acknowledged.
  void Promote(Offset offset);
  bool IsAcknowledgedByAll(const EntryKey& key, const EntryState& joiner) const;

  Entries entries_;
  FormerIncarnations<EntryId> formers_;
  Generation generation_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_ENTRY_TABLE_H_
