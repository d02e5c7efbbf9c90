#include "jobs/runner_crash.h"

namespace papayadrift::jobs {

std::optional<RunnerCrash> CrashOf(const Runner& runner,
                                   const RunnerReport& report,
                                   Instant now) {
  if (!report.crash || runner.report.state == RunnerState::kDraining) {
    return std::nullopt;
  }
  return RunnerCrash{
      report.crash->earliest_ms,
      now - milliseconds(report.sent_at_ms - report.crash->latest_ms)};
}

std::optional<RunnerCrash> CrashOfReplaced(const Runner& runner, Instant now) {
  if (!runner.has_report || runner.report.state != RunnerState::kReady) {
    return std::nullopt;
  }
  return RunnerCrash{runner.report.listed_at_ms, now};
}

std::set<TaskKey> CrashSuspects(const RunTable& runs,
                                const RunnerCrash& crash,
                                milliseconds window) {
  std::set<TaskKey> suspects;
  for (const auto& [task, run] : runs) {
    const bool is_recent =
        run.started_by_ms == 0 ||
        run.started_by_ms > crash.earliest_ms - window.count();
    const bool may_have_arrived =
        run.sends > 0 && run.first_sent_at <= crash.latest;
    if (may_have_arrived && is_recent) {
      suspects.insert(CrashRecordOf(task, run.is_gang));
    }
  }
  return suspects;
}

std::string DescribeStart(const Run& run, const RunnerCrash& crash) {
  if (run.sends == 0) {
    return "Its start had not been sent.";
  }
  if (run.started_by_ms == 0) {
    return "Its start had not been confirmed.";
  }
  return "It had started " +
         std::to_string(crash.earliest_ms - run.started_by_ms) +
         " ms before the crash.";
}

}  // namespace papayadrift::jobs
