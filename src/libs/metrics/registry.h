#ifndef PAPAYADRIFT_METRICS_REGISTRY_H_
#define PAPAYADRIFT_METRICS_REGISTRY_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include "metrics/counter.h"
#include "metrics/gauge.h"
#include "metrics/histogram.h"

namespace papayadrift::metrics {

using Labels = std::map<std::string, std::string>;

// The metrics of one process. Adding takes a lock; a metric once added is used
// without one and lives as long as the registry.
class Registry {
 public:
  Registry() = default;
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // Return the metric of that name and labels, adding it if need be. `name`
  // says its unit at the end ("_total", "_seconds", "_bytes"); `help` is a
  // whole sentence. A name belongs to one kind of metric.
  Counter& AddCounter(const std::string& name,
                      const std::string& help,
                      const Labels& labels = {});
  Gauge& AddGauge(const std::string& name,
                  const std::string& help,
                  const Labels& labels = {});
  Histogram& AddHistogram(const std::string& name,
                          const std::string& help,
                          const Labels& labels = {});

  // Returns all names, sorted, for comparison with the reference.
  std::vector<std::string> names() const;

  // Returns one line for each value, after lines of help and type.
  std::string ToText() const;
  std::string ToJson() const;

 private:
  using Metric = std::variant<std::unique_ptr<Counter>,
                              std::unique_ptr<Gauge>,
                              std::unique_ptr<Histogram>>;
  struct Family {
    std::string help;
    std::map<Labels, Metric> metrics;
  };

  template <typename Kind>
  Kind& Add(const std::string& name,
            const std::string& help,
            const Labels& labels);

  mutable std::mutex mutex_;
  std::map<std::string, Family> families_;
};

}  // namespace papayadrift::metrics

#endif  // PAPAYADRIFT_METRICS_REGISTRY_H_
