#include "entry/job_request.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <nlohmann/json.hpp>

namespace papayadrift::entry {

using configuration::Configuration;
using nlohmann::json;

namespace {

constexpr size_t kMaximumNameBytes = 64;
constexpr int64_t kMaximumMillicores = 100'000'000;
constexpr int64_t kMaximumMebibytes = 1'000'000'000;
constexpr int64_t kMaximumAccelerators = 64;
constexpr int64_t kMaximumPriority = 100;
constexpr int64_t kDefaultPriority = 50;
constexpr int64_t kMaximumUnixMilliseconds = 1'000'000'000'000'000;

std::string_view ToText(replay::JobPhase phase) {
  switch (phase) {
    case replay::JobPhase::kOpen:
      return "open";
    case replay::JobPhase::kFinished:
      return "finished";
    case replay::JobPhase::kCancelled:
      return "cancelled";
    case replay::JobPhase::kRefused:
      return "refused";
  }
  return "";
}

// Takes typed members out of a JSON object, noting the first that is wrong.
class MemberReader {
 public:
  MemberReader(const json& object, std::string& detail)
      : object_(object), detail_(detail) {}

  std::string Name(const char* member) {
    const auto it = object_.find(member);
    if (it == object_.end() || !it->is_string()) {
      Refuse(member, "must be a string");
      return "";
    }
    auto text = it->get<std::string>();
    if (!IsName(text)) {
      Refuse(member, "must have 1 to 64 bytes");
    }
    return text;
  }

  int64_t Amount(const char* member,
                 int64_t minimum,
                 int64_t maximum,
                 std::optional<int64_t> fallback) {
    const auto it = object_.find(member);
    if (it == object_.end() && fallback) {
      return *fallback;
    }
    if (it == object_.end() || !it->is_number_integer()) {
      Refuse(member, "must be a whole number");
      return minimum;
    }
    const auto amount = it->get<int64_t>();
    if (amount < minimum || amount > maximum) {
      Refuse(member, "must be within " + std::to_string(minimum) + " and " +
                         std::to_string(maximum));
    }
    return amount;
  }

  std::vector<KindId> Kinds(const char* member, size_t maximum) {
    std::vector<KindId> kinds;
    const auto it = object_.find(member);
    if (it == object_.end()) {
      return kinds;
    }
    const bool is_list =
        it->is_array() && it->size() <= maximum &&
        std::ranges::all_of(*it, [](const json& kind) {
          return kind.is_string() && IsName(kind.get_ref<const std::string&>());
        });
    if (!is_list) {
      Refuse(member, "must be a list of at most " + std::to_string(maximum) +
                         " names of 1 to 64 bytes");
      return kinds;
    }
    std::ranges::transform(
        *it, std::back_inserter(kinds),
        [](const json& kind) { return KindId(kind.get<std::string>()); });
    return kinds;
  }

  bool IsSet(const char* member) {
    const auto it = object_.find(member);
    if (it != object_.end() && !it->is_boolean()) {
      Refuse(member, "must be true or false");
      return false;
    }
    return it != object_.end() && it->get<bool>();
  }

 private:
  static bool IsName(const std::string& text) {
    return !text.empty() && text.size() <= kMaximumNameBytes;
  }

  void Refuse(const char* member, const std::string& what) {
    if (detail_.empty()) {
      detail_ = "The member \"" + std::string(member) + "\" " + what + ".";
    }
  }

  const json& object_;
  std::string& detail_;
};

bool HasOnlyKnownMembers(const json& object) {
  static constexpr auto kMembers = std::to_array<std::string_view>(
      {"job", "team", "kind", "tasks", "millicores", "memory_mebibytes",
       "accelerators", "run_milliseconds", "priority", "checkpointable",
       "urgent", "deadline_unix_ms", "most_tasks_per_rack",
       "most_tasks_per_zone", "apart_from"});
  return std::ranges::all_of(object.items(), [](const auto& it) {
    return std::ranges::find(kMembers, it.key()) != kMembers.end();
  });
}

Resources ReadDeclared(MemberReader& reader) {
  Resources declared;
  declared.millicores = reader.Amount("millicores", 1, kMaximumMillicores, {});
  declared.memory_mebibytes =
      reader.Amount("memory_mebibytes", 1, kMaximumMebibytes, {});
  declared.accelerators =
      reader.Amount("accelerators", 0, kMaximumAccelerators, int64_t{0});
  return declared;
}

Separation ReadSeparation(MemberReader& reader) {
  const auto most = [&](const char* member) {
    return static_cast<uint32_t>(reader.Amount(
        member, 0, replay::JobTable::kMaximumTasksPerJob, int64_t{0}));
  };
  return {.most_per_rack = most("most_tasks_per_rack"),
          .most_per_zone = most("most_tasks_per_zone"),
          .apart_from = reader.Kinds("apart_from", Separation::kMaximumKinds)};
}

}  // namespace

std::optional<records::JobSubmitted> ReadJobRequest(
    std::string_view text,
    const Configuration& configuration,
    std::string& detail) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object() || !HasOnlyKnownMembers(object)) {
    detail = "The body must be a JSON object with known members only.";
    return std::nullopt;
  }
  MemberReader reader(object, detail);
  records::JobSubmitted job;
  job.job = JobId(reader.Name("job"));
  job.team = TeamId(reader.Name("team"));
  job.kind = KindId(reader.Name("kind"));
  job.tasks = static_cast<uint32_t>(reader.Amount(
      "tasks", 1, replay::JobTable::kMaximumTasksPerJob, int64_t{1}));
  job.declared = ReadDeclared(reader);
  job.declared_run_milliseconds =
      reader.Amount("run_milliseconds", 1, kMaximumUnixMilliseconds, {});
  job.priority = static_cast<int32_t>(
      reader.Amount("priority", 0, kMaximumPriority, kDefaultPriority));
  job.is_checkpointable = reader.IsSet("checkpointable");
  job.is_urgent = reader.IsSet("urgent");
  job.deadline = WallInstant(milliseconds(
      reader.Amount("deadline_unix_ms", 0, kMaximumUnixMilliseconds,
                    kMaximumUnixMilliseconds)));
  job.separation = ReadSeparation(reader);
  const configuration::Team* team = FindTeam(configuration, job.team);
  if (detail.empty() && team == nullptr) {
    detail = "There is no team " + job.team.text() + ".";
  }
  if (!detail.empty()) {
    return std::nullopt;
  }
  job.customer = team->customer;
  return job;
}

records::JobSubmitted SubmissionOf(const configuration::Job& job,
                                   const Configuration& configuration,
                                   WallInstant now) {
  records::JobSubmitted record;
  record.job = job.job;
  record.customer = FindTeam(configuration, job.team)->customer;
  record.team = job.team;
  record.kind = job.kind;
  record.tasks = static_cast<uint32_t>(job.tasks);
  record.declared = job.declared;
  record.priority = static_cast<int32_t>(job.priority);
  record.is_checkpointable = job.is_checkpointable;
  record.is_urgent = job.is_urgent;
  record.declared_run_milliseconds = job.declared_run_time.count();
  record.deadline = now + job.time_allowed;
  record.separation = job.separation;
  return record;
}

std::string JobStatusJson(const replay::JobState& job) {
  json body = {{"job", job.submitted.job.text()},
               {"team", job.submitted.team.text()},
               {"phase", ToText(job.phase)},
               {"tasks", job.submitted.tasks},
               {"waiting", job.counts.waiting},
               {"running", job.counts.live},
               {"finished", job.counts.finished},
               {"dropped", job.counts.dropped},
               {"failed_attempts", job.counts.failed_attempts}};
  if (job.refusal) {
    body["reason"] = papayadrift::ToText(*job.refusal);
  }
  return body.dump();
}

}  // namespace papayadrift::entry
