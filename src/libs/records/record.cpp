#include "records/record.h"

#include <array>

namespace papayadrift::records {

namespace {

constexpr std::array<std::string_view, std::variant_size_v<Record>> kNames = {
    "no_operation",
    "entry_joined",
    "entry_acknowledged",
    "entry_left",
    "entry_lapsed",
    "entry_retired",
    "worker_announced",
    "worker_draining",
    "worker_lapsed",
    "worker_freed",
    "worker_quarantined",
    "job_submitted",
    "job_cancelled",
    "job_refused",
    "task_claimed",
    "grant_changed",
    "eviction_requested",
    "task_ended",
    "key_claimed",
    "key_resolved",
    "snapshot_chunk",
    "configuration_proposed",
    "configuration_reasserted",
    "outcomes_reported",
    "promise_missed",
    "quotas_set",
    "quota_shares_raised",
    "division_reached",
    "quota_given",
    "quota_taken",
    "quotas_offered",
    "quotas_wanted",
    "knowledge_noted",
};

}  // namespace

std::string_view NameOf(const Record& record) {
  return kNames[record.index()];
}

}  // namespace papayadrift::records
