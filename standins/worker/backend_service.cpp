#include "standins/worker/backend_service.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace papayadrift::standins {

namespace {

constexpr int kOk = 200;
constexpr int kFailed = 500;
constexpr int kUnavailable = 503;
constexpr int kTimedOut = 504;
constexpr char kIdentityHeader[] = "request-id";
constexpr char kKeyHeader[] = "idempotency-key";
constexpr char kDeadlineHeader[] = "deadline";
constexpr char kWorkHeader[] = "work-milliseconds";

std::string HeaderOf(const http::Request& request, const char* name) {
  const auto it = request.headers.find(name);
  return it == request.headers.end() ? std::string() : it->second;
}

// The value of `values` that the part `part` of them do not exceed.
int64_t QuantileOf(const std::vector<int64_t>& sorted, double part) {
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(last * part)];
}

}  // namespace

BackendService::BackendService(BackendSettings settings, const Clock& clock)
    : settings_(std::move(settings)), clock_(clock) {}

void BackendService::Handle(const http::Request& request,
                            http::Respond respond) {
  const std::lock_guard lock(mutex_);
  if (static_cast<int32_t>(running_.size()) >= settings_.slots) {
    ++refused_for_slots_;
    respond({kUnavailable,
             {{kIdentityHeader, HeaderOf(request, kIdentityHeader)}},
             R"({"ran":"no"})"});
    return;
  }
  journal_.push_back(
      {HeaderOf(request, kIdentityHeader), HeaderOf(request, kKeyHeader),
       request.body.substr(0, kJournaledBodyBytes), clock_.WallNow()});
  int64_t work = settings_.work_time.count();
  const std::string stated = HeaderOf(request, kWorkHeader);
  std::from_chars(stated.data(), stated.data() + stated.size(), work);
  const Instant now = clock_.Now();
  const Instant ends_at = now + milliseconds(work) + faults_.extra_time;
  const Instant deadline = DeadlineOf(request);
  running_.push_back(
      {now, std::min(ends_at, deadline), std::move(respond),
       ends_at <= deadline ? AnswerTo(request) : StoppedAnswerTo(request)});
  last_identity_ = HeaderOf(request, kIdentityHeader);
  most_at_once_ =
      std::max(most_at_once_, static_cast<int32_t>(running_.size()));
}

void BackendService::OnTime() {
  std::vector<Running> ended;
  {
    const std::lock_guard lock(mutex_);
    const Instant now = clock_.Now();
    for (auto it = running_.begin(); it != running_.end();) {
      if (it->ends_at > now) {
        ++it;
        continue;
      }
      took_microseconds_.push_back((now - it->started_at).count());
      ended.push_back(std::move(*it));
      it = running_.erase(it);
    }
  }
  for (Running& it : ended) {
    it.respond(std::move(it.response));
  }
}

void BackendService::SetFaults(const BackendFaults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

std::vector<RequestRun> BackendService::journal() const {
  const std::lock_guard lock(mutex_);
  return journal_;
}

int32_t BackendService::most_at_once() const {
  const std::lock_guard lock(mutex_);
  return most_at_once_;
}

int64_t BackendService::refused_for_slots() const {
  const std::lock_guard lock(mutex_);
  return refused_for_slots_;
}

size_t BackendService::in_flight() const {
  const std::lock_guard lock(mutex_);
  return running_.size();
}

std::optional<worker_protocol::LatencyReport> BackendService::TakeLatency() {
  const std::lock_guard lock(mutex_);
  if (took_microseconds_.empty()) {
    return std::nullopt;
  }
  std::ranges::sort(took_microseconds_);
  worker_protocol::LatencyReport report{
      settings_.service, QuantileOf(took_microseconds_, 0.5),
      QuantileOf(took_microseconds_, 0.99),
      static_cast<int64_t>(took_microseconds_.size())};
  took_microseconds_.clear();
  return report;
}

Instant BackendService::DeadlineOf(const http::Request& request) const {
  const std::string text = HeaderOf(request, kDeadlineHeader);
  int64_t number = 0;
  const auto [rest, ec] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (ec != std::errc()) {
    return Instant::max();
  }
  return clock_.Now() + (WallInstant(milliseconds(number)) - clock_.WallNow());
}

http::Response BackendService::StoppedAnswerTo(const http::Request& request) {
  return {kTimedOut,
          {{kIdentityHeader, HeaderOf(request, kIdentityHeader)}},
          R"({"ran":"unknown"})"};
}

http::Response BackendService::AnswerTo(const http::Request& request) const {
  const bool is_swapped = faults_.swaps_answers && !last_identity_.empty();
  const nlohmann::json body = {{"worker", settings_.worker},
                               {"echo", request.body}};
  return {faults_.fails_requests ? kFailed : kOk,
          {{"content-type", "application/json"},
           {kIdentityHeader,
            is_swapped ? last_identity_ : HeaderOf(request, kIdentityHeader)}},
          body.dump()};
}

}  // namespace papayadrift::standins
