// Holds that each key of the operators' file changes what entries do.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "configuration/configuration_reader.h"
#include "configuration/quota_division.h"
#include "entry/job_request.h"
#include "entry/node_settings.h"
#include "entry/policy_builder.h"
#include "entry/region_homes.h"
#include "entry/route_table_builder.h"

namespace papayadrift::entry {
namespace {

constexpr char kHash[] =
    "blake2b$00112233445566778899aabbccddeeff$"
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

using Sections = std::map<std::string, std::map<std::string, std::string>>;

// Every key with a value that is not its default.
Sections File() {
  return {{"customer c",
           {{"tail_latency_weight", "4"}, {"throughput_weight", "3"}}},
          {"customer d", {}},
          {"team t",
           {{"customer", "c"},
            {"quota_cores", "8 cores"},
            {"quota_memory", "8 GiB"},
            {"quota_accelerators", "2"},
            {"weight", "3"},
            {"caller_token_hash", kHash},
            {"operator_token_hash", kHash}}},
          {"team u",
           {{"customer", "c"},
            {"quota_cores", "1 cores"},
            {"quota_memory", "1 GiB"}}},
          {"service s",
           {{"customer", "c"},
            {"latency_target", "90 ms"},
            {"priority", "60"},
            {"idempotent", "yes"},
            {"maximum_queue", "9"},
            {"maximum_body", "900"}}},
          {"job j",
           {{"team", "t"},
            {"kind", "k"},
            {"tasks", "3"},
            {"cores", "1 cores"},
            {"memory", "1 GiB"},
            {"accelerators", "1"},
            {"run_time", "10 s"},
            {"time_allowed", "1 h"},
            {"priority", "60"},
            {"checkpointable", "yes"},
            {"urgent", "yes"},
            {"most_tasks_per_rack", "2"},
            {"most_tasks_per_zone", "3"},
            {"apart_from", "k, l"}}},
          {"region north",
           {{"address", "10.0.0.1:80"}, {"quota_weight", "3"}, {"home", "no"}}},
          {"region south", {}},
          {"limits",
           {{"evictions_per_hour", "7"},
            {"retry_percent", "7"},
            {"attempts_per_task", "7"}}}};
}

// Another valid value of each key that can't just be left out.
const std::map<std::string, std::string>& OtherValues() {
  static const std::map<std::string, std::string> values = {
      {"team t.customer", "d"},
      {"team t.quota_cores", "9 cores"},
      {"team t.quota_memory", "9 GiB"},
      {"service s.customer", "d"},
      {"service s.latency_target", "1 s"},
      {"service s.idempotent", "no"},
      {"job j.team", "u"},
      {"job j.kind", "l"},
      {"job j.cores", "2 cores"},
      {"job j.memory", "2 GiB"},
      {"job j.run_time", "20 s"}};
  return values;
}

std::string TextOf(const Sections& sections) {
  std::string text;
  for (const auto& [section, keys] : sections) {
    text += "[" + section + "]\n";
    for (const auto& [key, value] : keys) {
      text.append(key).append(" = ").append(value).append("\n");
    }
  }
  return text;
}

// All that an entry takes from the file, in the form in which it acts on it.
struct Effects {
  placement::Policy policy;
  routing::RoutingTable routes;
  access::AccessBook access;
  std::vector<records::JobSubmitted> jobs;
  configuration::HomeRegions home_regions;
  configuration::TeamShares shares;
  HomeAnswer home;

  friend bool operator==(const Effects&, const Effects&) = default;
};

Effects EffectsOf(const Sections& sections) {
  std::vector<settings::Problem> problems;
  const auto read =
      configuration::ReadConfiguration(TextOf(sections), problems);
  EXPECT_TRUE(read) << (problems.empty() ? "" : problems.front().detail);
  if (!read) {
    return {};
  }
  Effects effects;
  effects.policy = PolicyOf(*read);
  effects.routes = BuildRoutingTable(
      *read, replay::WorkerTable(),
      [](const std::string&, const membership::RunnerShare& total) {
        return total;
      });
  effects.access = AccessBookOf(settings::EntrySettings(), *read);
  for (const configuration::Job& job : read->jobs) {
    effects.jobs.push_back(SubmissionOf(job, *read, WallInstant()));
  }
  effects.home_regions = configuration::StatedHomeRegions(*read);
  effects.shares = configuration::QuotaSharesOf(*read, effects.home_regions,
                                                RegionId("south"));
  ConfigurationInForce in_force;
  in_force.parsed = *read;
  effects.home = FindHome("j@north", RegionId("south"), in_force);
  return effects;
}

std::string SectionOfKind(const Sections& sections, std::string_view kind) {
  for (const auto& [section, keys] : sections) {
    if (section.starts_with(kind)) {
      return section;
    }
  }
  return "";
}

TEST(ConfigurationEffectTest, EachKeyChangesWhatAnEntryDoes) {
  const Sections whole = File();
  const Effects before = EffectsOf(whole);
  int keys_checked = 0;
  for (const auto& section : configuration::ConfigurationSchema().sections) {
    const std::string name = SectionOfKind(whole, section.kind);
    for (const auto& key : section.keys) {
      const std::string path = name + "." + std::string(key.key);
      Sections changed = whole;
      ASSERT_EQ(changed[name].erase(std::string(key.key)), 1u)
          << path << " is missing in the file of this test.";
      const auto other = OtherValues().find(path);
      if (other != OtherValues().end()) {
        changed[name][std::string(key.key)] = other->second;
      }
      EXPECT_NE(EffectsOf(changed), before) << path << " has no effect.";
      ++keys_checked;
    }
  }
  EXPECT_GT(keys_checked, 20);
}

}  // namespace
}  // namespace papayadrift::entry
