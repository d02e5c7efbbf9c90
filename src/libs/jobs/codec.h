#ifndef PAPAYADRIFT_JOBS_CODEC_H_
#define PAPAYADRIFT_JOBS_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "jobs/job.h"
#include "jobs/leader_record.h"
#include "jobs/learned_model.h"
#include "jobs/runner.h"

// MessagePack encoding of stored records and of messages between agents and
// leaders.

namespace papayadrift::jobs {

std::string Encode(const Job& value);
std::string Encode(const StoredOutcome& value);
std::string Encode(const TaskProgress& value);
std::string Encode(const LeaderRecord& value);
std::string Encode(const AgentList& value);
std::string Encode(const LearnedModel& value);
std::string Encode(const RunnerReport& value);
std::string Encode(const ReportAnswer& value);
std::string Encode(const OrderBatch& value);
std::string Encode(const OrderAnswer& value);

// Returns std::nullopt if `bytes` are not one complete encoded value.
template <typename T>
std::optional<T> Decode(std::string_view bytes);

extern template std::optional<Job> Decode(std::string_view);
extern template std::optional<StoredOutcome> Decode(std::string_view);
extern template std::optional<TaskProgress> Decode(std::string_view);
extern template std::optional<LeaderRecord> Decode(std::string_view);
extern template std::optional<AgentList> Decode(std::string_view);
extern template std::optional<LearnedModel> Decode(std::string_view);
extern template std::optional<RunnerReport> Decode(std::string_view);
extern template std::optional<ReportAnswer> Decode(std::string_view);
extern template std::optional<OrderBatch> Decode(std::string_view);
extern template std::optional<OrderAnswer> Decode(std::string_view);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_CODEC_H_
