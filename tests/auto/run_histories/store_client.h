#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_STORE_CLIENT_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_STORE_CLIENT_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "fake_keyed_log.h"
#include "keyed_log/keyed_log.h"
#include "network.h"
#include "process_loop.h"
#include "simulation.h"

namespace papayadrift::run_histories {

// The store as one process reaches it. A read that waits looks again after the
// wait. Counts as out, as for the platform's client, once it has answered none
// of the last calls. Must not outlive the simulation.
class StoreClient : public keyed_log::KeyedLog {
 public:
  StoreClient(Simulation& simulation,
              const Clock& clock,
              ProcessLoop& loop,
              Network& network,
              keyed_log::FakeKeyedLog& store,
              const Link& writes,
              const Link& reads)
      : simulation_(simulation),
        clock_(clock),
        loop_(loop),
        network_(network),
        store_(store),
        writes_(writes),
        reads_(reads) {}

  bool is_out() const override;
  void Write(const keyed_log::Append& append,
             Instant deadline,
             std::function<void(keyed_log::AppendResult)> done) override;
  void Read(const std::string& topic,
            uint64_t from,
            milliseconds wait,
            Instant deadline,
            std::function<void(keyed_log::ReadResult)> done) override;
  void ReadNewest(const std::string& topic,
                  const std::string& after_key,
                  Instant deadline,
                  std::function<void(keyed_log::ReadResult)> done) override;

 private:
  milliseconds TimeoutOf(Instant deadline) const;

  void OnAnswered(bool is_answered);
  void OnRead(const std::optional<keyed_log::ReadResult>& result,
              const std::function<void(keyed_log::ReadResult)>& done);

  Simulation& simulation_;
  const Clock& clock_;
  ProcessLoop& loop_;
  Network& network_;
  keyed_log::FakeKeyedLog& store_;
  const Link writes_;
  const Link reads_;
  size_t unanswered_calls_ = 0;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_STORE_CLIENT_H_
