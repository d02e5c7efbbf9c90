#ifndef PAPAYADRIFT_STANDINS_WORKER_BACKEND_SERVICE_H_
#define PAPAYADRIFT_STANDINS_WORKER_BACKEND_SERVICE_H_

#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/server.h"
#include "worker_protocol/messages.h"

namespace papayadrift::standins {

struct BackendSettings {
  ServiceId service;
  std::string worker;
  int32_t slots = 8;
  milliseconds work_time{5};  // Of one request, unless it states another.

  friend bool operator==(const BackendSettings&,
                         const BackendSettings&) = default;
};

inline constexpr size_t kJournaledBodyBytes = 256;

// One execution of a request, as it really was; for audits.
struct RequestRun {
  std::string identity;  // Of the send.
  std::string key;       // Of the caller; empty if none.
  std::string body;      // Its first kJournaledBodyBytes.
  WallInstant started_at;

  friend bool operator==(const RequestRun&, const RequestRun&) = default;
};

struct BackendFaults {
  bool fails_requests = false;  // Runs them, answers 500.
  bool swaps_answers = false;   // Answers with another request's identity.
  milliseconds extra_time{0};   // On top of the time of each request.

  friend bool operator==(const BackendFaults&, const BackendFaults&) = default;
};

// A backend server that only pretends to work: a request occupies a slot for
// its time, at most until its deadline, at which it is stopped. Safe to share
// between threads; OnTime() must be called every few milliseconds.
class BackendService {
 public:
  BackendService(BackendSettings settings, const Clock& clock);

  void Handle(const http::Request& request, http::Respond respond);
  void OnTime();
  void SetFaults(const BackendFaults& faults);

  // What was run since the start.
  std::vector<RequestRun> journal() const;
  // The most requests that ever ran at a time, and those beyond the slots.
  int32_t most_at_once() const;
  int64_t refused_for_slots() const;
  size_t in_flight() const;
  // Latency of what ended since the last call; nothing if nothing did.
  std::optional<worker_protocol::LatencyReport> TakeLatency();

 private:
  struct Running {
    Instant started_at;
    Instant ends_at;
    http::Respond respond;
    http::Response response;
  };

  // When the request must be stopped; never if it states no deadline.
  Instant DeadlineOf(const http::Request& request) const;
  http::Response AnswerTo(const http::Request& request) const;
  static http::Response StoppedAnswerTo(const http::Request& request);

  const BackendSettings settings_;
  const Clock& clock_;
  mutable std::mutex mutex_;
  BackendFaults faults_;
  std::list<Running> running_;
  std::vector<RequestRun> journal_;
  std::vector<int64_t> took_microseconds_;
  std::string last_identity_;
  int32_t most_at_once_ = 0;
  int64_t refused_for_slots_ = 0;
};

}  // namespace papayadrift::standins

#endif  // PAPAYADRIFT_STANDINS_WORKER_BACKEND_SERVICE_H_
