#ifndef PAPAYADRIFT_ACCESS_ACCESS_CONTROL_H_
#define PAPAYADRIFT_ACCESS_ACCESS_CONTROL_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "access/access_book.h"
#include "access/failure_limiter.h"
#include "base/identifiers.h"
#include "base/instant.h"
#include "base/refusal.h"
#include "routing/published.h"

namespace papayadrift::access {

// Who shows a token.
struct Identity {
  TeamId team;
  CustomerId customer;
  Role role = Role::kCaller;

  friend bool operator==(const Identity&, const Identity&) = default;
};

// Why a token is refused, and when another try is looked at as usual.
struct AccessRefusal {
  RefusalReason reason = RefusalReason::kUnauthorized;
  std::optional<Instant> retry_at;

  friend bool operator==(const AccessRefusal&, const AccessRefusal&) = default;
};

using AccessVerdict = std::variant<Identity, AccessRefusal>;

struct AccessSettings {
  uint32_t maximum_failures = 20;  // Of one remote address in one window.
  microseconds failure_window{10'000'000};
  uint64_t seed = 0;  // Should be random.

  friend bool operator==(const AccessSettings&,
                         const AccessSettings&) = default;
};

// Checks the token of each request. Takes no lock on that path.
class AccessControl {
 public:
  explicit AccessControl(AccessSettings settings);

  // Puts other tokens in force. Not for the path of a request.
  void SetBook(AccessBook book);

  // A right token is let in always: many callers may share one remote address.
  // After too many failures of an address its wrong tokens are told to wait.
  AccessVerdict Check(std::string_view token,
                      Role role,
                      std::string_view remote_address,
                      Instant now);

  bool has_grants_for(Role role) const;

 private:
  routing::Published<AccessBook> book_;
  FailureLimiter failures_;
};

}  // namespace papayadrift::access

#endif  // PAPAYADRIFT_ACCESS_ACCESS_CONTROL_H_
