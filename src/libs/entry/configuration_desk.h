#ifndef PAPAYADRIFT_ENTRY_CONFIGURATION_DESK_H_
#define PAPAYADRIFT_ENTRY_CONFIGURATION_DESK_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "entry/configuration_stream.h"
#include "http/message.h"

namespace papayadrift::entry {

// Takes the files of operators into the configuration stream. On the control
// thread only.
class ConfigurationDesk {
 public:
  using Respond = std::function<void(http::Response)>;

  ConfigurationDesk(ConfigurationStream& configuration, const Clock& clock);

  // Puts a file, which must have been checked, in force in place of `expected`.
  void Apply(ConfigurationVersion expected,
             std::string author,
             std::string text,
             Instant give_up_at,
             Respond respond);

 private:
  ConfigurationStream& configuration_;
  const Clock& clock_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_CONFIGURATION_DESK_H_
