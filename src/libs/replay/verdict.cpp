#include "replay/verdict.h"

#include <array>
#include <cassert>

namespace papayadrift::replay {

namespace {

constexpr std::array<std::string_view,
                     static_cast<size_t>(Rejection::kHomeRegionsFixed) + 1>
    kTexts = {
        "attempt_not_live",  "attempt_not_next",    "author_not_member",
        "capacity_exceeded", "checkpoint_mismatch", "duplicate",
        "entry_lapsed",      "entry_not_lapsed",    "entry_unknown",
        "expired",           "generation_unknown",  "incarnation_superseded",
        "job_closed",        "job_known",           "job_unknown",
        "key_body_differs",  "key_not_claimant",    "key_outside_window",
        "key_resolved",      "key_taken",           "key_unknown",
        "malformed",         "no_change",           "quota_exceeded",
        "task_ended",        "task_live",           "task_unknown",
        "too_many_keys",     "version_not_newer",   "worker_draining",
        "worker_lapsed",     "worker_not_lapsed",   "worker_quarantined",
        "worker_unknown",    "wrong_stream",        "domain_full",
        "kinds_apart",       "home_regions_fixed",
};

}  // namespace

std::string_view ToText(Rejection rejection) {
  const auto i = static_cast<size_t>(rejection);
  assert(i < kTexts.size());
  return kTexts[i];
}

}  // namespace papayadrift::replay
