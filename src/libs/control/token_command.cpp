#include <nlohmann/json.hpp>
#include <ostream>

#include "access/token_hash.h"
#include "control/answer_p.h"
#include "control/commands.h"

namespace papayadrift::control {

ExitCode RunToken(const std::string& team, const Output& output) {
  const std::string secret = access::NewSecret();
  const std::string token = team + "." + secret;
  const std::string hash = ToText(*access::NewTokenHash(secret));
  Show({{"token", token}, {"hash", hash}}, output, [&] {
    output.out << "Token, to hand out and keep secret: " << token << "\n"
               << "Hash, for the team's section in the file: " << hash << "\n";
  });
  return ExitCode::kDone;
}

}  // namespace papayadrift::control
