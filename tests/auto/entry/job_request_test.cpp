#include "entry/job_request.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace papayadrift::entry {
namespace {

using nlohmann::json;

configuration::Configuration Sample() {
  configuration::Configuration configuration;
  configuration.teams = {
      {TeamId("t"), CustomerId("c"), {1000, 1000, 0}, 1, "", ""}};
  return configuration;
}

json Whole() {
  return {{"job", "j"},
          {"team", "t"},
          {"kind", "k"},
          {"tasks", 3},
          {"millicores", 100},
          {"memory_mebibytes", 10},
          {"run_milliseconds", 5},
          {"checkpointable", true}};
}

std::string DetailOf(const json& body) {
  std::string detail;
  EXPECT_FALSE(ReadJobRequest(body.dump(), Sample(), detail));
  return detail;
}

TEST(JobRequestTest, ReadsWholeJobAndItsCustomer) {
  std::string detail;
  const auto job = ReadJobRequest(Whole().dump(), Sample(), detail);
  ASSERT_TRUE(job) << detail;
  EXPECT_EQ(job->customer, CustomerId("c"));
  EXPECT_EQ(job->tasks, 3u);
  EXPECT_TRUE(job->is_checkpointable);
  EXPECT_FALSE(job->is_urgent);
}

TEST(JobRequestTest, ReadsWhatTasksKeepApartFrom) {
  std::string detail;
  json body = Whole();
  body["most_tasks_per_rack"] = 2;
  body["most_tasks_per_zone"] = 5;
  body["apart_from"] = {"plan", "route"};
  const auto job = ReadJobRequest(body.dump(), Sample(), detail);
  ASSERT_TRUE(job) << detail;
  const Separation expected = {2, 5, {KindId("plan"), KindId("route")}};
  EXPECT_EQ(job->separation, expected);
}

TEST(JobRequestTest, NamesTheMemberThatIsWrong) {
  const auto with = [](const char* member, const json& value) {
    json body = Whole();
    body[member] = value;
    return DetailOf(body);
  };
  EXPECT_NE(with("tasks", 0).find("tasks"), std::string::npos);
  EXPECT_NE(with("tasks", 1.5).find("tasks"), std::string::npos);
  EXPECT_NE(with("millicores", -1).find("millicores"), std::string::npos);
  EXPECT_NE(with("job", "").find("job"), std::string::npos);
  EXPECT_NE(with("urgent", "yes").find("urgent"), std::string::npos);
  EXPECT_NE(with("team", "nobody").find("nobody"), std::string::npos);
  EXPECT_NE(with("apart_from", "plan").find("apart_from"), std::string::npos);
  EXPECT_NE(with("apart_from", json::array({""})).find("apart_from"),
            std::string::npos);
  EXPECT_NE(with("most_tasks_per_rack", -1).find("most_tasks_per_rack"),
            std::string::npos);
  EXPECT_NE(with("typo", 1).find("known members"), std::string::npos);
}

}  // namespace
}  // namespace papayadrift::entry
