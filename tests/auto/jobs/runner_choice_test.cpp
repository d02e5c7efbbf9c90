#include "jobs/runner_choice.h"

#include <gtest/gtest.h>

namespace papayadrift::jobs {
namespace {

const RunnerIncarnation kFirst{"node-1", "i", 1};
const RunnerIncarnation kSecond{"node-2", "i", 1};

class RunnerChoiceTest : public testing::Test {
 protected:
  RunnerChoiceTest() {
    for (const RunnerIncarnation& incarnation : {kFirst, kSecond}) {
      Runner& runner = fleet_.Get(incarnation);
      runner.report.incarnation = incarnation;
      runner.report.service = "s";
      runner.report.capacity = {10000, 10000, 0};
      runner.has_report = true;
      runner.lease_expires_at = Instant() + seconds(6);
    }
    step_.need = {2000, 100, 0};
  }

  const Runner* Choose(Instant now = Instant()) {
    return ChooseRunner(fleet_, interference_, {},
                        {TaskKey{JobId("a"), 0, 0, 0}, &step_, "s", avoided_},
                        now);
  }

  void AddServing(const RunnerIncarnation& incarnation,
                  const std::string& image,
                  int64_t tail_ms = 30) {
    jobs::Run run;
    run.need = {2000, 100, 0};
    run.image = image;
    run.is_serving = true;
    run.is_accepted = true;
    run.gauge = tail_ms;
    run.tail_target_ms = 50;
    fleet_.Get(incarnation).runs[{JobId("b"), 0, 0, next_++}] = run;
  }

  Fleet fleet_;
  Interference interference_;
  Step step_;
  std::optional<RunnerIncarnation> avoided_;
  uint32_t next_ = 0;
};

TEST_F(RunnerChoiceTest, TakesOnlyRunnersWithRoom) {
  step_.need = {10001, 1, 0};
  EXPECT_EQ(Choose(), nullptr);
}

TEST_F(RunnerChoiceTest, AvoidsWhereTheTaskFailed) {
  avoided_ = kFirst;
  EXPECT_EQ(Choose()->report.incarnation, kSecond);
  avoided_ = kSecond;
  EXPECT_EQ(Choose()->report.incarnation, kFirst);
}

TEST_F(RunnerChoiceTest, PutsServingTasksOfOneImageTogether) {
  AddServing(kSecond, "x");
  AddServing(kFirst, "y");
  step_.image = "x";
  step_.tail_target_ms = 50;
  EXPECT_EQ(Choose()->report.incarnation, kSecond);
}

// Services are submitted one after the other before a burst of batch work:
// spread over all runners they would leave none free for it.
TEST_F(RunnerChoiceTest, ServingTasksShareRunners) {
  AddServing(kSecond, "y");
  step_.image = "x";
  step_.tail_target_ms = 50;
  EXPECT_EQ(Choose()->report.incarnation, kSecond);
}

// In a burst of batch work, fillers go to runners without serving tasks.
TEST_F(RunnerChoiceTest, PutsFillersWhereTheyInterfereLeast) {
  AddServing(kFirst, "x");
  step_.is_filler = true;
  step_.image = "f";
  EXPECT_EQ(Choose()->report.incarnation, kSecond);
}

TEST_F(RunnerChoiceTest, FillersTakeOnlyWhatOthersLeave) {
  for (int i = 0; i < 5; ++i) {
    AddServing(kFirst, "x", 5);
    AddServing(kSecond, "x", 5);
  }
  step_.is_filler = true;
  step_.need = {4900, 100, 0};
  EXPECT_NE(Choose(), nullptr);
  step_.need = {5100, 100, 0};
  EXPECT_EQ(Choose(), nullptr);
}

// Guards against a service that stays over its target in a burst of batch work:
// each new filler worked until the next report told to stop it, and the next
// one followed. Fillers that seem harmless count, too.
TEST_F(RunnerChoiceTest, NoFillerStartsWhereAllOfThemAreStopped) {
  const PaceSettings pacing;
  AddServing(kFirst, "x", 60);
  fleet_.Get(kFirst).runs.at({JobId("b"), 0, 0, 0}).over_target_since =
      Instant();
  fleet_.Get(kSecond).report.state = RunnerState::kDraining;
  step_.is_filler = true;
  step_.image = "f";
  interference_.ImportWeights({{"x", "f", 0.0, 0.1}});
  const Instant before = Instant() + pacing.long_overrun - milliseconds(1);
  EXPECT_NE(Choose(before), nullptr);
  EXPECT_EQ(Choose(Instant() + pacing.long_overrun), nullptr);
  step_.is_filler = false;
  EXPECT_NE(Choose(Instant() + pacing.long_overrun), nullptr);
}

// In a burst of batch work while all services are near their targets, fillers
// wait for a runner where they can make progress; only the longest wait
// overrides that.
TEST_F(RunnerChoiceTest, FillersWaitWhereTheyWouldSlowServices) {
  AddServing(kFirst, "x", 35);
  AddServing(kSecond, "x", 35);
  step_.is_filler = true;
  EXPECT_EQ(Choose(), nullptr);
  PlacementRequest request{TaskKey{JobId("a"), 0, 0, 0}, &step_, "s",
                           std::nullopt};
  request.has_waited = true;
  EXPECT_NE(ChooseRunner(fleet_, interference_, {}, request, Instant()),
            nullptr);
  AddServing(RunnerIncarnation{"node-3", "i", 1}, "x", 10);
  Runner& third = fleet_.Get({"node-3", "i", 1});
  third.report.incarnation = {"node-3", "i", 1};
  third.report.service = "s";
  third.report.capacity = {10000, 10000, 0};
  third.has_report = true;
  third.lease_expires_at = Instant() + seconds(6);
  EXPECT_EQ(Choose(), &third);
}

// While the load of services is at its peak, fillers that hardly interfere wait
// for nothing: on a fleet of services some task is always at its peak.
TEST_F(RunnerChoiceTest, HarmlessFillersNeedNoSlack) {
  AddServing(kFirst, "x", 45);
  fleet_.Remove(kSecond);
  step_.is_filler = true;
  step_.image = "f";
  EXPECT_EQ(Choose(), nullptr);
  interference_.ImportWeights({{"x", "f", 0.5, 0.5}});
  fleet_.Get(kFirst).headrooms.reset();
  EXPECT_NE(Choose(), nullptr);
}

// On a fleet full of services, a new task joins those that are sensitive to the
// same fillers: beside others it would close their runner to more fillers.
TEST_F(RunnerChoiceTest, ServingTasksJoinThoseOfLikeSensitivity) {
  interference_.ImportWeights({{"disk-1", "disk-filler", 10, 0.5},
                               {"disk-1", "cache-filler", 0, 0.5},
                               {"disk-2", "disk-filler", 10, 0.5},
                               {"disk-2", "cache-filler", 0, 0.5},
                               {"cache-1", "disk-filler", 0, 0.5},
                               {"cache-1", "cache-filler", 10, 0.5}});
  for (const int64_t ms : {2000, 4000}) {
    interference_.Observe({JobId("x"), 0, 0, 0}, "disk-1", 3.0, {},
                          Instant(milliseconds(ms)));
  }
  AddServing(kFirst, "cache-1");
  AddServing(kSecond, "disk-1");
  step_.tail_target_ms = 50;
  step_.image = "disk-2";
  EXPECT_EQ(Choose()->report.incarnation, kSecond);
}

// Guards against starting many tasks of an unknown image at once: five of them
// beside a service raised its tail latency to eight times the target.
TEST_F(RunnerChoiceTest, FewFillersOfANewImageStartBesideAService) {
  AddServing(kFirst, "x", 20);
  fleet_.Remove(kSecond);
  step_.is_filler = true;
  step_.image = "f";
  step_.need = {1100, 100, 0};
  int started = 0;
  while (started < 5 && Choose() != nullptr) {
    jobs::Run run;
    run.need = step_.need;
    run.image = "f";
    run.is_filler = true;
    fleet_.Get(kFirst).runs[{JobId("c"), 0, 0, next_++}] = run;
    fleet_.Get(kFirst).headrooms.reset();
    ++started;
  }
  EXPECT_GE(started, 1);
  EXPECT_LE(started, 2);
}

TEST_F(RunnerChoiceTest, SkipsRunnersWithoutRecentReports) {
  fleet_.Get(kFirst).reported_at = Instant() - kMaxReportAge * 2;
  fleet_.Get(kSecond).report.state = RunnerState::kDraining;
  EXPECT_EQ(Choose(), nullptr);
}

TEST_F(RunnerChoiceTest, AvoidsSlowRunners) {
  fleet_.Get(kFirst).slowness = 5.0;
  EXPECT_EQ(Choose()->report.incarnation, kSecond);
}

}  // namespace
}  // namespace papayadrift::jobs
