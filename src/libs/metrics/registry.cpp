#include "metrics/registry.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <ranges>
#include <sstream>
#include <string_view>

#include <nlohmann/json.hpp>

namespace papayadrift::metrics {

namespace {

using nlohmann::json;

constexpr double kMicrosecondsPerSecond = 1e6;

std::string Escaped(std::string_view text) {
  std::string escaped;
  for (const char it : text) {
    if (it == '\n') {
      escaped += "\\n";
      continue;
    }
    if (it == '"' || it == '\\') {
      escaped += '\\';
    }
    escaped += it;
  }
  return escaped;
}

std::string LabelText(const Labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += (text.empty() ? "" : ",") + name + "=\"" + Escaped(value) + "\"";
  }
  return text.empty() ? text : "{" + text + "}";
}

double InSeconds(microseconds duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

// Writes the lines of one metric.
struct TextWriter {
  const std::string& name;
  const Labels& labels;
  std::ostringstream& out;

  void operator()(const std::unique_ptr<Counter>& counter) const {
    out << name << LabelText(labels) << ' ' << counter->value() << '\n';
  }

  void operator()(const std::unique_ptr<Gauge>& gauge) const {
    out << name << LabelText(labels) << ' ' << gauge->value() << '\n';
  }

  void operator()(const std::unique_ptr<Histogram>& histogram) const {
    for (const Bucket& bucket : histogram->buckets()) {
      std::ostringstream bound;
      bound << InSeconds(bucket.upper_bound);
      WriteBucket(bound.str(), bucket.cumulative_count);
    }
    WriteBucket("+Inf", histogram->count());
    const std::string label_text = LabelText(labels);
    out << name << "_sum" << label_text << ' ' << InSeconds(histogram->sum())
        << '\n'
        << name << "_count" << label_text << ' ' << histogram->count() << '\n';
  }

  void WriteBucket(const std::string& bound, uint64_t count) const {
    Labels with_bound = labels;
    with_bound["le"] = bound;
    out << name << "_bucket" << LabelText(with_bound) << ' ' << count << '\n';
  }
};

struct JsonWriter {
  json operator()(const std::unique_ptr<Counter>& counter) const {
    return counter->value();
  }

  json operator()(const std::unique_ptr<Gauge>& gauge) const {
    return gauge->value();
  }

  json operator()(const std::unique_ptr<Histogram>& histogram) const {
    const auto at = [&](double part) {
      return InSeconds(histogram->Quantile(part));
    };
    return {{"count", histogram->count()},
            {"sum", InSeconds(histogram->sum())},
            {"p50", at(0.5)},
            {"p99", at(0.99)},
            {"p999", at(0.999)}};
  }
};

struct TypeName {
  std::string_view operator()(const std::unique_ptr<Counter>&) const {
    return "counter";
  }
  std::string_view operator()(const std::unique_ptr<Gauge>&) const {
    return "gauge";
  }
  std::string_view operator()(const std::unique_ptr<Histogram>&) const {
    return "histogram";
  }
};

}  // namespace

Counter& Registry::AddCounter(const std::string& name,
                              const std::string& help,
                              const Labels& labels) {
  return Add<Counter>(name, help, labels);
}

Gauge& Registry::AddGauge(const std::string& name,
                          const std::string& help,
                          const Labels& labels) {
  return Add<Gauge>(name, help, labels);
}

Histogram& Registry::AddHistogram(const std::string& name,
                                  const std::string& help,
                                  const Labels& labels) {
  return Add<Histogram>(name, help, labels);
}

std::vector<std::string> Registry::names() const {
  const std::scoped_lock lock(mutex_);
  std::vector<std::string> names;
  std::ranges::copy(std::views::keys(families_), std::back_inserter(names));
  return names;
}

std::string Registry::ToText() const {
  const std::scoped_lock lock(mutex_);
  std::ostringstream out;
  for (const auto& [name, family] : families_) {
    const Metric& first = family.metrics.begin()->second;
    out << "# HELP " << name << ' ' << family.help << '\n'
        << "# TYPE " << name << ' ' << std::visit(TypeName(), first) << '\n';
    for (const auto& [labels, metric] : family.metrics) {
      std::visit(TextWriter{name, labels, out}, metric);
    }
  }
  return out.str();
}

std::string Registry::ToJson() const {
  const std::scoped_lock lock(mutex_);
  json list = json::array();
  for (const auto& [name, family] : families_) {
    for (const auto& [labels, metric] : family.metrics) {
      list.push_back({{"name", name},
                      {"labels", labels},
                      {"value", std::visit(JsonWriter(), metric)}});
    }
  }
  return list.dump();
}

template <typename Kind>
Kind& Registry::Add(const std::string& name,
                    const std::string& help,
                    const Labels& labels) {
  const std::scoped_lock lock(mutex_);
  Family& family = families_[name];
  family.help = help;
  const auto it = family.metrics.find(labels);
  if (it != family.metrics.end()) {
    return *std::get<std::unique_ptr<Kind>>(it->second);
  }
  assert(family.metrics.empty() ||
         std::holds_alternative<std::unique_ptr<Kind>>(
             family.metrics.begin()->second));
  auto& added = family.metrics[labels];
  added = std::make_unique<Kind>();
  return *std::get<std::unique_ptr<Kind>>(added);
}

}  // namespace papayadrift::metrics
