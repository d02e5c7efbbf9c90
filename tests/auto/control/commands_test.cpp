#include "control/commands.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "access/token_hash.h"

namespace papayadrift::control {
namespace {

using nlohmann::json;

constexpr char kFile[] = "[customer c]\n[limits]\nretry_percent = 10\n";

// Entries that answer with what a test has laid down.
class CommandsTest : public testing::Test {
 protected:
  CommandsTest() : path_(testing::TempDir() + "commands_test.ini") {
    std::ofstream(path_) << kFile;
  }
  ~CommandsTest() override { std::remove(path_.c_str()); }

  void Answer(const std::string& address,
              const std::string& path,
              int status,
              const json& body) {
    answers_[address + path] = http::Response{status, {}, body.dump()};
  }

  void Fail(const std::string& address,
            const std::string& path,
            http::ClientFailure failure) {
    answers_[address + path] = failure;
  }

  EntryClient Client() {
    return {
        [this](const std::string& address, const http::Request& request) {
          requests_.push_back(request);
          const auto it = answers_.find(address + request.path);
          return it == answers_.end()
                     ? http::ClientResult(http::ClientFailure::kNotConnected)
                     : it->second;
        },
        {"e1", "e2"},
        "secret"};
  }

  Output Text() { return {out_, error_, false}; }

  std::string path_;
  std::map<std::string, http::ClientResult> answers_;
  std::vector<http::Request> requests_;
  std::ostringstream out_;
  std::ostringstream error_;
};

constexpr char kConfiguration[] = "/admin/v1/configuration";

TEST_F(CommandsTest, ValidateNamesFileSectionAndKey) {
  EXPECT_EQ(RunValidate(path_, Text()), ExitCode::kDone);
  std::ofstream(path_) << "[customer c]\nweight = 1\n";
  EXPECT_EQ(RunValidate(path_, Text()), ExitCode::kRefused);
  EXPECT_NE(error_.str().find("[customer c] weight: key_unknown"),
            std::string::npos);
  EXPECT_EQ(RunValidate("/nowhere", Text()), ExitCode::kRefused);
}

TEST_F(CommandsTest, ApplySendsTheVersionInForceAndTheToken) {
  Answer("e1", kConfiguration, 200, {{"version", 4}});
  EntryClient client = Client();
  EXPECT_EQ(RunApply({path_, "ada", {}}, client, Text()), ExitCode::kDone);
  ASSERT_EQ(requests_.size(), 2u);
  EXPECT_EQ(requests_[1].method, "PUT");
  EXPECT_EQ(requests_[1].headers.at("expected-version"), "4");
  EXPECT_EQ(requests_[1].headers.at("authorization"), "Bearer secret");
  EXPECT_EQ(requests_[1].body, kFile);
}

TEST_F(CommandsTest, ApplyNamesTheWinnerOfARace) {
  Answer("e1", kConfiguration, 409,
         {{"winner_version", 5}, {"winner_author", "bo"}});
  EntryClient client = Client();
  EXPECT_EQ(RunApply({path_, "ada", 4}, client, Text()), ExitCode::kConflict);
  EXPECT_NE(error_.str().find("Version 5 by bo came first"), std::string::npos);
}

TEST_F(CommandsTest, ApplyIsNotSentAgainOnceItMayHaveArrived) {
  Fail("e1", kConfiguration, http::ClientFailure::kLost);
  Answer("e2", kConfiguration, 200, {{"version", 5}});
  EntryClient client = Client();
  EXPECT_EQ(RunApply({path_, "ada", 4}, client, Text()), ExitCode::kUnknown);
  EXPECT_EQ(requests_.size(), 1u);
}

TEST_F(CommandsTest, ApplyGoesToTheNextEntryWhenNothingWasSent) {
  Answer("e2", kConfiguration, 200, {{"version", 5}});
  EntryClient client = Client();
  EXPECT_EQ(RunApply({path_, "ada", 4}, client, Text()), ExitCode::kDone);
}

TEST_F(CommandsTest, InvalidFileIsNeverSent) {
  std::ofstream(path_) << "[nonsense]\n";
  EntryClient client = Client();
  EXPECT_EQ(RunApply({path_, "ada", 4}, client, Text()), ExitCode::kRefused);
  EXPECT_TRUE(requests_.empty());
}

TEST_F(CommandsTest, DiffListsSections) {
  Answer("e1", kConfiguration, 200,
         {{"version", 4}, {"text", "[customer c]\n"}});
  EntryClient client = Client();
  EXPECT_EQ(RunDiff(path_, client, Text()), ExitCode::kDiffers);
  EXPECT_EQ(out_.str(), "changed [limits]\n");
}

TEST_F(CommandsTest, StatusSaysWhatIsNotKnown) {
  const json entries = {{{"entry", "one"}, {"http_address", "e1"}},
                        {{"entry", "two"}, {"http_address", "e2"}},
                        {{"entry", "three"}, {"http_address", "e3"}}};
  const auto status = [&](int version) {
    return json{
        {"entries", entries},
        {"state", "full"},
        {"configuration", {{"version", version}, {"in_force_for_ms", 5000}}}};
  };
  Answer("e1", "/admin/v1/status", 200, status(3));
  Answer("e2", "/admin/v1/status", 200, status(4));
  EntryClient client = Client();
  EXPECT_EQ(RunStatus(client, Text()), ExitCode::kDiffers);
  const std::string text = out_.str();
  EXPECT_NE(text.find("version 4"), std::string::npos);
  EXPECT_NE(text.find("lags"), std::string::npos);
  EXPECT_NE(text.find("does not answer"), std::string::npos);
}

// Entries of the region north at e1 and e2, and of south at e3.
class RegionCommandsTest : public CommandsTest {
 protected:
  static json Status(const std::string& region,
                     const std::string& entry,
                     const json& entries) {
    return {{"region", region},
            {"entry", entry},
            {"entries", entries},
            {"regions",
             {{{"region", "north"}, {"address", ""}},
              {{"region", "south"}, {"address", "e3"}}}},
            {"configuration", {{"version", 4}}}};
  }

  RegionCommandsTest() {
    const json north = {{{"entry", "one"}, {"http_address", "e1"}},
                        {{"entry", "two"}, {"http_address", "e2"}}};
    Answer("e1", "/admin/v1/status", 200, Status("north", "one", north));
    Answer("e2", "/admin/v1/status", 200, Status("north", "two", north));
  }

  void AnswerSouth() {
    // It is not a member yet.
    Answer("e3", "/admin/v1/status", 200,
           Status("south", "one", json::array()));
  }

  Output Json() { return {out_, error_, true}; }
};

TEST_F(RegionCommandsTest, StatusNamesTheRegionOfWhichNoneAnswers) {
  EntryClient client = Client();
  EXPECT_EQ(RunStatus(client, Json()), ExitCode::kDiffers);
  const json body = json::parse(out_.str());
  EXPECT_EQ(body["entries"].size(), 2u);
  EXPECT_EQ(body["silent_regions"], json::array({"south"}));
}

TEST_F(RegionCommandsTest, StatusFindsOtherRegionsThroughTheFile) {
  AnswerSouth();
  EntryClient client = Client();
  EXPECT_EQ(RunStatus(client, Json()), ExitCode::kDone);
  const json body = json::parse(out_.str());
  ASSERT_EQ(body["entries"].size(), 3u);
  EXPECT_EQ(body["entries"][2]["region"], "south");
  EXPECT_EQ(body["entries"][2]["http_address"], "e3");
}

TEST_F(RegionCommandsTest, OutcomesAreShownForEachRegion) {
  const json report = {
      {"counts", {{{"customer", "c"}, {"outcome", "answered"}, {"count", 7}}}},
      {"gaps", json::array()}};
  Answer("e2", "/admin/v1/outcomes", 200, report);
  EntryClient client = Client();
  EXPECT_EQ(
      RunOutcomes(WallInstant(), WallInstant(milliseconds(9)), client, Json()),
      ExitCode::kGaps);
  const json expected = {{"regions",
                          {{{"region", "north"}, {"report", report}},
                           {{"region", "south"}, {"report", nullptr}}}}};
  EXPECT_EQ(json::parse(out_.str()), expected);
  AnswerSouth();
  Answer("e3", "/admin/v1/outcomes", 200, report);
  EXPECT_EQ(
      RunOutcomes(WallInstant(), WallInstant(milliseconds(9)), client, Text()),
      ExitCode::kDone);
}

TEST_F(CommandsTest, OutcomesWithGapsSaySo) {
  Answer(
      "e1", "/admin/v1/outcomes", 200,
      {{"counts", {{{"customer", "c"}, {"outcome", "answered"}, {"count", 7}}}},
       {"gaps", {{{"entry", "two"}, {"from", 1}, {"until", 2}}}}});
  EntryClient client = Client();
  EXPECT_EQ(
      RunOutcomes(WallInstant(), WallInstant(milliseconds(9)), client, Text()),
      ExitCode::kGaps);
  EXPECT_EQ(requests_.back().query.at("until"), "9");
  EXPECT_NE(out_.str().find("two from 1970-01-01T00:00:00.001Z until "
                            "1970-01-01T00:00:00.002Z"),
            std::string::npos);
}

TEST_F(CommandsTest, ViewsListWhatTheEntryKnows) {
  Answer("e1", "/admin/v1/teams", 200,
         {{"teams",
           {{{"team", "dispatch"},
             {"quota", {{"millicores", 2500}, {"memory_mebibytes", 1536}}},
             {"dominant_share", 0.25},
             {"jobs_waiting", 3}}}}});
  EntryClient client = Client();
  EXPECT_EQ(RunView(ViewKind::kTeams, client, Text()), ExitCode::kDone);
  EXPECT_NE(out_.str().find("dispatch  2.5 cores, 1.5 GiB"), std::string::npos)
      << out_.str();
  EXPECT_NE(out_.str().find("25 %"), std::string::npos);
}

TEST_F(CommandsTest, ExplainAsksEachEntryForWhatItDecided) {
  const auto job = [](bool is_decided_here, const char* why) {
    return json{{"job", "plan"},
                {"team", "depots"},
                {"waiting", 1},
                {"why_waiting", "It waits for room."},
                {"tasks",
                 {{{"index", 4},
                   {"attempt", 2},
                   {"is_running", true},
                   {"is_decided_here", is_decided_here},
                   {"why", why},
                   {"worker", "worker-7"}}}}};
  };
  Answer("e1", "/admin/v1/jobs/plan", 200,
         job(false, "Nothing is known of it."));
  Answer("e2", "/admin/v1/jobs/plan", 200, job(true, "It was cheapest."));
  Answer("e1", "/admin/v1/status", 200,
         {{"entries",
           {{{"entry", "one"}, {"http_address", "e1"}},
            {{"entry", "two"}, {"http_address", "e2"}}}}});
  EntryClient client = Client();
  EXPECT_EQ(RunExplain("plan", client, Text()), ExitCode::kDone);
  const std::string text = out_.str();
  EXPECT_NE(text.find("as two sees it: It waits for room."), std::string::npos)
      << text;
  EXPECT_NE(text.find("It was cheapest."), std::string::npos) << text;
  EXPECT_EQ(text.find("Nothing is known"), std::string::npos) << text;
  Answer("e1", "/admin/v1/jobs/other", 404, {{"reason", "job_unknown"}});
  EXPECT_EQ(RunExplain("other", client, Text()), ExitCode::kRefused);
}

TEST_F(CommandsTest, RetireNeedsTheIncarnationAndNamesIt) {
  constexpr char kRetirement[] = "/admin/v1/entries/entry-7/retirement";
  EntryClient client = Client();
  EXPECT_EQ(RunRetire({"entry-7", {}}, client, Text()), ExitCode::kUsage);
  EXPECT_TRUE(requests_.empty());
  Answer("e1", kRetirement, 409, {{"reason", "entry_heard"}, {"ran", "no"}});
  EXPECT_EQ(RunRetire({"entry-7", 4}, client, Text()), ExitCode::kRefused);
  EXPECT_NE(error_.str().find("entry_heard"), std::string::npos);
  Answer("e1", kRetirement, 200, {{"entry", "entry-7"}, {"incarnation", 4}});
  EXPECT_EQ(RunRetire({"entry-7", 4}, client, Text()), ExitCode::kDone);
  EXPECT_EQ(requests_.back().method, "POST");
  EXPECT_EQ(requests_.back().headers.at("incarnation"), "4");
}

TEST_F(CommandsTest, TokenComesWithTheHashThatFitsIt) {
  Output output{out_, error_, true};
  EXPECT_EQ(RunToken("dispatch", output), ExitCode::kDone);
  const json made = json::parse(out_.str());
  const auto hash = access::TokenHashFromText(made.value("hash", ""));
  const std::string token = made.value("token", "");
  ASSERT_TRUE(hash);
  ASSERT_TRUE(token.starts_with("dispatch."));
  EXPECT_TRUE(access::Matches(*hash, token.substr(token.find('.') + 1)));
}

TEST_F(CommandsTest, NoEntryIsSaid) {
  EntryClient client = Client();
  EXPECT_EQ(RunDump(client, Text()), ExitCode::kUnreachable);
  EXPECT_EQ(RunStatus(client, Text()), ExitCode::kUnreachable);
}

}  // namespace
}  // namespace papayadrift::control
