#include "wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

TEST(WireTest, RejectsInvalidAnnouncements) {
  constexpr char kGood[] =
      R"({"service":"s","address":"1.2.3.4:5","state":"ready","sequence":4,)"
      R"("born":9,"capacity":{"cpu":1,"mem_mb":2,"gpu":0},"labels":["a"]})";
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

}  // namespace
}  // namespace papayadrift::platform
