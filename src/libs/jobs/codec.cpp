#include "jobs/codec.h"

#include <tuple>

#include "records/packing.h"

namespace papayadrift::jobs {

// Found by argument-dependent lookup, so not in an unnamed namespace.
static auto Fields(TaskKey& value) {
  return std::tie(value.job, value.occurrence, value.step, value.index);
}
static auto Fields(Step& value) {
  return std::tie(value.count, value.need, value.estimated_ms, value.depends_on,
                  value.is_checkpointing, value.is_gang, value.is_long_running,
                  value.is_filler, value.image, value.required_label,
                  value.preferred_rack, value.max_per_runner,
                  value.max_unavailable, value.tail_target_ms);
}
static auto Fields(Job& value) {
  return std::tie(value.queue, value.payload, value.steps, value.first_due_ms,
                  value.interval_ms, value.occurrences, value.accepted_ms);
}
static auto Fields(RunnerIncarnation& value) {
  return std::tie(value.node, value.instance, value.start_unix_ms);
}
static auto Fields(TaskProgress& value) {
  return std::tie(value.phase, value.run, value.failures, value.incarnation,
                  value.checkpoint, value.crashes, value.lone_crashes,
                  value.failed_run, value.has_started, value.crashed_run);
}
static auto Fields(StoredOutcome& value) {
  return std::tie(value.outcome, value.first_occurrence);
}
static auto Fields(LeaderRecord& value) {
  return std::tie(value.term, value.node, value.address, value.heartbeats,
                  value.has_resigned, value.successor);
}
static auto Fields(AgentAddress& value) {
  return std::tie(value.node, value.address);
}
static auto Fields(AgentList& value) {
  return std::tie(value.agents);
}
static auto Fields(LearnedWeight& value) {
  return std::tie(value.serving_image, value.filler_image, value.mean,
                  value.deviation);
}
static auto Fields(LearnedDuration& value) {
  return std::tie(value.kind, value.mean_ms, value.runs);
}
static auto Fields(LearnedModel& value) {
  return std::tie(value.weights, value.durations);
}
static auto Fields(ActiveRun& value) {
  return std::tie(value.task, value.run, value.checkpoint, value.percent,
                  value.gauge);
}
static auto Fields(EndedRun& value) {
  return std::tie(value.number, value.task, value.run, value.end,
                  value.checkpoint);
}
static auto Fields(CrashTime& value) {
  return std::tie(value.earliest_ms, value.latest_ms);
}
static auto Fields(RunnerReport& value) {
  return std::tie(value.incarnation, value.agent_address, value.service,
                  value.zone, value.vm, value.state, value.capacity,
                  value.labels, value.sent_at_ms, value.listed_at_ms,
                  value.active, value.ended, value.crash, value.has_all_ends,
                  value.agent_start_unix_ms, value.is_unreachable,
                  value.earlier_crash, value.call_epoch);
}
static auto Fields(ReportAnswer& value) {
  return std::tie(value.term, value.recorded_ends, value.lease_until_ms,
                  value.call_epoch);
}
static auto Fields(StartOrder& value) {
  return std::tie(value.task, value.run, value.payload, value.checkpoint,
                  value.ticket);
}
static auto Fields(StopOrder& value) {
  return std::tie(value.task, value.run);
}
static auto Fields(PaceOrder& value) {
  return std::tie(value.task, value.run, value.percent);
}
static auto Fields(OrderBatch& value) {
  return std::tie(value.term, value.incarnation, value.orders,
                  value.valid_until_ms, value.jobs_viewed_at_ms);
}
static auto Fields(OrderResult& value) {
  return std::tie(value.verdict, value.known_at_ms);
}
static auto Fields(OrderAnswer& value) {
  return std::tie(value.results, value.agent_start_unix_ms);
}

std::string Encode(const Job& value) {
  return records::PackToBytes(value);
}
std::string Encode(const StoredOutcome& value) {
  return records::PackToBytes(value);
}
std::string Encode(const TaskProgress& value) {
  return records::PackToBytes(value);
}
std::string Encode(const LeaderRecord& value) {
  return records::PackToBytes(value);
}
std::string Encode(const AgentList& value) {
  return records::PackToBytes(value);
}
std::string Encode(const LearnedModel& value) {
  return records::PackToBytes(value);
}
std::string Encode(const RunnerReport& value) {
  return records::PackToBytes(value);
}
std::string Encode(const ReportAnswer& value) {
  return records::PackToBytes(value);
}
std::string Encode(const OrderBatch& value) {
  return records::PackToBytes(value);
}
std::string Encode(const OrderAnswer& value) {
  return records::PackToBytes(value);
}

template <typename T>
std::optional<T> Decode(std::string_view bytes) {
  return records::UnpackFromBytes<T>(bytes);
}

template std::optional<Job> Decode(std::string_view);
template std::optional<StoredOutcome> Decode(std::string_view);
template std::optional<TaskProgress> Decode(std::string_view);
template std::optional<LeaderRecord> Decode(std::string_view);
template std::optional<AgentList> Decode(std::string_view);
template std::optional<LearnedModel> Decode(std::string_view);
template std::optional<RunnerReport> Decode(std::string_view);
template std::optional<ReportAnswer> Decode(std::string_view);
template std::optional<OrderBatch> Decode(std::string_view);
template std::optional<OrderAnswer> Decode(std::string_view);

}  // namespace papayadrift::jobs
