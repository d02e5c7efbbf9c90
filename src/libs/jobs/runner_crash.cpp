#include "jobs/runner_crash.h"

namespace papayadrift::jobs {
namespace {

RunnerCrash CrashAt(const CrashTime& crash,
                    int64_t sent_at_ms,
                    Instant received_at) {
  return {crash.earliest_ms,
          received_at - milliseconds(sent_at_ms - crash.latest_ms)};
}

}  // namespace

std::optional<RunnerCrash> CrashOf(const Runner& runner,
                                   const RunnerReport& report,
                                   Instant received_at) {
  if (!report.crash || runner.report.state == RunnerState::kDraining) {
    return std::nullopt;
  }
  return CrashAt(*report.crash, report.sent_at_ms, received_at);
}

std::optional<RunnerCrash> CrashOfReplaced(const Runner& runner,
                                           const RunnerReport& successor,
                                           Instant now) {
  if (runner.has_report && runner.report.state != RunnerState::kReady) {
    return std::nullopt;
  }
  std::optional<RunnerCrash> crash;
  if (successor.earlier_crash) {
    crash = CrashAt(*successor.earlier_crash, successor.sent_at_ms, now);
  } else if (runner.report.crash) {
    crash = CrashOf(runner, runner.report, runner.reported_at);
  } else if (runner.has_report) {
    crash = RunnerCrash{runner.report.listed_at_ms, now};
  }
  const bool is_counted = crash && runner.report.is_unreachable &&
                          runner.runs.empty() &&
                          crash->latest < runner.joined_at;
  return is_counted ? std::nullopt : crash;
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
