#ifndef PAPAYADRIFT_ENTRY_JOB_DESK_H_
#define PAPAYADRIFT_ENTRY_JOB_DESK_H_

#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/refusal.h"
#include "entry/configuration_stream.h"
#include "entry/decision_stream.h"
#include "entry/region_homes.h"
#include "http/message.h"

namespace papayadrift::entry {

// Takes jobs and cancellations of callers into the decision stream. On the
// control thread only.
class JobDesk {
 public:
  using Respond = std::function<void(http::Response)>;

  JobDesk(RegionId region,
          DecisionStream& decisions,
          const ConfigurationStream& configuration,
          const Clock& clock);

  void Submit(const std::string& body, Respond respond);
  void Cancel(const JobId& job, Respond respond);
  http::Response Status(const JobId& job) const;

 private:
  // Why a job can't be taken at the moment, if so.
  std::optional<Refusal> RefusalOf(const JobId& job) const;
  HomeAnswer HomeOf(const JobId& job) const;

  const RegionId region_;
  DecisionStream& decisions_;
  const ConfigurationStream& configuration_;
  const Clock& clock_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_JOB_DESK_H_
