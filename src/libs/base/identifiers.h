#ifndef PAPAYADRIFT_BASE_IDENTIFIERS_H_
#define PAPAYADRIFT_BASE_IDENTIFIERS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace papayadrift {

// A name with a type of its own, so that a worker cannot stand where a service
// is expected.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string text) : text_(std::move(text)) {}

  const std::string& text() const { return text_; }
  bool is_empty() const { return text_.empty(); }

  friend auto operator<=>(const Name&, const Name&) = default;

 private:
  std::string text_;
};

// A number with a type of its own.
template <typename Tag>
class Number {
 public:
  constexpr Number() = default;
  explicit constexpr Number(uint64_t value) : value_(value) {}

  constexpr uint64_t value() const { return value_; }
  constexpr Number Next() const { return Number(value_ + 1); }

  friend auto operator<=>(const Number&, const Number&) = default;

 private:
  uint64_t value_ = 0;
};

using CustomerId = Name<struct CustomerTag>;
using TeamId = Name<struct TeamTag>;
using ServiceId = Name<struct ServiceTag>;
using JobId = Name<struct JobTag>;
using KindId = Name<struct KindTag>;
using WorkerId = Name<struct WorkerTag>;
using EntryId = Name<struct EntryTag>;
using ZoneId = Name<struct ZoneTag>;
using RegionId = Name<struct RegionTag>;
using RackId = Name<struct RackTag>;
using CheckpointId = Name<struct CheckpointTag>;
using IdempotencyKey = Name<struct IdempotencyKeyTag>;

// Position of a record in a stream of the platform's log.
using Offset = Number<struct OffsetTag>;
// One life of a process: a restarted process has another one.
using Incarnation = Number<struct IncarnationTag>;
// Counts the attempts of a task, from 1.
using Attempt = Number<struct AttemptTag>;
// Grows with each claim of a task; a worker refuses lower ones.
using FencingToken = Number<struct FencingTokenTag>;
// Version of the configuration; 0 stands for none.
using ConfigurationVersion = Number<struct ConfigurationVersionTag>;
// Generation of the membership of entries; grows with each change.
using Generation = Number<struct GenerationTag>;

// One task of a batch job.
struct TaskId {
  JobId job;
  uint32_t index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

// Returns "<job>/<index>", for logs and dumps.
std::string ToText(const TaskId& task);

}  // namespace papayadrift

template <typename Tag>
struct std::hash<papayadrift::Name<Tag>> {
  size_t operator()(const papayadrift::Name<Tag>& name) const noexcept {
    return std::hash<std::string>()(name.text());
  }
};

template <typename Tag>
struct std::hash<papayadrift::Number<Tag>> {
  size_t operator()(const papayadrift::Number<Tag>& number) const noexcept {
    return std::hash<uint64_t>()(number.value());
  }
};

template <>
struct std::hash<papayadrift::TaskId> {
  size_t operator()(const papayadrift::TaskId& task) const noexcept {
    constexpr size_t kMix = 0x9e3779b97f4a7c15ULL;
    return std::hash<papayadrift::JobId>()(task.job) ^ (task.index * kMix);
  }
};

#endif  // PAPAYADRIFT_BASE_IDENTIFIERS_H_
