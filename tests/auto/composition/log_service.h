#ifndef PAPAYADRIFT_TESTS_COMPOSITION_LOG_SERVICE_H_
#define PAPAYADRIFT_TESTS_COMPOSITION_LOG_SERVICE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "composition/links.h"
#include "log/log_port.h"
#include "routing/simulated_clock.h"

namespace papayadrift::test {

// What goes wrong with calls to the log, in percent of them.
struct LogFaults {
  bool is_down = false;
  uint32_t lost_requests = 0;
  uint32_t lost_answers = 0;
  uint32_t late_appends = 0;  // Stored seconds after the caller gave up.
  log::StreamId unreadable;   // Reads of this stream fail.
};

// The platform's log in memory, on manual time, with a port for each process.
class LogService {
 public:
  // Hears of each record at the moment at which it is stored.
  using OnStored = std::function<
      void(const log::StreamId&, Offset, const std::string& bytes)>;

  LogService(routing::SimulatedClock& timeline,
             const Links& links,
             uint64_t seed,
             OnStored on_stored);

  std::unique_ptr<log::LogPort> PortFor(const std::string& process);
  void SetFaults(const LogFaults& faults) { faults_ = faults; }
  // From now on reads return the newest `count` records only.
  void Retain(uint64_t count) { retained_ = count; }
  // Records stored so far, in all streams.
  uint64_t stored_count() const { return stored_count_; }

 private:
  class Port;
  // A call that is answered once, by the timeout at the latest.
  template <typename Result>
  struct Call {
    std::string process;
    std::function<void(Result)> done;  // Empty once it has run.

    void Finish(Result result) {
      if (done) {
        std::exchange(done, nullptr)(std::move(result));
      }
    }
  };
  struct LongRead {
    log::StreamId stream;
    Offset from;
    uint32_t limit = 0;
    Instant answer_at;
    std::shared_ptr<Call<log::ReadResult>> call;
  };

  microseconds Delay();
  bool Happens(uint32_t percent);
  Offset Store(const log::StreamId& stream, const std::string& bytes);
  log::ReadResult ReadNow(const log::StreamId& stream,
                          Offset from,
                          uint32_t limit) const;
  template <typename Result>
  void Answer(const std::shared_ptr<Call<Result>>& call, Result result);
  void AppendAt(const log::StreamId& stream,
                const std::string& bytes,
                const std::shared_ptr<Call<log::AppendResult>>& call);
  void ReadAt(LongRead read);

  routing::SimulatedClock& timeline_;
  const Links& links_;
  pcg32 random_;
  const OnStored on_stored_;
  LogFaults faults_;
  uint64_t retained_ = UINT64_MAX;
  uint64_t stored_count_ = 0;
  std::map<log::StreamId, std::vector<std::string>> streams_;
  std::map<log::StreamId, std::list<LongRead>> waiting_;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_COMPOSITION_LOG_SERVICE_H_
