// Files of the operators that are as large as they may be.

#include <gtest/gtest.h>

#include "fake_region.h"
#include "settings/ini_document.h"

namespace papayadrift::entry {
namespace {

constexpr int kJobs = 3000;
constexpr std::string_view kComment = "# Room that is left.\n";

std::string FileWithJobs(int jobs) {
  std::string text =
      "[customer c]\n[team team]\ncustomer = c\nquota_cores = 1000 cores\n"
      "quota_memory = 1 TiB\n";
  for (int i = 0; i < jobs; ++i) {
    text += "[job job-" + std::to_string(i) +
            "]\nteam = team\nkind = k\ntasks = 1\ncores = 1 cores\n"
            "memory = 64 MiB\nrun_time = 1 min\n";
  }
  return text;
}

class LargeFileTest : public testing::Test {
 protected:
  LargeFileTest() { region_.Start(); }

  // Returns the status of the answer.
  int Apply(std::string text) {
    int status = 0;
    region_.entry().ApplyConfiguration(
        region_.entry().configuration().in_force().version, "operator",
        std::move(text), Instant(std::chrono::hours(24)),
        [&](const http::Response& response) { status = response.status; });
    region_.AdvanceUntil([&] { return status != 0; }, seconds(30));
    return status;
  }
  size_t known_jobs() {
    return region_.entry().decisions().state().jobs().jobs().size();
  }

  FakeRegion region_;
};

TEST_F(LargeFileTest, LargestFileIsPutInForce) {
  std::string text = FileWithJobs(kJobs);
  while (text.size() + kComment.size() <= settings::kMaximumFileBytes) {
    text += kComment;
  }
  EXPECT_EQ(Apply(text), 200);
  region_.Advance(seconds(12));
  EXPECT_EQ(known_jobs(), kJobs);
}

TEST_F(LargeFileTest, JobsOfALostBatchAreSubmittedAgain) {
  region_.log().LoseAppendsOf("job_submitted", 1);
  EXPECT_EQ(Apply(FileWithJobs(kJobs)), 200);
  region_.Advance(seconds(12));
  EXPECT_EQ(known_jobs(), kJobs);
}

}  // namespace
}  // namespace papayadrift::entry
