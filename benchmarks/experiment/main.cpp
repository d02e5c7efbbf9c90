// Compares variants of the scheduling policy on emulated runners and prints
// their results: means over the seeds of one workload.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <future>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "process/text_file.h"
#include "simulation.h"
#include "variants.h"
#include "workload.h"

namespace papayadrift::experiment {
namespace {

constexpr int kBadFile = 1;

// Results of one variant, means over its simulations.
struct Row {
  std::string name;
  double batch_in_time = 0;
  double batch_late = 0;
  double urgent_in_time = 0;
  double over_target = 0;
  double filler_pace = 0;
  double pace_orders = 0;
  double moves = 0;
};

template <typename Get>
double MeanOf(const std::vector<Measures>& runs, Get get) {
  double sum = 0;
  for (const Measures& it : runs) {
    sum += get(it);
  }
  return sum / static_cast<double>(runs.size());
}

QueueResult ResultOf(const Measures& measures, const char* queue) {
  const auto it = measures.queues().find(queue);
  return it == measures.queues().end() ? QueueResult() : it->second;
}

Row RowOf(const std::string& name, const std::vector<Measures>& runs) {
  return {
      name,
      MeanOf(runs,
             [](const Measures& it) {
               return ResultOf(it, kBatchQueue).share_in_time();
             }),
      MeanOf(runs,
             [](const Measures& it) {
               return ResultOf(it, kBatchQueue).share_late();
             }),
      MeanOf(runs,
             [](const Measures& it) {
               return ResultOf(it, kUrgentQueue).share_in_time();
             }),
      MeanOf(runs, [](const Measures& it) { return it.over_target(); }),
      MeanOf(runs, [](const Measures& it) { return it.filler_pace(); }),
      MeanOf(runs,
             [](const Measures& it) { return it.pace_orders_per_filler(); }),
      MeanOf(runs, [](const Measures& it) {
        return static_cast<double>(it.moves());
      })};
}

std::vector<Row> RunVariants(const Workload& workload,
                             const std::vector<NamedVariant>& variants,
                             uint64_t first_seed,
                             uint64_t seeds) {
  std::vector<std::vector<std::future<Measures>>> runs;
  for (const NamedVariant& it : variants) {
    std::vector<std::future<Measures>>& row = runs.emplace_back();
    for (uint64_t i = 0; i < seeds; ++i) {
      row.push_back(std::async(
          std::launch::async, [&workload, &it, seed = first_seed + i] {
            return RunSimulation(workload, it.variant, seed);
          }));
    }
  }
  std::vector<Row> rows;
  for (size_t i = 0; i < variants.size(); ++i) {
    std::vector<Measures> results;
    std::ranges::transform(runs[i], std::back_inserter(results),
                           [](auto& it) { return it.get(); });
    rows.push_back(RowOf(variants[i].name, results));
  }
  return rows;
}

void Print(const std::vector<Row>& rows) {
  fmt::print("{:<24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n", "variant",
             "batch", "late", "urgent", "over", "pace", "paces", "moves");
  for (const Row& it : rows) {
    fmt::print(
        "{:<24} {:>8.3f} {:>8.3f} {:>8.3f} {:>8.4f} {:>8.3f} {:>8.2f} "
        "{:>8.0f}\n",
        it.name, it.batch_in_time, it.batch_late, it.urgent_in_time,
        it.over_target, it.filler_pace, it.pace_orders, it.moves);
  }
}

template <typename T>
std::optional<T> Load(
    const std::string& path,
    std::optional<T> (*read)(const std::string&,
                             std::vector<settings::Problem>&)) {
  const auto text = process::ReadTextFile(path);
  if (!text) {
    std::cerr << "The file " << path << " can't be read.\n";
    return std::nullopt;
  }
  std::vector<settings::Problem> problems;
  auto value = read(*text, problems);
  for (const settings::Problem& problem : problems) {
    std::cerr << settings::ToText(problem, path) << "\n";
  }
  return value;
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine line(
      "Compares variants of the scheduling policy on emulated runners. "
      "Columns: "
      "batch work done in time and late, urgent work in time, time that "
      "services are over their target, mean pace of fillers, orders on pace "
      "for each filler, runs withdrawn.",
      ' ', "0.1.0");
  TCLAP::ValueArg<std::string> workload_path(
      "w", "workload", "INI file of the workload.", true, "", "path", line);
  TCLAP::ValueArg<std::string> variants_path("v", "variants",
                                             "INI file of further variants.",
                                             false, "", "path", line);
  TCLAP::ValueArg<uint64_t> first_seed("s", "seed", "First seed.", false, 1,
                                       "number", line);
  TCLAP::ValueArg<uint64_t> seeds("n", "seeds", "Number of seeds.", false, 3,
                                  "number", line);
  line.parse(argc, argv);
  const auto workload = Load(workload_path.getValue(), &ReadWorkload);
  if (!workload) {
    return kBadFile;
  }
  std::vector<NamedVariant> variants = StandardVariants();
  if (variants_path.isSet()) {
    const auto more = Load(variants_path.getValue(), &ReadVariants);
    if (!more) {
      return kBadFile;
    }
    variants.insert(variants.end(), more->begin(), more->end());
  }
  Print(RunVariants(*workload, variants, first_seed.getValue(),
                    std::max<uint64_t>(1, seeds.getValue())));
  return 0;
}

}  // namespace
}  // namespace papayadrift::experiment

int main(int argc, char** argv) {
  return papayadrift::experiment::Run(argc, argv);
}
