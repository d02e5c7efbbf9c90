#include "entry/event_reporter.h"

#include <string>
#include <variant>

namespace papayadrift::entry {

using logging::Event;

namespace {

int64_t NumberOf(Incarnation incarnation) {
  return static_cast<int64_t>(incarnation.value());
}

// Reports one accepted record.
struct Reporter {
  logging::Logger& logger;

  void Worker(Event event, const WorkerId& worker, Incarnation life) const {
    logger.Log(event,
               {{"worker", worker.text()}, {"incarnation", NumberOf(life)}});
  }
  void Entry(Event event, const EntryId& entry, Incarnation life) const {
    logger.Log(event,
               {{"entry", entry.text()}, {"incarnation", NumberOf(life)}});
  }

  void operator()(const records::EntryJoined& r) const {
    Entry(Event::kEntryJoined, r.entry, r.incarnation);
  }
  void operator()(const records::EntryLapsed& r) const {
    Entry(Event::kEntrySuspected, r.entry, r.incarnation);
  }
  void operator()(const records::EntryLeft& r) const {
    Entry(Event::kEntryRemoved, r.entry, r.incarnation);
  }
  void operator()(const records::EntryRetired& r) const {
    Entry(Event::kEntryRemoved, r.entry, r.incarnation);
  }
  void operator()(const records::WorkerAnnounced& r) const {
    Worker(Event::kWorkerAnnounced, r.worker, r.incarnation);
  }
  void operator()(const records::WorkerDraining& r) const {
    Worker(Event::kWorkerDraining, r.worker, r.incarnation);
  }
  void operator()(const records::WorkerLapsed& r) const {
    Worker(Event::kLeaseLapsed, r.worker, r.incarnation);
  }
  void operator()(const records::WorkerQuarantined& r) const {
    Worker(
        r.is_quarantined ? Event::kWorkerQuarantined : Event::kWorkerReleased,
        r.worker, r.incarnation);
  }
  void operator()(const records::JobRefused& r) const {
    logger.Log(Event::kJobRefused,
               {{"job", r.job.text()},
                {"reason", std::string(papayadrift::ToText(r.reason))}});
  }
  void operator()(const records::TaskClaimed& r) const {
    logger.Log(Event::kTaskStarted,
               {{"task", ToText(r.task)},
                {"attempt", static_cast<int64_t>(r.attempt.value())},
                {"worker", r.worker.text()}});
  }
  void operator()(const records::EvictionRequested& r) const {
    logger.Log(Event::kTaskEvicted,
               {{"task", ToText(r.task)},
                {"attempt", static_cast<int64_t>(r.attempt.value())}});
  }
  void operator()(const records::TaskEnded& r) const {
    logger.Log(Event::kTaskEnded,
               {{"task", ToText(r.task)},
                {"attempt", static_cast<int64_t>(r.attempt.value())},
                {"ending", static_cast<int64_t>(r.ending)}});
  }
  template <typename T>
  void operator()(const T&) const {}
};

}  // namespace

EventReporter::EventReporter(logging::Logger& logger) : logger_(logger) {}

void EventReporter::OnLog(bool is_available) {
  if (is_available == is_log_available_) {
    return;
  }
  is_log_available_ = is_available;
  logger_.Log(is_available ? Event::kLogOutageEnded : Event::kLogOutageBegan);
}

void EventReporter::OnApplied(Offset, const replay::AppliedProposal& applied) {
  if (has_caught_up_ && applied.verdict.is_accepted()) {
    std::visit(Reporter{logger_}, applied.proposal.record);
  }
}

void EventReporter::OnRestored() {
  has_caught_up_ = true;
}

}  // namespace papayadrift::entry
