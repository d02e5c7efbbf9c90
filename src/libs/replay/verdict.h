#ifndef PAPAYADRIFT_REPLAY_VERDICT_H_
#define PAPAYADRIFT_REPLAY_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace papayadrift::replay {

// Why a proposal has no effect. Depends only on the stream up to the proposal.
// Digests contain the position: add at the end only.
enum class Rejection : uint8_t {
  kAttemptNotLive,
  kAttemptNotNext,
  kAuthorNotMember,
  kCapacityExceeded,
  kCheckpointMismatch,
  kDuplicate,
  kEntryLapsed,
  kEntryNotLapsed,
  kEntryUnknown,
  kExpired,
  kGenerationUnknown,
  kIncarnationSuperseded,
  kJobClosed,
  kJobKnown,
  kJobUnknown,
  kKeyBodyDiffers,
  kKeyNotClaimant,
  kKeyOutsideWindow,
  kKeyResolved,
  kKeyTaken,
  kKeyUnknown,
  kMalformed,
  kNoChange,
  kQuotaExceeded,
  kTaskEnded,
  kTaskLive,
  kTaskUnknown,
  kTooManyKeys,
  kVersionNotNewer,
  kWorkerDraining,
  kWorkerLapsed,
  kWorkerNotLapsed,
  kWorkerQuarantined,
  kWorkerUnknown,
  kWrongStream,
  kDomainFull,  // The job has its most tasks in the rack or zone.
  kKindsApart,  // A kind on the VM must not share it with the task.
  kHomeRegionsFixed,
};

std::string_view ToText(Rejection rejection);

// What became of a proposal at its place in the stream.
class Verdict {
 public:
  static Verdict Accepted() { return Verdict(std::nullopt); }
  static Verdict Rejected(Rejection rejection) { return Verdict(rejection); }

  bool is_accepted() const { return !rejection_; }
  // Set if and only if the proposal is not accepted.
  std::optional<Rejection> rejection() const { return rejection_; }

  friend bool operator==(const Verdict&, const Verdict&) = default;

 private:
  explicit Verdict(std::optional<Rejection> rejection)
      : rejection_(rejection) {}

  std::optional<Rejection> rejection_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_VERDICT_H_
