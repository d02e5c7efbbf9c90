#include "metrics/registry.h"

#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace papayadrift::metrics {
namespace {

TEST(RegistryTest, TextAndJsonShowEveryValue) {
  Registry registry;
  registry.AddCounter("requests_total", "Requests.", {{"service", "a\"b"}})
      .Add(3);
  registry.AddGauge("queued", "Requests that wait.").Set(-2);
  registry.AddHistogram("latency_seconds", "Time.").Record(seconds(2));
  const std::string text = registry.ToText();
  for (const std::string& line :
       {std::string("# TYPE requests_total counter\n"),
        std::string("requests_total{service=\"a\\\"b\"} 3\n"),
        std::string("queued -2\n"), std::string("latency_seconds_count 1\n"),
        std::string("latency_seconds_sum 2\n"),
        std::string("latency_seconds_bucket{le=\"+Inf\"} 1\n")}) {
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
  }
  EXPECT_EQ(nlohmann::json::parse(registry.ToJson()).size(), 3);
  EXPECT_EQ(registry.names(),
            (std::vector<std::string>{"latency_seconds", "queued",
                                      "requests_total"}));
}

TEST(RegistryTest, SameNameAndLabelsAreTheSameMetric) {
  Registry registry;
  EXPECT_EQ(&registry.AddCounter("a", "A."), &registry.AddCounter("a", "A."));
  EXPECT_NE(&registry.AddCounter("a", "A."),
            &registry.AddCounter("a", "A.", {{"x", "y"}}));
}

TEST(HistogramTest, ThreadsLoseNothingAndQuantilesAreWithinABucket) {
  Histogram histogram;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int it = 0; it < 4; ++it) {
    threads.emplace_back([&] {
      for (int n = 1; n <= 1000; ++n) {
        histogram.Record(milliseconds(n));
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  EXPECT_EQ(histogram.count(), 4000);
  EXPECT_EQ(histogram.buckets().back().cumulative_count, 4000);
  constexpr double kBucketRatio = 1.26;
  EXPECT_GE(histogram.Quantile(0.99), milliseconds(990));
  EXPECT_LE(histogram.Quantile(0.99), milliseconds(990) * kBucketRatio);
}

}  // namespace
}  // namespace papayadrift::metrics
