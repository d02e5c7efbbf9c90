#include "region_stream.h"

#include <cassert>

#include "records/codec.h"

namespace papayadrift::replay {

namespace {

constexpr Incarnation kLife(1'764'806'400'000'000);  // Microseconds of a start.
constexpr Resources kCapacity = {.millicores = 64'000,
                                 .memory_mebibytes = 256'000,
                                 .accelerators = 2};
constexpr Resources kGrant = {.millicores = 1'500,
                              .memory_mebibytes = 4'096,
                              .accelerators = 0};

WorkerId WorkerAt(uint32_t i) {
  return WorkerId("worker-" + std::to_string(1'000 + i));
}

TeamId TeamAt(uint32_t i) {
  return TeamId("team-" + std::to_string(100 + i));
}

}  // namespace

void RegionStream::Fill(uint32_t workers,
                        uint32_t teams,
                        uint32_t running_tasks) {
  // Offsets, and so tokens, of the size that a month brings.
  state_.Complete(Offset(50'000'000));
  workers_ = workers;
  teams_ = teams;
  records::QuotasSet quotas;
  quotas.version = ConfigurationVersion(7'200);
  for (uint32_t i = 0; i < teams; ++i) {
    constexpr int64_t kAmple = 10'000'000;
    quotas.quotas.push_back(
        {.team = TeamAt(i), .limit = {kAmple, kAmple, kAmple}});
  }
  Add(std::move(quotas));
  for (uint32_t i = 0; i < workers; ++i) {
    records::WorkerAnnounced record;
    record.worker = WorkerAt(i);
    record.incarnation = kLife;
    record.zone = ZoneId("zone-" + std::to_string(i % 14));
    record.rack = RackId("rack-" + std::to_string(i / 3));
    record.address = "10.12.141.15:8400";
    record.capacity = kCapacity;
    Add(std::move(record));
  }
  for (uint32_t i = 0; i < running_tasks; ++i) {
    Start(NextTask());
  }
  Append();
}

std::string RegionStream::Turn(uint32_t starts) {
  for (uint32_t i = 0; i < starts; ++i) {
    records::TaskEnded ended;
    ended.task = running_.front();
    ended.attempt = Attempt(1);
    running_.pop_front();
    ++ended_tasks_;
    Add(std::move(ended));
    Start(NextTask());
  }
  return Append();
}

void RegionStream::Add(records::Record record) {
  batch_.push_back({.id = {.author = EntryId("entry-117"),
                           .incarnation = kLife,
                           .sequence = ++sequence_},
                    .last_offset = Offset(state_.next_offset().value() + 50),
                    .record = std::move(record)});
}

void RegionStream::Start(const TaskId& task) {
  records::TaskClaimed claim;
  claim.task = task;
  claim.attempt = Attempt(1);
  claim.worker = WorkerAt(starts_++ % workers_);
  claim.incarnation = kLife;
  claim.grant = kGrant;
  running_.push_back(task);
  Add(std::move(claim));
}

TaskId RegionStream::NextTask() {
  if (tasks_left_ == 0) {
    tasks_left_ = kTasksPerJob;
    records::JobSubmitted job;
    job.job = JobId("entry-117-" + std::to_string(++jobs_));
    job.customer = CustomerId("banverksgrus");
    job.team = TeamAt(jobs_ % teams_);
    job.kind = KindId("delivery-plan");
    job.tasks = kTasksPerJob;
    job.declared = kGrant;
    job.deadline = WallInstant(milliseconds(1'764'806'400'000));
    Add(std::move(job));
  }
  --tasks_left_;
  return {.job = JobId("entry-117-" + std::to_string(jobs_)),
          .index = tasks_left_};
}

std::string RegionStream::Append() {
  std::string bytes = records::Encode(batch_);
  batch_.clear();
  for (const auto& applied : ApplyBytes(state_, state_.next_offset(), bytes)) {
    assert(applied.verdict.is_accepted());
    static_cast<void>(applied);
  }
  return bytes;
}

}  // namespace papayadrift::replay
