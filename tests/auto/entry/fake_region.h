#ifndef PAPAYADRIFT_TESTS_ENTRY_FAKE_REGION_H_
#define PAPAYADRIFT_TESTS_ENTRY_FAKE_REGION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/event_loop.h"
#include "entry/region_controller.h"
#include "standins/log/log_store.h"
#include "standins/worker/worker_core.h"

namespace papayadrift::entry {

// A log in memory that takes kLogTime for each answer, by a manual clock.
class ManualLog : public log::LogPort {
 public:
  explicit ManualLog(const Clock& clock);

  void Append(const log::StreamId& stream,
              std::string bytes,
              std::function<void(log::AppendResult)> done) override;
  void Read(const log::StreamId& stream,
            Offset from,
            uint32_t limit,
            uint32_t wait_milliseconds,
            std::function<void(log::ReadResult)> done) override;

  // Gives the answers that are due.
  void OnTime();
  // The next appends that carry this kind of record never take effect.
  void LoseAppendsOf(std::string_view record, int count);
  uint64_t appends() const { return store_.append_count(); }

 private:
  struct Answer {
    Instant due;
    std::function<void()> give;
  };
  struct Poll {
    Instant give_up_at;
    log::StreamId stream;
    Offset from;
    uint32_t limit = 0;
    std::function<void(log::ReadResult)> done;
  };

  bool IsLost(const std::string& bytes);
  void AnswerPolls();

  const Clock& clock_;
  standins::LogStore store_;
  std::vector<Answer> answers_;
  std::vector<Poll> polls_;
  std::string lost_record_;
  int to_lose_ = 0;
};

// Tasks that wait for the owner to run them.
class ManualRunner : public TaskRunner {
 public:
  void Post(Task task) override { tasks_.push_back(std::move(task)); }
  void RunAll();

 private:
  std::deque<Task> tasks_;
};

// No peers.
class NoTransport : public PeerTransport {
 public:
  void SetAddresses(const std::vector<std::string>& /*addresses*/) override {}
  void Send(ChannelId /*channel*/, const std::string& /*bytes*/) override {}
  void Close(ChannelId /*channel*/) override {}
};

// One entry with the stand-in workers' logic, a log in memory and a manual
// clock.
class FakeRegion {
 public:
  // A worker sends a heartbeat after this time, unless it is asked to sooner.
  static constexpr milliseconds kHeartbeatPeriod{1000};

  FakeRegion();
  ~FakeRegion();

  // Starts the entry and puts a file with the team "team" in force, with these
  // sections besides.
  void Start(const std::string& sections = "");
  // Replaces the entry by one that knows nothing.
  void ReplaceEntry();
  void AddWorker(const std::string& name, const Resources& capacity);
  void Submit(const std::string& body);
  // Heartbeats of the worker are lost, or arrive again.
  void SetCutOff(size_t i, bool is_cut_off) {
    workers_[i].is_cut_off = is_cut_off;
  }

  void Advance(microseconds span);
  // Returns how long it took, at most `most`.
  microseconds AdvanceUntil(const std::function<bool()>& condition,
                            microseconds most);

  RegionController& entry() { return *entry_; }
  ManualLog& log() { return log_; }
  standins::WorkerCore& worker(size_t i) { return workers_[i].core; }
  uint64_t heartbeats() const { return heartbeats_; }
  // Attempts of the job that were ever started on workers.
  size_t StartsOf(const std::string& job) const;
  replay::WorkerState StateOf(const std::string& worker) const;

 private:
  struct Worker {
    standins::WorkerCore core;
    Instant due_at;
    bool is_cut_off = false;
  };

  void MakeEntry();
  void Step();
  void SendHeartbeats();

  ManualClock clock_;
  ManualLog log_;
  std::shared_ptr<ManualRunner> runner_;
  NoTransport transport_;
  uint64_t life_ = 0;
  std::unique_ptr<RegionController> entry_;
  std::vector<Worker> workers_;
  uint64_t heartbeats_ = 0;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_TESTS_ENTRY_FAKE_REGION_H_
