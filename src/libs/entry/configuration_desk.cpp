#include "entry/configuration_desk.h"

#include <utility>
#include <variant>

#include "entry/json_response_p.h"
#include "entry/refusal_response.h"

namespace papayadrift::entry {

namespace {

constexpr int kOk = 200;

// Makes the response to an operator from what became of the file.
struct ApplyResponse {
  WallInstant now;

  http::Response operator()(
      const replay::ConfigurationAccepted& accepted) const {
    return JsonResponse(kOk, {{"version", accepted.version.value()}});
  }

  http::Response operator()(
      const replay::ConfigurationConflict& conflict) const {
    http::Response response =
        ResponseTo(NotRun(RefusalReason::kVersionConflict,
                          "Another file was put in force first."),
                   now);
    nlohmann::json body = nlohmann::json::parse(response.body);
    body["winner_version"] = conflict.version.value();
    body["winner_author"] = conflict.author;
    response.body = body.dump();
    return response;
  }

  http::Response operator()(const ConfigurationNotTaken&) const {
    return Undecided(Ran::kNo);
  }

  http::Response operator()(const ConfigurationMovesHomes&) const {
    return ResponseTo(NotRun(RefusalReason::kHomeRegionsFixed,
                             "The file must keep the regions that are homes."),
                      now);
  }

  http::Response operator()(const ConfigurationUnknown&) const {
    return Undecided(Ran::kUnknown);
  }

 private:
  http::Response Undecided(Ran ran) const {
    return ResponseTo({RefusalReason::kLogUnavailable, ran,
                       "The file was not put in force.", std::nullopt},
                      now);
  }
};

}  // namespace

ConfigurationDesk::ConfigurationDesk(ConfigurationStream& configuration,
                                     const Clock& clock)
    : configuration_(configuration), clock_(clock) {}

void ConfigurationDesk::Apply(ConfigurationVersion expected,
                              std::string author,
                              std::string text,
                              Instant give_up_at,
                              Respond respond) {
  configuration_.Propose(
      expected, std::move(author), std::move(text), give_up_at,
      [this,
       respond = std::move(respond)](const ConfigurationOutcome& outcome) {
        respond(std::visit(ApplyResponse{clock_.WallNow()}, outcome));
      });
}

}  // namespace papayadrift::entry
