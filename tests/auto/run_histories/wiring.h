#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_WIRING_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_WIRING_H_

#include <cstddef>
#include <string>

#include "jobs/leader_record.h"
#include "jobs/runner.h"
#include "network.h"

namespace papayadrift::run_histories {

// An answer to a report; one that isn't accepted has no content.
struct ReportReply {
  bool is_accepted = false;
  jobs::ReportAnswer answer;

  friend bool operator==(const ReportReply&, const ReportReply&) = default;
};

// Where calls arrive: whoever is there at that time.
class Wiring {
 public:
  virtual ~Wiring() = default;

  virtual void OnReport(const std::string& address,
                        const jobs::RunnerReport& report,
                        const Network::Respond<ReportReply>& respond) = 0;
  virtual void OnOrders(size_t agent,
                        const jobs::OrderBatch& batch,
                        const Network::Respond<jobs::OrderAnswer>& respond) = 0;
  virtual void OnLeader(size_t agent, const jobs::LeaderRecord& leader) = 0;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_WIRING_H_
