#include "access/access_book.h"

#include <algorithm>
#include <utility>

namespace papayadrift::access {

namespace {

constexpr char kSeparator = '.';

// Hashed against in place of a team's own when there is no such team.
constexpr TokenHash kNobody;

// Orders grants by team and role, and compares them with a pair of both.
struct ByTeamAndRole {
  using Key = std::pair<std::string_view, Role>;

  static Key KeyOf(const Grant& grant) {
    return {grant.team.text(), grant.role};
  }
};

}  // namespace

AccessBook::AccessBook(std::vector<Grant> grants) : grants_(std::move(grants)) {
  std::ranges::sort(grants_, {}, ByTeamAndRole::KeyOf);
}

const Grant* AccessBook::Find(std::string_view token, Role role) const {
  const size_t at = token.rfind(kSeparator);
  const bool has_team = at != std::string_view::npos;
  const std::string_view team = has_team ? token.substr(0, at) : "";
  const std::string_view secret = has_team ? token.substr(at + 1) : token;
  if (secret.size() < kMinimumSecretCharacters ||
      secret.size() > kMaximumSecretCharacters) {
    return nullptr;
  }
  const auto candidates = std::ranges::equal_range(
      grants_, ByTeamAndRole::Key(team, role), {}, ByTeamAndRole::KeyOf);
  if (candidates.empty()) {
    Matches(kNobody, secret);
    return nullptr;
  }
  const auto it = std::ranges::find_if(candidates, [&](const Grant& grant) {
    return Matches(grant.hash, secret);
  });
  return it == candidates.end() ? nullptr : &*it;
}

bool AccessBook::has_grants_for(Role role) const {
  return std::ranges::find(grants_, role, &Grant::role) != grants_.end();
}

}  // namespace papayadrift::access
