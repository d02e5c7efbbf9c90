#include "composition/log_service.h"

#include <algorithm>
#include <utility>

namespace papayadrift::test {
namespace {

constexpr milliseconds kTimeout(500);
constexpr uint32_t kMaximumDelayMicroseconds = 8'000;
constexpr uint32_t kMaximumLatenessMicroseconds = 3'000'000;
constexpr uint32_t kPercent = 100;

}  // namespace

class LogService::Port : public log::LogPort {
 public:
  Port(LogService& service, std::string process)
      : service_(service), process_(std::move(process)) {}

  void Append(const log::StreamId& stream,
              std::string bytes,
              std::function<void(log::AppendResult)> done) override {
    const auto call = std::make_shared<Call<log::AppendResult>>(
        Call<log::AppendResult>{process_, std::move(done)});
    const Instant now = service_.timeline_.now();
    service_.timeline_.At(now + kTimeout,
                          [call] { call->Finish(log::AppendUnanswered()); });
    service_.timeline_.At(now + service_.Delay(),
                          [this, stream, bytes = std::move(bytes), call] {
                            service_.AppendAt(stream, bytes, call);
                          });
  }

  void Read(const log::StreamId& stream,
            Offset from,
            uint32_t limit,
            uint32_t wait_milliseconds,
            std::function<void(log::ReadResult)> done) override {
    const auto call = std::make_shared<Call<log::ReadResult>>(
        Call<log::ReadResult>{process_, std::move(done)});
    const Instant now = service_.timeline_.now();
    const milliseconds wait(wait_milliseconds);
    service_.timeline_.At(now + wait + kTimeout,
                          [call] { call->Finish(log::ReadFailed()); });
    service_.timeline_.At(
        now + service_.Delay(), [this, stream, from, limit, now, wait, call] {
          service_.ReadAt({stream, from, limit, now + wait, call});
        });
  }

 private:
  LogService& service_;
  const std::string process_;
};

LogService::LogService(routing::SimulatedClock& timeline,
                       const Links& links,
                       uint64_t seed,
                       OnStored on_stored)
    : timeline_(timeline),
      links_(links),
      random_(seed),
      on_stored_(std::move(on_stored)) {}

std::unique_ptr<log::LogPort> LogService::PortFor(const std::string& process) {
  return std::make_unique<Port>(*this, process);
}

microseconds LogService::Delay() {
  return microseconds(1 + random_(kMaximumDelayMicroseconds));
}

bool LogService::Happens(uint32_t percent) {
  return percent > 0 && random_(kPercent) < percent;
}

Offset LogService::Store(const log::StreamId& stream,
                         const std::string& bytes) {
  std::vector<std::string>& records = streams_[stream];
  records.push_back(bytes);
  ++stored_count_;
  const Offset offset(records.size());
  on_stored_(stream, offset, bytes);
  for (LongRead& read : std::exchange(waiting_[stream], {})) {
    Answer(read.call, ReadNow(stream, read.from, read.limit));
  }
  return offset;
}

log::ReadResult LogService::ReadNow(const log::StreamId& stream,
                                    Offset from,
                                    uint32_t limit) const {
  const auto it = streams_.find(stream);
  const uint64_t count = it == streams_.end() ? 0 : it->second.size();
  const Offset oldest(1 + (count > retained_ ? count - retained_ : 0));
  const Offset next(count + 1);
  if (from < oldest) {
    return log::ReadTooOld{oldest, next};
  }
  log::ReadRecords read{{}, oldest, next};
  for (Offset i = from; i < next && read.records.size() < limit; i = i.Next()) {
    read.records.push_back({i, it->second[i.value() - 1]});
  }
  return read;
}

template <typename Result>
void LogService::Answer(const std::shared_ptr<Call<Result>>& call,
                        Result result) {
  if (Happens(faults_.lost_answers) || links_.IsCut(call->process, kLogName)) {
    return;  // The timeout will answer.
  }
  timeline_.At(timeline_.now() + Delay(),
               [call, result = std::move(result)] { call->Finish(result); });
}

void LogService::AppendAt(
    const log::StreamId& stream,
    const std::string& bytes,
    const std::shared_ptr<Call<log::AppendResult>>& call) {
  if (links_.IsCut(call->process, kLogName) || Happens(faults_.lost_requests)) {
    return;
  }
  if (faults_.is_down) {
    Answer<log::AppendResult>(call, log::AppendRefused());
    return;
  }
  if (Happens(faults_.late_appends)) {
    const microseconds late(random_(kMaximumLatenessMicroseconds));
    timeline_.At(timeline_.now() + late,
                 [this, stream, bytes] { Store(stream, bytes); });
    return;
  }
  Answer<log::AppendResult>(call, log::Appended{Store(stream, bytes)});
}

void LogService::ReadAt(LongRead read) {
  if (links_.IsCut(read.call->process, kLogName) ||
      Happens(faults_.lost_requests)) {
    return;
  }
  if (faults_.is_down || read.stream == faults_.unreadable) {
    Answer<log::ReadResult>(read.call, log::ReadFailed());
    return;
  }
  log::ReadResult result = ReadNow(read.stream, read.from, read.limit);
  const auto* records = std::get_if<log::ReadRecords>(&result);
  if (records == nullptr || !records->records.empty() ||
      read.answer_at <= timeline_.now()) {
    Answer(read.call, std::move(result));
    return;
  }
  timeline_.At(read.answer_at, [this, read] {
    if (!faults_.is_down && read.call->done) {
      Answer(read.call, ReadNow(read.stream, read.from, read.limit));
    }
  });
  waiting_[read.stream].push_back(std::move(read));
}

}  // namespace papayadrift::test
