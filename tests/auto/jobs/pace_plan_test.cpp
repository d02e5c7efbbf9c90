#include "jobs/pace_plan.h"

#include <gtest/gtest.h>

namespace papayadrift::jobs {
namespace {

Instant At(int64_t ms) {
  return Instant(milliseconds(ms));
}

TaskKey Task(uint32_t index) {
  return {JobId("a"), 0, 0, index};
}

class PacePlanTest : public testing::Test {
 protected:
  PacePlanTest() { runner_.report.capacity = {10000, 10000, 0}; }

  void AddServing(const std::string& image, int64_t tail_ms) {
    jobs::Run run;
    run.image = image;
    run.is_serving = true;
    run.is_accepted = true;
    run.gauge = tail_ms;
    run.tail_target_ms = 50;
    runner_.runs[Task(next_++)] = run;
  }

  TaskKey AddFiller(const std::string& image, int64_t target_ms) {
    jobs::Run run;
    run.image = image;
    run.is_filler = true;
    run.is_accepted = true;
    run.need = {2000, 100, 0};
    run.target_ms = target_ms;
    run.cutoff_ms = target_ms + 1000;
    const TaskKey task = Task(next_++);
    runner_.runs[task] = run;
    return task;
  }

  // Adds samples of a pair with weight `w`.
  void TrainPair(const std::string& serving,
                 const std::string& filler,
                 double w) {
    for (int64_t i = 0; i < 60; ++i) {
      const double share = i / 4 % 2 == 0 ? 0.0 : 0.2;
      interference_.Observe({JobId(filler), 0, 0, 0}, serving, 4.0 - w * share,
                            {{filler, share}}, At(i * 500));
    }
  }

  std::map<TaskKey, uint32_t> Plan() {
    return PlanPaces(runner_, interference_, {}, At(100000), 0);
  }

  Runner runner_;
  Interference interference_;
  uint32_t next_ = 0;
};

TEST_F(PacePlanTest, FillersAloneWorkAtFullPace) {
  const TaskKey filler = AddFiller("f", 100);
  EXPECT_EQ(Plan().at(filler), 100U);
}

// The load of a serving task rises: only fillers that interfere with it slow
// down.
TEST_F(PacePlanTest, SlowsOnlyInterferingFillers) {
  TrainPair("s", "heavy", 10.0);
  TrainPair("s", "light", 0.0);
  AddServing("s", 36);
  const TaskKey heavy = AddFiller("heavy", 100);
  const TaskKey light = AddFiller("light", 100);
  const auto plan = Plan();
  EXPECT_LT(plan.at(heavy), 50U);
  EXPECT_EQ(plan.at(light), 100U);
}

TEST_F(PacePlanTest, MostUrgentFillerTakesTheSlack) {
  TrainPair("s", "heavy", 8.0);
  AddServing("s", 16);
  const TaskKey later = AddFiller("heavy", 900);
  const TaskKey sooner = AddFiller("heavy", 100);
  const auto plan = Plan();
  EXPECT_EQ(plan.at(sooner), 100U);
  EXPECT_LT(plan.at(later), 50U);
}

TEST_F(PacePlanTest, StopsAllFillersBesideATaskOverItsTarget) {
  TrainPair("s", "light", 0.0);
  AddServing("s", 90);
  const TaskKey light = AddFiller("light", 100);
  EXPECT_EQ(Plan().at(light), 100U);
  runner_.runs.at(Task(0)).over_target_since = At(100000) - milliseconds(2000);
  EXPECT_EQ(Plan().at(light), 0U);
}

// When a service is at its peak, several light fillers together push it over
// its target although each alone is harmless: all are slowed a little, none
// stopped.
TEST_F(PacePlanTest, SlowsLightFillersTogether) {
  AddServing("s", 45);
  std::vector<TaskKey> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.push_back(AddFiller("light", 100 + i));
  }
  interference_.ImportWeights({{"s", "light", 1.0, 0.6}});
  const auto paces = Plan();
  for (const TaskKey& it : fillers) {
    EXPECT_EQ(paces.at(it), paces.at(fillers[0]));
  }
  EXPECT_LT(paces.at(fillers[0]), 100U);
  EXPECT_GT(paces.at(fillers[0]), 0U);
}

// Guards against fillers that keep running beside a task over its target: that
// lasted four seconds once, as noisy gauges fell below the target now and then.
TEST_F(PacePlanTest, NoisyGaugesDoNotHideATailOverItsTarget) {
  AddServing("s", 50);
  const TaskKey filler = AddFiller("light", 100);
  TrainPair("s", "light", 0.0);
  jobs::Run& serving = runner_.runs.at(Task(0));
  for (int64_t i = 0; i < 6; ++i) {
    const int64_t tail_ms = i % 2 == 0 ? 57 : 48;
    serving.gauge = tail_ms;
    UpdateTail(serving, tail_ms, At(97500 + i * 500));
  }
  EXPECT_EQ(Plan().at(filler), 0U);
  for (int64_t i = 0; i < 3; ++i) {
    UpdateTail(serving, 30, At(100500 + i * 500));
  }
  EXPECT_FALSE(serving.over_target_since);
}

TEST_F(PacePlanTest, FillerUsesFollowGaugesWithADelay) {
  const TaskKey filler = AddFiller("f", 100);
  runner_.runs.at(filler).gauge = 2000;
  UpdateFillerUses(runner_, At(1000));
  const double first = runner_.filler_uses.at("f");
  UpdateFillerUses(runner_, At(1500));
  EXPECT_GT(first, 0.05);
  EXPECT_LT(first, runner_.filler_uses.at("f"));
  EXPECT_LT(runner_.filler_uses.at("f"), 0.2);
}

}  // namespace
}  // namespace papayadrift::jobs
