#ifndef PAPAYADRIFT_LOGGING_EVENT_H_
#define PAPAYADRIFT_LOGGING_EVENT_H_

#include <span>
#include <string_view>

namespace papayadrift::logging {

enum class Level { kDebug, kInfo, kWarning, kError };

// Everything that a process reports in its log. The names returned by
// ToText() are part of the interface to operators.
enum class Event {
  kAccessDenied,
  kAppendRejected,
  kAppendUnanswered,
  kConfigurationInForce,
  kConfigurationRefused,
  kConnectionRefused,
  kEntryJoined,
  kEntryRemoved,
  kEntrySuspected,
  kJobAccepted,
  kJobCancelled,
  kJobEnded,
  kJobRefused,
  kLeaderBehind,
  kLeaderCaughtUp,
  kLeaderDelayed,
  kLeaderElected,
  kLeaderEnded,
  kLeaderFound,
  kLeaderHandsOver,
  kLeaderServes,
  kLeaseLapsed,
  kLinesDropped,
  kLogOutageBegan,
  kLogOutageEnded,
  kLogTooOld,
  kMessageUnreadable,
  kOrderRefused,
  kOutcomesGap,
  kProcessStarted,
  kProcessStopped,
  kProcessStopping,
  kRecordRejected,
  kReportUnanswered,
  kRequestAnswered,
  kRequestRefused,
  kRequestSendFailed,
  kRequestSent,
  kRequestUnwritten,
  kRunChanged,
  kRunEndAcknowledged,
  kRunInterrupted,
  kRunnerChanged,
  kServerFailed,
  kSettingsRefused,
  kSnapshotWritten,
  kStreamConnected,
  kStreamLost,
  kTaskEnded,
  kTaskEvicted,
  kTaskStarted,
  kWorkerAnnounced,
  kWorkerDraining,
  kWorkerQuarantined,
  kWorkerReleased,
  kZoneChanged,
};

// One line of the table of events.
struct EventDescription {
  Event event;
  Level level;
  std::string_view name;
  std::string_view meaning;  // A whole sentence, for the operators' page.

  friend bool operator==(const EventDescription&,
                         const EventDescription&) = default;
};

// All events, in the order of the enumeration.
std::span<const EventDescription> AllEvents();

const EventDescription& Describe(Event event);
std::string_view ToText(Event event);
std::string_view ToText(Level level);

}  // namespace papayadrift::logging

#endif  // PAPAYADRIFT_LOGGING_EVENT_H_
