#include "wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace papayadrift::platform {
namespace {

TEST(WireTest, ReadsAJob) {
  const auto job = ReadJob(
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
      R"("estimated_ms":900,"data_rack":"r1"},{"count":20,"depends_on":[0],)"
      R"("checkpointing":true,"fill_count":true,"target_ms":50,)"
      R"("anti_affinity":2}],"repeat_count":3,"interval_ms":20})");
  ASSERT_TRUE(job);
  EXPECT_EQ(job->payload, "text");
  EXPECT_EQ(job->occurrences, 3U);
  ASSERT_EQ(job->steps.size(), 2U);
  EXPECT_EQ(job->steps[0].need, (Resources{500, 256, 0}));
  EXPECT_EQ(job->steps[0].preferred_rack, "r1");
  EXPECT_TRUE(job->steps[1].is_filler);
  EXPECT_TRUE(job->steps[1].is_checkpointing);
  EXPECT_EQ(job->steps[1].max_per_runner, 2U);
}

TEST(WireTest, RejectsInvalidJobs) {
  for (const char* body :
       {"", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
        R"({"steps":[{"depends_on":[0]}]})", R"({"steps":[{"cpu":-1}]})",
        R"({"steps":[3]})"}) {
    EXPECT_FALSE(ReadJob(body)) << body;
  }
}

TEST(WireTest, ReadsARunnersLists) {
  const auto answer = ReadLeaseRenewal(
      R"({"clock_ms":482113,"born":7,"active":[["a.0.1.17",2,"c",41,12.5]],)"
      R"("finished":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.8",1,"odd",""]]})");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->clock_ms, 482113);
  EXPECT_EQ(answer->start_unix_ms, 7);
  ASSERT_EQ(answer->active.size(), 1U);
  EXPECT_EQ(answer->active[0].gauge, 12);
  ASSERT_EQ(answer->ended.size(), 1U);
  EXPECT_EQ(answer->ended[0].number, 58U);
}

std::string ListsWithEnds(size_t count) {
  std::string rows;
  for (size_t i = 1; i <= count; ++i) {
    rows.append(rows.empty() ? "[" : ",[").append(std::to_string(i));
    rows.append(R"(,"a.0.1.1",1,"done",""])");
  }
  return R"({"clock_ms":1,"active":[],"finished":[)" + rows + "]}";
}

// Guards against a part of a runner's ends that is taken for all of them: the
// leader started the tasks of the others again.
TEST(WireTest, AFullPageOfEndsMayNotBeTheLast) {
  const auto part = ReadLeaseRenewal(ListsWithEnds(500));
  ASSERT_TRUE(part);
  EXPECT_EQ(part->ended.size(), 500U);
  EXPECT_FALSE(part->has_all_ends);
  EXPECT_TRUE(ReadLeaseRenewal(ListsWithEnds(499))->has_all_ends);
}

TEST(WireTest, RejectsInvalidAnnouncements) {
  constexpr char kGood[] =
      R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1",)"
      R"("slots":8,"state":"ready","cold_remaining_ms":0,"sequence":4,)"
      R"("born":9,"clock_ms":7,"capacity":{"cpu":1,"mem_mb":2,"gpu":0},)"
      R"("labels":["a"]})";
  const auto good = ReadAnnouncement("i", kGood);
  ASSERT_TRUE(good);
  EXPECT_EQ(good->start_unix_ms, 9);
  for (const char* body :
       {"x", "{}",
        R"({"service":"s","address":"a","state":"odd","sequence":4,)"
        R"("capacity":{}})",
        R"({"service":"s","address":"a","state":"ready","sequence":"4",)"
        R"("capacity":{}})",
        R"({"service":"s","address":"a","state":"ready","sequence":4})"}) {
    EXPECT_FALSE(ReadAnnouncement("i", body)) << body;
  }
}

std::string NestedArrays(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

using Members = std::map<std::string, std::string>;

Members AnnouncementMembers() {
  return {{"service", R"("s")"},
          {"address", R"("1.2.3.4:5")"},
          {"state", R"("ready")"},
          {"sequence", "4"},
          {"born", "9"},
          {"zone", R"("z")"},
          {"version", R"("v1")"},
          {"slots", "8"},
          {"cold_remaining_ms", "0"},
          {"clock_ms", "7"},
          {"machine", R"("m")"},
          {"capacity", R"({"cpu":1,"mem_mb":2,"gpu":0})"},
          {"labels", R"(["a"])"}};
}

std::string ObjectOf(const Members& members) {
  std::string body;
  for (const auto& [key, text] : members) {
    body.append(body.empty() ? "{\"" : ",\"");
    body.append(key).append("\":").append(text);
  }
  return body + "}";
}

// Returns the announcement of a runner with one member replaced, or added.
std::string AnnouncementWith(const std::string& name,
                             const std::string& value) {
  Members members = AnnouncementMembers();
  members[name] = value;
  return ObjectOf(members);
}

// Guards against an announcement of another writer that replaces a sound
// runner: all tasks of that runner started a second time elsewhere.
TEST(WireTest, AnnouncementsWithMissingMembersNameNoRunner) {
  for (const auto& [name, value] : AnnouncementMembers()) {
    Members members = AnnouncementMembers();
    members.erase(name);
    // Only runners on a machine that may move name it.
    const bool is_optional = name == "machine";
    EXPECT_EQ(ReadAnnouncement("i", ObjectOf(members)).has_value(), is_optional)
        << name;
  }
  for (const char* capacity :
       {R"({"cpu":1,"mem_mb":2})", R"({"cpu":1,"gpu":0})",
        R"({"mem_mb":2,"gpu":0})"}) {
    EXPECT_FALSE(ReadAnnouncement("i", AnnouncementWith("capacity", capacity)))
        << capacity;
  }
}

// Guards against an agent that follows an odd announcement of another writer:
// it loses its own runner, and the leader takes it for ended.
TEST(WireTest, OddAnnouncementsNameNoRunner) {
  EXPECT_TRUE(ReadAnnouncement("i", AnnouncementWith("other", "[[1]]")));
  const std::vector<std::pair<std::string, std::string>> odd = {
      {"address", R"("1.2.3.4:87050")"},
      {"address", R"("1.2.3.4:0")"},
      {"address", R"("1.2.3.4:-5")"},
      {"address", R"("1.2.3.4")"},
      {"address", "5"},
      {"sequence", "18446744073709551615"},
      {"sequence", "1e300"},
      {"sequence", "1e999"},
      {"born", "9223372036854775807"},
      {"born", "18446744073709551615"},
      {"born", "-1"},
      {"capacity", R"({"cpu":9223372036854775807,"mem_mb":2,"gpu":0})"},
      {"capacity", R"({"cpu":1e300,"mem_mb":2,"gpu":0})"},
      {"capacity", R"({"cpu":1,"mem_mb":"2","gpu":0})"},
      {"capacity",
       R"({"cpu":123456789012345678901234567890,"mem_mb":2,"gpu":0})"},
      {"zone", "7"},
      {"machine", "{}"},
      {"labels", NestedArrays(100)},
      {"version", "1"},
      {"slots", R"("x")"},
      {"clock_ms", "null"},
      {"other", NestedArrays(100)},
      {"other", NestedArrays(400000)}};
  for (const auto& [name, value] : odd) {
    EXPECT_FALSE(ReadAnnouncement("i", AnnouncementWith(name, value)))
        << name << ": " << value.substr(0, 40);
  }
}

// Guards against numbers of a runner's lists that are taken for others: with
// one end of a very large number, all later ends would count as known.
TEST(WireTest, OddRowsOfARunnersListsAreLeftOut) {
  const auto answer = ReadLeaseRenewal(
      R"({"clock_ms":1,"active":[["a.0.1.1",-2,"c",41],["a.0.1.2",1,"c",1e300],)"
      R"(["a.0.1.3",4294967296,"c",1],["a.0.1.4",1,"c",1,1e300]],)"
      R"("finished":[[-1,"a.0.1.5",1,"done",""],[1,"a.0.1.6",-1,"done",""],)"
      R"([18446744073709551615,"a.0.1.7",1,"done",""]]})");
  ASSERT_TRUE(answer);
  ASSERT_EQ(answer->active.size(), 2U);
  EXPECT_EQ(answer->active[0].task.index, 2U);
  EXPECT_EQ(answer->active[0].percent, 100U);
  EXPECT_EQ(answer->active[1].task.index, 4U);
  EXPECT_TRUE(answer->ended.empty());
  EXPECT_FALSE(
      ReadLeaseRenewal(R"({"clock_ms":1e300,"active":[],"finished":[]})"));
}

TEST(WireTest, KeepsAnIntervalOfAMonth) {
  constexpr int64_t kMonthMs = 2'592'000'000;
  const auto job = ReadJob(R"({"steps":[{}],"repeat_count":2,"interval_ms":)" +
                           std::to_string(kMonthMs) + "}");
  ASSERT_TRUE(job);
  EXPECT_EQ(job->interval_ms, kMonthMs);
}

// Guards against a job that takes all memory of each process that reads it.
TEST(WireTest, RejectsJobsOfTooManyTasks) {
  EXPECT_TRUE(ReadJob(R"({"steps":[{"count":160}],"repeat_count":8})"));
  const auto with_steps = [](int count) {
    std::string steps = R"({"count":4096})";
    for (int i = 1; i < count; ++i) {
      steps += R"(,{"count":4096})";
    }
    return ReadJob(R"({"repeat_count":4096,"steps":[)" + steps + "]}");
  };
  EXPECT_TRUE(with_steps(16));
  EXPECT_FALSE(with_steps(17));
  for (const char* repeats : {"16", "17", "4096", "4294967295"}) {
    const auto job = ReadJob(R"({"steps":[{"count":4096}],"repeat_count":)" +
                             std::string(repeats) + "}");
    ASSERT_TRUE(job) << repeats;
    EXPECT_LE(jobs::InitialProgress(*job).occurrences.size(), 16U) << repeats;
  }
  EXPECT_FALSE(ReadJob(R"({"steps":[{}],"x":)" + NestedArrays(100) + "}"));
}

// Guards against a job that is accepted and shown as completed after a part of
// its occurrences.
TEST(WireTest, RepeatsAreKeptWholeOrRefused) {
  const auto job = ReadJob(R"({"steps":[{}],"repeat_count":4500})");
  ASSERT_TRUE(job);
  EXPECT_EQ(job->occurrences, 4500U);
  const auto largest = ReadJob(R"({"steps":[{}],"repeat_count":65536})");
  ASSERT_TRUE(largest);
  EXPECT_EQ(largest->occurrences, 65536U);
  // A job that is due each minute for as long as users want.
  for (const uint32_t repeats : {65'537U, 70'000U, 4'294'967'295U}) {
    const auto many = ReadJob(R"({"steps":[{}],"repeat_count":)" +
                              std::to_string(repeats) + "}");
    ASSERT_TRUE(many) << repeats;
    EXPECT_EQ(many->occurrences, repeats);
  }
  EXPECT_FALSE(ReadJob(R"({"steps":[{}],"repeat_count":4294967296})"));
  EXPECT_FALSE(ReadJob(R"({"steps":[{}],"repeat_count":4294967297})"));
  EXPECT_FALSE(ReadJob(R"({"steps":[{}],"repeat_count":-1})"));
  EXPECT_FALSE(ReadJob(R"({"steps":[{}],"repeat_count":"7"})"));
  EXPECT_EQ(ReadJob(R"({"steps":[{}],"repeat_count":0})")->occurrences, 1U);
  EXPECT_EQ(ReadJob(R"({"steps":[{}]})")->occurrences, 1U);
}

// Guards against limits and times of a job that are changed or dropped without
// the caller being told.
TEST(WireTest, RefusesWhatItWouldHaveToChange) {
  const auto with_step = [](const std::string& members) {
    return ReadJob(R"({"steps":[{)" + members + "}]}");
  };
  for (const char* members :
       {R"("count":-2)", R"("count":1.5)", R"("count":4294967300)",
        R"("anti_affinity":-1)", R"("max_unavailable":"1")",
        R"("estimated_ms":-5)", R"("target_ms":"50")", R"("image":7)",
        R"("required_label":["a"])", R"("data_rack":{})"}) {
    EXPECT_FALSE(with_step(members)) << members;
  }
  for (const char* members :
       {R"("interval_ms":-1)", R"("interval_ms":9007199254740993)",
        R"("start_at_ms":"now")", R"("spec":{"a":1})"}) {
    EXPECT_FALSE(ReadJob(R"({"steps":[{}],)" + std::string(members) + "}"))
        << members;
  }
  EXPECT_EQ(with_step(R"("count":3.0,"image":null)")->steps[0].count, 3U);
  EXPECT_EQ(with_step(R"("estimated_ms":640.5)")->steps[0].estimated_ms, 640);
  EXPECT_EQ(with_step(R"("estimated_ms":1e30)")->steps[0].estimated_ms,
            100'000'000);
}

// Guards against a configuration by which jobs are given up after one failure,
// since its number of attempts can't be read.
TEST(WireTest, RefusesRoutesWithInvalidLimits) {
  const auto with = [](const std::string& members) {
    return ReadRoutes(R"({"version":7,"routes":[{"name":"r",)" + members +
                      R"(}],"services":[]})");
  };
  EXPECT_FALSE(with(R"("max_attempts":-1)"));
  EXPECT_FALSE(with(R"("max_attempts":"3")"));
  EXPECT_FALSE(with(R"("target_factor":-2)"));
  EXPECT_FALSE(with(R"("target_factor":1e300)"));
  EXPECT_FALSE(with(R"("priority":1.5)"));
  EXPECT_EQ(with(R"("max_attempts":4294967297)")->queues[0].max_failures,
            4294967295U);
}

RC_GTEST_PROP(WireTest,
              ReadsBackRecords,
              (std::string key, std::string value)) {
  RC_PRE(key.size() < 256);
  const std::string body = std::string(7, '\0') + '\5' + std::string(8, '\0') +
                           WriteRecords({{key, value}, {"k", "v"}});
  const auto records = ReadRecords(body, 3);
  RC_ASSERT(records.has_value());
  RC_ASSERT(records->end == 5U);
  RC_ASSERT(records->records.size() == 2U);
  RC_ASSERT(records->records[0].record.value == value);
  RC_ASSERT(records->records[1].offset == 4U);
}

TEST(WireTest, ReadsTheNewestOfEachKey) {
  const auto records =
      ReadNewest(R"({"items":[{"key":"config","value":"aGk=","offset":4}],)"
                 R"("has_more":false,"end_offset":6})");
  ASSERT_TRUE(records);
  EXPECT_EQ(records->end, 6U);
  EXPECT_EQ(records->records[0].record.value, "hi");
}

TEST(WireTest, ReadsAConfiguration) {
  const auto routes = ReadRoutes(
      R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
      R"("target_latency_ms":250,"priority":2,"service":"s",)"
      R"("max_attempts":3,"target_factor":1.5}],)"
      R"("services":[{"name":"s","enforce_capacity":true}],"limits":{}})");
  ASSERT_TRUE(routes);
  EXPECT_EQ(routes->version, 7U);
  EXPECT_EQ(routes->queues[0].max_failures, 3U);
  EXPECT_TRUE(routes->services[0].enforces_capacity);
  EXPECT_FALSE(ReadRoutes(R"({"version":0,"routes":[],"services":[]})"));
}

// Guards against an end that is forgotten since the next one, with a higher
// number, was acknowledged.
TEST(WireTest, EndsBehindAnUnreadableOneAreNotTakenForAll) {
  const auto answer = ReadLeaseRenewal(
      R"({"clock_ms":1,"active":[],"finished":[[58,"a.0.1.9",1,"odd",""],)"
      R"([59,"a.0.1.8",1,"done",""]]})");
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->ended.empty());
  EXPECT_FALSE(answer->has_all_ends);
}

}  // namespace
}  // namespace papayadrift::platform
