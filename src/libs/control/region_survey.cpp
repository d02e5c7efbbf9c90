#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "control/answer_p.h"
#include "control/region_survey_p.h"

namespace papayadrift::control {

namespace {

using nlohmann::json;

// Asks each process once.
class Surveyor {
 public:
  explicit Surveyor(EntryClient& client) : client_(client) {}

  RegionSurvey Run() {
    for (const std::string& address : client_.addresses()) {
      AskRegionThrough(address);
    }
    // Regions that answered may name others.
    for (const auto& [region, address] : std::map(stated_)) {
      if (!answered_.contains(region) && !address.empty()) {
        AskRegionThrough(address);
      }
    }
    for (const auto& [region, address] : stated_) {
      if (!answered_.contains(region)) {
        survey_.silent_regions.push_back(region);
      }
    }
    return std::move(survey_);
  }

 private:
  // Asks the entry at `address`, and all that it knows of.
  void AskRegionThrough(const std::string& address) {
    const std::optional<json> first = Ask(address);
    if (!first) {
      return;
    }
    const std::string region = first->value("region", "");
    answered_.insert(region);
    for (const json& it : first->value("regions", json::array())) {
      stated_.emplace(it.value("region", ""), it.value("address", ""));
    }
    for (const json& it : first->value("entries", json::array())) {
      Add(region, it.value("entry", ""), it.value("http_address", ""),
          it.value("incarnation", uint64_t{0}));
    }
    // One that is not a member yet is not in its own list.
    const std::string own = first->value("entry", "");
    const bool is_listed = std::ranges::any_of(
        survey_.processes, [&](const ProcessStatus& process) {
          return process.region == region && process.name == own;
        });
    if (!own.empty() && !is_listed) {
      Add(region, own, address, first->value("incarnation", uint64_t{0}));
    }
  }

  void Add(const std::string& region,
           const std::string& name,
           const std::string& address,
           uint64_t incarnation) {
    if (seen_.emplace(region, name, address).second) {
      std::optional<json> answer = Ask(address);
      const uint64_t running =
          answer ? answer->value("incarnation", incarnation) : incarnation;
      survey_.processes.push_back(
          {region, name, address, running, std::move(answer)});
    }
  }

  std::optional<json> Ask(const std::string& address) {
    const auto [it, is_new] = answers_.try_emplace(address);
    if (!is_new) {
      return it->second;
    }
    std::optional<http::Response> response =
        client_.SendTo(address, Query("/admin/v1/status"));
    it->second = AnswerIn(response);
    if (response && !it->second) {
      survey_.refusal = std::move(response);
    }
    return it->second;
  }

  EntryClient& client_;
  RegionSurvey survey_;
  std::map<std::string, std::optional<json>> answers_;
  std::map<std::string, std::string> stated_;  // Addresses of regions.
  std::set<std::string> answered_;
  std::set<std::tuple<std::string, std::string, std::string>> seen_;
};

}  // namespace

RegionSurvey Survey(EntryClient& client) {
  return Surveyor(client).Run();
}

}  // namespace papayadrift::control
