#ifndef PAPAYADRIFT_ENTRY_RETIREMENT_RESPONSE_H_
#define PAPAYADRIFT_ENTRY_RETIREMENT_RESPONSE_H_

#include "base/clock.h"
#include "entry/membership_driver.h"
#include "http/message.h"

namespace papayadrift::entry {

// What operators are told who said that an entry is gone.
http::Response ResponseToRetirement(const lease::MemberKey& member,
                                    const RetirementOutcome& outcome,
                                    const Clock& clock);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_RETIREMENT_RESPONSE_H_
