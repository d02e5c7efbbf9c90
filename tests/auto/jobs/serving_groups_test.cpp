#include "jobs/serving_groups.h"

#include <gtest/gtest.h>

#include <string>

namespace papayadrift::jobs {
namespace {

constexpr milliseconds kFitTime(2000);

// Two kinds of hardware: images depend on one of them, fillers load one.
class ServingGroupsTest : public testing::Test {
 protected:
  ServingGroupsTest() {
    runner_.report.capacity = {64000, 256000, 0};
    interference_.ImportWeights({{"disk-1", "disk-filler", 10, 0.5},
                                 {"disk-1", "cache-filler", 0, 0.5},
                                 {"disk-2", "disk-filler", 9, 0.5},
                                 {"disk-2", "cache-filler", 0.3, 0.5},
                                 {"cache-1", "disk-filler", 0, 0.5},
                                 {"cache-1", "cache-filler", 10, 0.5}});
    // Sensitivities follow the weights at the next sample.
    interference_.Observe({JobId("x"), 0, 0, 0}, "disk-1", 3.0, {},
                          Instant(kFitTime));
    interference_.Observe({JobId("x"), 0, 0, 0}, "disk-1", 3.0, {},
                          Instant(kFitTime * 2));
  }

  TaskKey AddServing(const std::string& image) {
    jobs::Run run;
    run.need = {12000, 1000, 0};
    run.image = image;
    run.is_serving = true;
    const TaskKey task{JobId("a"), 0, 0, next_++};
    runner_.runs[task] = run;
    return task;
  }

  double CostOf(const std::string& image) const {
    return UsableByFillers(runner_, interference_) -
           UsableByFillersWith(runner_, interference_, image, {12000, 1000, 0});
  }

  Interference interference_;
  Runner runner_;
  uint32_t next_ = 0;
};

// A fleet full of services is open to batch work only if tasks of like
// sensitivity share runners.
TEST_F(ServingGroupsTest, ImagesSensitiveToTheSameFillersGoTogether) {
  AddServing("disk-1");
  AddServing("disk-1");
  EXPECT_LT(CostOf("disk-2"), CostOf("cache-1"));
  EXPECT_NEAR(CostOf("disk-2"), CostOf("disk-1"), 0.02);
}

TEST_F(ServingGroupsTest, TheSmallerPartIsMisplaced) {
  const TaskKey first = AddServing("disk-1");
  AddServing("disk-2");
  AddServing("disk-2");
  EXPECT_FALSE(IsMisplaced(runner_, interference_, first));
  const TaskKey other = AddServing("cache-1");
  EXPECT_TRUE(IsMisplaced(runner_, interference_, other));
  EXPECT_FALSE(IsMisplaced(runner_, interference_, first));
}

// Without it, the last of several misplaced tasks would have to leave before
// the first of them gains anything.
TEST_F(ServingGroupsTest, EachOfSeveralMisplacedTasksPays) {
  AddServing("disk-1");
  AddServing("disk-1");
  AddServing("disk-1");
  const TaskKey first = AddServing("cache-1");
  AddServing("cache-1");
  EXPECT_TRUE(IsMisplaced(runner_, interference_, first));
}

TEST_F(ServingGroupsTest, WithdrawnTasksDoNotCount) {
  AddServing("disk-1");
  const double before = UsableByFillers(runner_, interference_);
  const TaskKey other = AddServing("cache-1");
  runner_.runs.at(other).is_withdrawn = true;
  EXPECT_GT(SlowedShare(interference_, {&runner_.runs.at(other).image}), 0.0);
  EXPECT_NEAR(UsableByFillers(runner_, interference_), before, 0.1);
}

}  // namespace
}  // namespace papayadrift::jobs
