#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <limits>

#include "reference_model.h"

namespace papayadrift::placement {

namespace {

using Script = std::vector<Step>;

rc::Gen<Script> AnyScript() {
  constexpr size_t kSteps = 300;
  return rc::gen::container<Script>(
      kSteps, rc::gen::construct<Step>(rc::gen::arbitrary<uint8_t>(),
                                       rc::gen::inRange(0U, 1U << 30)));
}

void Play(const Script& script, Scheduler& scheduler) {
  ReferenceModel model(scheduler);
  for (const Step& step : script) {
    model.Apply(step);
  }
}

// Models with arbitrary, partly invalid results.
class WrongUsage : public UsageModel {
 public:
  void Introduce(KindNumber /*number*/, const KindId& /*kind*/) override {}
  void Observe(const UsageSample& /*sample*/) override {}
  void ObserveRun(const TaskShape& /*shape*/, microseconds /*run*/) override {}
  void ObserveFailure(const TaskShape& /*shape*/,
                      const Resources& /*grant*/) override {}
  Resources GrantFor(const TaskShape& /*shape*/) const override {
    n_ = n_ * 48271 % 2147483647;
    return {n_ % 20'000 - 4'000, n_ / 7 % 20'000 - 4'000, n_ / 3 % 5 - 2};
  }
  double ExpectedMillicores(const TaskShape& /*shape*/) const override {
    return n_ % 3 == 0 ? std::numeric_limits<double>::quiet_NaN() : -1e12;
  }
  microseconds ExpectedRun(const TaskShape& /*shape*/) const override {
    return microseconds(-5);
  }

 private:
  mutable int64_t n_ = 1;
};

class WrongInterference : public InterferenceModel {
 public:
  void Introduce(KindNumber /*number*/, const KindId& /*kind*/) override {}
  void Observe(const ServiceId& /*service*/,
               double /*load*/,
               std::span<const KindLoad> /*neighbours*/,
               double /*pressure*/) override {}
  Pressure Expect(const ServiceId& /*service*/,
                  double /*load*/,
                  std::span<const KindLoad> neighbours) const override {
    ++n_;
    if (n_ % 7 == 0) {
      return {std::numeric_limits<double>::quiet_NaN(), 1};
    }
    return {n_ % 5 == 0 ? -1e300 : static_cast<double>(neighbours.size()),
            n_ % 3 == 0 ? std::numeric_limits<double>::infinity() : 0.0};
  }

 private:
  mutable uint64_t n_ = 0;
};

RC_GTEST_PROP(InvariantsTest, HoldInAnyOrderOfEvents, ()) {
  const auto scheduler = MakeLearningScheduler({});
  Play(*AnyScript(), *scheduler);
}

RC_GTEST_PROP(InvariantsTest, HoldWhenTheModelsAreWrong, ()) {
  Scheduler scheduler({}, std::make_unique<WrongUsage>(),
                      std::make_unique<WrongInterference>());
  Play(*AnyScript(), scheduler);
}

}  // namespace

}  // namespace papayadrift::placement
