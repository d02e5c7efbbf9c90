#include "logging/event.h"

#include <array>

namespace papayadrift::logging {

namespace {

using enum Level;

constexpr auto kEvents = std::to_array<EventDescription>({
    {Event::kAccessDenied, kWarning, "access.denied",
     "A caller or operator came without a valid token."},
    {Event::kAppendRejected, kError, "append.rejected",
     "The platform's log refused an append for good, or a record is larger "
     "than "
     "it takes; this process goes on without what was refused."},
    {Event::kAppendUnanswered, kWarning, "append.unanswered",
     "The platform's log did not answer an append, which may have happened."},
    {Event::kConfigurationInForce, kInfo, "configuration.in_force",
     "A new version of the configuration took effect in this process."},
    {Event::kConfigurationRefused, kWarning, "configuration.refused",
     "A change of the configuration was refused as a whole."},
    {Event::kConnectionRefused, kWarning, "connection.refused",
     "Requests were refused, or connections closed, since they exceed a bound "
     "of their listener; at most one line for each reason in 10 s."},
    {Event::kEntryJoined, kInfo, "entry.joined",
     "Another entry became a member."},
    {Event::kEntryRemoved, kInfo, "entry.removed",
     "An entry is no longer a member."},
    {Event::kEntrySuspected, kWarning, "entry.suspected",
     "An entry has not been heard of for too long."},
    {Event::kJobAccepted, kInfo, "job.accepted",
     "A job was stored, and its caller is told so."},
    {Event::kJobCancelled, kInfo, "job.cancelled",
     "The cancelling of a job was stored, and its caller is told so."},
    {Event::kJobEnded, kInfo, "job.ended",
     "A job was completed, failed or cancelled."},
    {Event::kJobRefused, kWarning, "job.refused",
     "A job was refused, since it can't run or failed everywhere."},
    {Event::kLeaderBehind, kWarning, "leader.behind",
     "The leader can't keep up: it acts late, or on an old view of the jobs."},
    {Event::kLeaderCaughtUp, kInfo, "leader.caught_up",
     "The leader keeps up with its work again."},
    {Event::kLeaderDelayed, kWarning, "leader.delayed",
     "The leader's decisions took so long that other events had to wait."},
    {Event::kLeaderElected, kInfo, "leader.elected",
     "This process won a term as leader and reads what is stored."},
    {Event::kLeaderEnded, kWarning, "leader.ended",
     "This process no longer leads, or did not come to."},
    {Event::kLeaderFound, kInfo, "leader.found",
     "An agent has learned of a leader."},
    {Event::kLeaderHandsOver, kInfo, "leader.hands_over",
     "The leader resigns in favour of another process."},
    {Event::kLeaderServes, kInfo, "leader.serves",
     "The leader has read what is stored and gives orders."},
    {Event::kLeaseLapsed, kWarning, "lease.lapsed",
     "The lease of a worker lapsed."},
    {Event::kLinesDropped, kWarning, "lines.dropped",
     "The reader of this log fell behind, and lines are missing here."},
    {Event::kLogOutageBegan, kError, "log.outage_began",
     "The platform's log can't be reached."},
    {Event::kLogOutageEnded, kInfo, "log.outage_ended",
     "The platform's log can be reached again."},
    {Event::kLogTooOld, kError, "log.too_old",
     "Records that this process has not read are no longer kept."},
    {Event::kMessageUnreadable, kWarning, "message.unreadable",
     "A message or record could not be decoded and was not used."},
    {Event::kOrderRefused, kWarning, "order.refused",
     "An agent refused starts, since what their leader knew of the jobs was "
     "too "
     "old or has no valid time."},
    {Event::kOutcomesGap, kError, "outcomes.gap",
     "Outcomes of an interval are missing from the record."},
    {Event::kProcessStarted, kInfo, "process.started", "The process serves."},
    {Event::kProcessStopped, kInfo, "process.stopped",
     "The process finished every request in flight and exits."},
    {Event::kProcessStopping, kInfo, "process.stopping",
     "The process was asked to stop and takes nothing new."},
    {Event::kRecordRejected, kWarning, "record.rejected",
     "A record that this process wrote was rejected at its offset."},
    {Event::kReportUnanswered, kWarning, "report.unanswered",
     "An agent's reports to the leader began to fail, or were rejected."},
    {Event::kRequestAnswered, kInfo, "request.answered",
     "A request's answer goes to its caller."},
    {Event::kRequestRefused, kWarning, "request.refused",
     "A request was refused or failed, for a reason and on what was known "
     "then."},
    {Event::kRequestSendFailed, kWarning, "request.send_failed",
     "A request's send to a runner brought no answer that was used."},
    {Event::kRequestSent, kInfo, "request.sent",
     "A runner was chosen for a request."},
    {Event::kRequestUnwritten, kWarning, "request.unwritten",
     "The caller of a request had gone before its response was written."},
    {Event::kRunChanged, kInfo, "run.changed",
     "A run of a task was claimed for a runner, ended or was paced, or its "
     "tail "
     "latency went over its target or back."},
    {Event::kRunEndAcknowledged, kInfo, "run.end_acknowledged",
     "An agent may let its runner drop an end: it is stored, or nothing has to "
     "be."},
    {Event::kRunInterrupted, kWarning, "run.interrupted",
     "A run of a task was lost or withdrawn, and the task waits for another."},
    {Event::kRunnerChanged, kInfo, "runner.changed",
     "What is believed of a runner has changed."},
    {Event::kServerFailed, kError, "server.failed",
     "An address can't be listened on."},
    {Event::kSettingsRefused, kError, "settings.refused",
     "The settings of the process are invalid."},
    {Event::kSnapshotWritten, kInfo, "snapshot.written",
     "A complete snapshot is in the platform's log."},
    {Event::kStreamConnected, kInfo, "stream.connected",
     "A stream to another process is open."},
    {Event::kStreamLost, kWarning, "stream.lost",
     "A stream to another process broke; it is opened again."},
    {Event::kTaskEnded, kInfo, "task.ended",
     "The end of a task's attempt is recorded."},
    {Event::kTaskEvicted, kInfo, "task.evicted",
     "A task was ordered to give way to another one."},
    {Event::kTaskStarted, kInfo, "task.started",
     "A worker was ordered to start a task."},
    {Event::kWorkerAnnounced, kInfo, "worker.announced",
     "A worker announced itself."},
    {Event::kWorkerDraining, kInfo, "worker.draining",
     "A worker takes no new work."},
    {Event::kWorkerQuarantined, kWarning, "worker.quarantined",
     "A worker fails what others run and gets probes only."},
    {Event::kWorkerReleased, kInfo, "worker.released",
     "A worker passed its probes and gets work again."},
    {Event::kZoneChanged, kInfo, "zone.changed",
     "Operators evacuated an availability zone, or reopened it."},
});

}  // namespace

std::span<const EventDescription> AllEvents() {
  return kEvents;
}

const EventDescription& Describe(Event event) {
  return kEvents[static_cast<size_t>(event)];
}

std::string_view ToText(Event event) {
  return Describe(event).name;
}

std::string_view ToText(Level level) {
  constexpr std::array<std::string_view, 4> kNames = {"debug", "info",
                                                      "warning", "error"};
  return kNames[static_cast<size_t>(level)];
}

}  // namespace papayadrift::logging
