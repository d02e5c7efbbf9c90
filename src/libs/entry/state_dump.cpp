#include "entry/state_dump.h"

#include <algorithm>
#include <set>
#include <variant>

#include "entry/admin_views.h"
#include "lease/rule.h"

namespace papayadrift::entry {

namespace {

using nlohmann::json;

std::string_view ToText(replay::EntryPhase phase) {
  switch (phase) {
    case replay::EntryPhase::kJoining:
      return "joining";
    case replay::EntryPhase::kFull:
      return "full";
    case replay::EntryPhase::kLapsed:
      return "lapsed";
  }
  return "";
}

std::string StateOf(const RegionController& controller) {
  if (!controller.decisions().has_caught_up()) {
    return "catching_up";
  }
  const replay::EntryState* own = controller.membership().own_state();
  return own ? std::string(ToText(own->phase)) : "not_a_member";
}

json ConfigurationPart(const RegionController& controller, Instant now) {
  const ConfigurationInForce& in_force = controller.configuration().in_force();
  const auto age =
      std::chrono::floor<milliseconds>(now - in_force.since).count();
  json home_regions = json::array();
  for (const RegionId& region : in_force.home_regions) {
    home_regions.push_back(region.text());
  }
  return {{"version", in_force.version.value()},
          {"author", in_force.author},
          {"home_regions", home_regions},
          {"in_force_for_ms", in_force.version.value() == 0 ? 0 : age}};
}

json LogPart(const RegionController& controller, Instant now) {
  const DecisionStream& decisions = controller.decisions();
  json part = {{"is_available", decisions.is_log_available()},
               {"decision_offset", decisions.state().next_offset().value()},
               {"configuration_offset",
                controller.configuration().next_offset().value()},
               {"unresolved_proposals", decisions.unresolved_count()}};
  if (const auto began_at = decisions.tail_read_began_at()) {
    part["tail_read_ms_ago"] =
        std::chrono::floor<milliseconds>(now - *began_at).count();
  }
  return part;
}

json EntriesPart(const RegionController& controller) {
  json list = json::array();
  for (const auto& [key, entry] :
       controller.decisions().state().entries().entries()) {
    list.push_back({{"entry", key.entry.text()},
                    {"incarnation", key.incarnation.value()},
                    {"http_address", entry.http_address},
                    {"availability_zone", entry.zone.text()},
                    {"state", ToText(entry.phase)}});
  }
  return list;
}

// What of a lease a subject is named by.
struct SubjectView {
  json operator()(const lease::WorkerKey& key) const {
    return {{"worker", key.worker.text()},
            {"incarnation", key.incarnation.value()}};
  }
  json operator()(const lease::MemberKey& key) const {
    return {{"entry", key.entry.text()},
            {"incarnation", key.incarnation.value()}};
  }
};

json SubjectsView(const std::set<lease::LapseSubject>& subjects) {
  json list = json::array();
  for (const lease::LapseSubject& subject : subjects) {
    list.push_back(std::visit(SubjectView(), subject));
  }
  return list;
}

// Promises that this entry holds and keeps, and the lapses that it authors.
json LeasesPart(const RegionController& controller, Instant now) {
  const lease::LeaseSettings& settings = controller.settings().lease;
  const auto left = [now](Instant until) {
    const auto rest = std::chrono::floor<milliseconds>(until - now);
    return std::max(rest, milliseconds(0)).count();
  };
  json held = json::array();
  for (const auto& [giver, promise] : controller.renewer().promises()) {
    const Instant until = lease::PromiseLiveUntil(promise.asked_at, settings);
    held.push_back({{"giver", SubjectView()(giver)},
                    {"live_for_ms", left(until)},
                    {"excluded", SubjectsView(promise.excluded)}});
  }
  const lease::FreezePromises& own = controller.promises();
  return {{"promises_held", held},
          {"promises_kept_for_ms", left(own.promises_kept_until())},
          {"lapses_wanted", SubjectsView(own.wanted_lapses())},
          {"lapses_pending", SubjectsView(own.pending_lapses())}};
}

}  // namespace

json StatusView(const RegionController& controller, Instant now) {
  const records::EntryJoined& self = controller.settings().self;
  return {
      {"entry", self.entry.text()},
      {"incarnation", self.incarnation.value()},
      {"region", controller.settings().region.text()},
      {"availability_zone", self.zone.text()},
      {"state", StateOf(controller)},
      {"is_ready", controller.is_ready()},
      {"is_cut_off", controller.placement().is_cut_off()},
      {"configuration", ConfigurationPart(controller, now)},
      {"log", LogPart(controller, now)},
      {"entries", EntriesPart(controller)},
      {"regions", RegionsView(controller)},
      {"workers", controller.decisions().state().workers().workers().size()},
      {"digest", controller.decisions().state().digest().digest}};
}

json DumpView(const RegionController& controller, Instant now) {
  json dump = StatusView(controller, now);
  dump["workers"] = WorkersView(controller);
  dump["teams"] = TeamsView(controller);
  dump["jobs"] = JobsView(controller, TaskDetail::kSome);
  dump["quotas"] = QuotasView(controller);
  dump["keys"] = controller.decisions().state().keys().keys().size();
  dump["leases"] = LeasesPart(controller, now);
  dump["slot_loans"] = {{"lent", controller.loans().lent_slots()},
                        {"borrowed", controller.loans().borrowed_slots()}};
  const replay::KnowledgeTable& kept =
      controller.decisions().state().knowledge();
  dump["knowledge"] = {
      {"kinds", kept.kinds().size()},
      {"services", kept.services().size()},
      {"records_proposed", controller.knowledge().noted_count()}};
  dump["snapshots_written"] = controller.snapshots().written_count();
  return dump;
}

}  // namespace papayadrift::entry
