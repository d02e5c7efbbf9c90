// Measures the check of a token against the cost of the hash alone, in the
// same run: nothing else of it may weigh as much as that.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "access/access_control.h"
#include "access/token_hash.h"
#include "bounds.h"

namespace papayadrift::access {
namespace {

constexpr int kTeams = 630;
constexpr int kRounds = 1'000;
constexpr int kTrials = 100;
constexpr double kMostHashes = 2;

double TimeOnce(const std::function<void()>& round) {
  const auto start = std::chrono::steady_clock::now();
  for (int it = 0; it < kRounds; ++it) {
    round();
  }
  const std::chrono::duration<double, std::nano> taken =
      std::chrono::steady_clock::now() - start;
  return taken.count() / kRounds;
}

void Measure(Bounds& bounds) {
  const std::string secret = NewSecret();
  const TokenHash hash = *NewTokenHash(secret);
  std::vector<Grant> grants;
  for (int it = 0; it < kTeams; ++it) {
    const TeamId team("team-" + std::to_string(it));
    grants.push_back({team, CustomerId("customer"), Role::kCaller, hash});
    grants.push_back({team, CustomerId("customer"), Role::kOperator, hash});
  }
  AccessControl control({});
  control.SetBook(AccessBook(std::move(grants)));
  const std::string token = "team-315." + secret;
  int let_in = 0;
  const auto check_one = [&] {
    const auto verdict =
        control.Check(token, Role::kCaller, "10.0.0.1", Instant());
    let_in += std::holds_alternative<Identity>(verdict) ? 1 : 0;
  };
  const auto hash_one = [&] { let_in += Matches(hash, secret) ? 1 : 0; };
  // Both in turn, the least of each: other load only ever adds to a trial.
  double check = TimeOnce(check_one);
  double one_hash = TimeOnce(hash_one);
  for (int it = 1; it < kTrials; ++it) {
    check = std::min(check, TimeOnce(check_one));
    one_hash = std::min(one_hash, TimeOnce(hash_one));
  }
  bounds.Show("access_check", check, "ns");
  bounds.AtMost("access_check_of_630_teams", check / one_hash, "hashes",
                kMostHashes);
  bounds.AtLeast("access_let_in", let_in, "tokens", 2 * kTrials * kRounds);
}

}  // namespace
}  // namespace papayadrift::access

int main() {
  papayadrift::Bounds bounds;
  papayadrift::access::Measure(bounds);
  return bounds.has_failed() ? EXIT_FAILURE : EXIT_SUCCESS;
}
