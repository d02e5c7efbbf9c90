#include "access/access_control.h"

#include <utility>

namespace papayadrift::access {

AccessControl::AccessControl(AccessSettings settings)
    : book_(AccessBook()),
      failures_(settings.maximum_failures,
                settings.failure_window,
                settings.seed) {}

void AccessControl::SetBook(AccessBook book) {
  book_.Replace(std::move(book));
}

AccessVerdict AccessControl::Check(std::string_view token,
                                   Role role,
                                   std::string_view remote_address,
                                   Instant now) {
  const auto identity = book_.Read([&](const AccessBook& book) {
    const Grant* grant = book.Find(token, role);
    return grant == nullptr
               ? std::optional<Identity>()
               : Identity{grant->team, grant->customer, grant->role};
  });
  if (identity) {
    return *identity;
  }
  if (failures_.IsOverLimit(remote_address, now)) {
    return AccessRefusal{RefusalReason::kRateLimited, failures_.WindowEnd(now)};
  }
  failures_.RecordFailure(remote_address, now);
  return AccessRefusal{RefusalReason::kUnauthorized, std::nullopt};
}

bool AccessControl::has_grants_for(Role role) const {
  return book_.Read(
      [&](const AccessBook& book) { return book.has_grants_for(role); });
}

}  // namespace papayadrift::access
