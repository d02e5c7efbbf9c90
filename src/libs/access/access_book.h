#ifndef PAPAYADRIFT_ACCESS_ACCESS_BOOK_H_
#define PAPAYADRIFT_ACCESS_ACCESS_BOOK_H_

#include <string_view>
#include <vector>

#include "access/token_hash.h"
#include "base/identifiers.h"

namespace papayadrift::access {

enum class Role { kCaller, kOperator, kWorker, kPeer };

// One token and what it allows. Its text is "<team>.<secret>".
struct Grant {
  TeamId team;
  CustomerId customer;
  Role role = Role::kCaller;
  TokenHash hash;

  friend bool operator==(const Grant&, const Grant&) = default;
};

// All tokens in force; immutable.
class AccessBook {
 public:
  AccessBook() = default;
  explicit AccessBook(std::vector<Grant> grants);

  // Returns the grant of `role` that the token is for, or null. A token of an
  // unknown team takes as long to refuse as a wrong one.
  const Grant* Find(std::string_view token, Role role) const;

  // Whether any token is for `role`. If none is, the role's door must be kept
  // closed or open by the settings, never by chance.
  bool has_grants_for(Role role) const;

  friend bool operator==(const AccessBook&, const AccessBook&) = default;

 private:
  std::vector<Grant> grants_;  // Sorted by team and role.
};

}  // namespace papayadrift::access

#endif  // PAPAYADRIFT_ACCESS_ACCESS_BOOK_H_
