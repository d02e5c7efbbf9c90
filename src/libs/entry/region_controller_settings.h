#ifndef PAPAYADRIFT_ENTRY_REGION_CONTROLLER_SETTINGS_H_
#define PAPAYADRIFT_ENTRY_REGION_CONTROLLER_SETTINGS_H_

#include <cstdint>
#include <optional>

#include "base/identifiers.h"
#include "base/instant.h"
#include "lease/lease_settings.h"
#include "membership/membership_view.h"
#include "peer_protocol/handshake.h"
#include "placement/settings.h"
#include "proposals/proposal_queue.h"
#include "proposals/stream_reader.h"
#include "quotas/quota_mover.h"
#include "records/record.h"

namespace papayadrift::entry {

struct RegionControllerSettings {
  records::EntryJoined self;
  RegionId region;
  lease::LeaseSettings lease;
  proposals::QueueLimits queue;
  proposals::ReaderLimits reader;
  placement::Settings placement;
  membership::MembershipSettings membership;
  quotas::MoverSettings quotas;
  // Between entries; nothing for an entry that stands alone.
  std::optional<peer_protocol::SharedKey> peer_key;
  milliseconds worker_suspicion{0};
  milliseconds reassert_interval{0};
  milliseconds cut_off_after{0};
  uint64_t snapshot_interval = 0;
  uint64_t seed = 0;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_REGION_CONTROLLER_SETTINGS_H_
