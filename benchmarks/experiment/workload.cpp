#include "workload.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "dice.h"
#include "settings/checker.h"

namespace papayadrift::experiment {
namespace {

using settings::KeySpecification;
using settings::SectionSpecification;
using settings::ValueKind;

constexpr double kPercent = 100;
constexpr double kSecondsPerMinute = 60;
constexpr int64_t kMaxValue = 1'000'000;
constexpr int64_t kMaxMs = 3'600'000;

constexpr KeySpecification kFleetKeys[] = {
    {"runners", ValueKind::kInteger, {}, 1, 1000, {}, "Number of runners."},
    {"runners_per_rack",
     ValueKind::kInteger,
     "8",
     1,
     1000,
     {},
     "Runners that share a rack."},
    {"cores", ValueKind::kCores, {}, 1000, kMaxValue, {}, "Of one runner."},
    {"memory", ValueKind::kMemory, {}, 1024, kMaxValue, {}, "Of one runner."},
    {"length",
     ValueKind::kDuration,
     "34 s",
     1000,
     kMaxMs,
     {},
     "Simulated time."},
    {"burst_percent",
     ValueKind::kInteger,
     "100",
     100,
     10000,
     {},
     "Rate of batch jobs during the burst, of the usual one."},
    {"burst_at",
     ValueKind::kDuration,
     "0 s",
     0,
     kMaxMs,
     {},
     "When the burst begins."},
    {"burst_for",
     ValueKind::kDuration,
     "0 s",
     0,
     kMaxMs,
     {},
     "How long the burst lasts."},
    {"lost_orders_percent",
     ValueKind::kInteger,
     "0",
     0,
     100,
     {},
     "Orders that get no answer and are executed late."},
    {"crashes_per_minute",
     ValueKind::kInteger,
     "0",
     0,
     1000,
     {},
     "Runners that crash and restart."},
};

constexpr KeySpecification kSensitivityKeys[] = {
    {"load_percent",
     ValueKind::kInteger,
     "48",
     0,
     99,
     {},
     "Mean load of a serving task."},
    {"swing_percent",
     ValueKind::kInteger,
     "60",
     0,
     99,
     {},
     "Relative amplitude of the load."},
    {"period",
     ValueKind::kDuration,
     "20 s",
     1000,
     kMaxMs,
     {},
     "Period of the load."},
    {"calm_tail",
     ValueKind::kDuration,
     "25 ms",
     1,
     10000,
     {},
     "Tail latency of a serving task without load."},
    {"target",
     ValueKind::kDuration,
     "150 ms",
     1,
     10000,
     {},
     "Target of the tail latency."},
    {"noise_percent",
     ValueKind::kInteger,
     "10",
     0,
     100,
     {},
     "Relative error of a gauge."},
    {"kinds",
     ValueKind::kInteger,
     "3",
     1,
     100,
     {},
     "Kinds of shared hardware that fillers load."},
    {"heavy_percent",
     ValueKind::kInteger,
     "55",
     0,
     100,
     {},
     "Pairs of images that interfere with each other."},
    {"least_press_percent",
     ValueKind::kInteger,
     "100",
     0,
     1000,
     {},
     "Lower limit of the load that a filler of such a pair adds if it uses a "
     "whole runner."},
    {"most_press_percent",
     ValueKind::kInteger,
     "230",
     0,
     1000,
     {},
     "Upper limit of that load."},
};

constexpr KeySpecification kMixKeys[] = {
    {"per_minute",
     ValueKind::kInteger,
     "0",
     0,
     kMaxValue,
     {},
     "Jobs submitted per minute."},
    {"at_start",
     ValueKind::kInteger,
     "0",
     0,
     kMaxValue,
     {},
     "Jobs submitted together at the start."},
    {"images", ValueKind::kInteger, "1", 1, 1000, {}, "Images in use."},
    {"steps_percent",
     ValueKind::kInteger,
     "100",
     100,
     1000,
     {},
     "Mean number of steps, in hundredths."},
    {"width", ValueKind::kInteger, {}, 1, 1000, {}, "Mean tasks of a step."},
    {"most_width",
     ValueKind::kInteger,
     {},
     1,
     1000,
     {},
     "Most tasks of a step."},
    {"cores", ValueKind::kCores, {}, 1, kMaxValue, {}, "Of one task."},
    {"memory", ValueKind::kMemory, {}, 1, kMaxValue, {}, "Of one task."},
    {"duration",
     ValueKind::kDuration,
     {},
     1,
     kMaxMs,
     {},
     "Mean work of one task; for services, their lifetime."},
    {"target_percent",
     ValueKind::kInteger,
     "200",
     100,
     10000,
     {},
     "Time allowed, relative to the critical path."},
    {"target_extra",
     ValueKind::kDuration,
     "1 s",
     0,
     kMaxMs,
     {},
     "Time allowed beyond that."},
};

constexpr SectionSpecification kSections[] = {
    {"fleet", false, true, kFleetKeys, "The runners and the simulated time."},
    {"sensitivity", false, false, kSensitivityKeys,
     "How services react to batch work."},
    {"services", false, true, kMixKeys, "Jobs whose tasks serve users."},
    {"batch", false, true, kMixKeys,
     "Jobs that use the capacity that services leave."},
    {"urgent", false, true, kMixKeys, "Short jobs with the highest priority."},
};

constexpr settings::Schema kSchema{"Workload of an experiment", kSections};

JobMix ReadMix(const settings::CheckedSection& section) {
  JobMix mix;
  mix.per_second =
      static_cast<double>(section.Amount("per_minute")) / kSecondsPerMinute;
  mix.at_start = static_cast<uint32_t>(section.Amount("at_start"));
  mix.images = static_cast<uint32_t>(section.Amount("images"));
  mix.steps = static_cast<double>(section.Amount("steps_percent")) / kPercent;
  mix.width = static_cast<double>(section.Amount("width"));
  mix.max_width = static_cast<uint32_t>(section.Amount("most_width"));
  mix.millicores = section.Amount("cores");
  mix.memory_mebibytes = section.Amount("memory");
  mix.duration = milliseconds(section.Amount("duration"));
  mix.target_factor =
      static_cast<double>(section.Amount("target_percent")) / kPercent;
  mix.target_extra = milliseconds(section.Amount("target_extra"));
  return mix;
}

Sensitivity ReadSensitivity(const settings::CheckedSection& section) {
  const auto part = [&section](std::string_view key) {
    return static_cast<double>(section.Amount(key)) / kPercent;
  };
  Sensitivity result;
  result.load = part("load_percent");
  result.swing = part("swing_percent");
  result.period = milliseconds(section.Amount("period"));
  result.idle_tail_ms = section.Amount("calm_tail");
  result.target_ms = section.Amount("target");
  result.noise = part("noise_percent");
  result.kinds = static_cast<uint32_t>(section.Amount("kinds"));
  result.interfering_share = part("heavy_percent");
  result.min_interference = part("least_press_percent");
  result.max_interference = part("most_press_percent");
  return result;
}

double Exponential(pcg64& random, double mean) {
  constexpr double kMin = 1e-9;
  return -mean * std::log(Uniform(random, kMin, 1));
}

// Returns a random value around `mean`, off by a factor of up to e^(2 *
// deviation).
double Spread(pcg64& random, double mean, double deviation) {
  return mean * std::exp(deviation * Triangular(random));
}

std::string ImageOf(const std::string& queue, uint64_t number) {
  return queue + "-" + std::to_string(number);
}

// Generates the jobs of one kind.
class JobGenerator {
 public:
  JobGenerator(const Workload& workload,
               const JobMix& mix,
               std::string queue,
               uint64_t seed)
      : workload_(workload),
        mix_(mix),
        queue_(std::move(queue)),
        random_(seed, std::hash<std::string>()(queue_)) {}

  std::vector<Arrival> Make() {
    std::vector<Arrival> arrivals;
    for (uint32_t i = 0; i < mix_.at_start; ++i) {
      arrivals.push_back(GenerateJob(milliseconds(0)));
    }
    if (mix_.per_second <= 0) {
      return arrivals;
    }
    constexpr double kMsPerSecond = 1000;
    for (double at = 0;;) {
      const milliseconds time(static_cast<int64_t>(at));
      at += Exponential(random_, kMsPerSecond / mix_.per_second) / Factor(time);
      const milliseconds next(static_cast<int64_t>(at));
      if (next >= workload_.length) {
        return arrivals;
      }
      arrivals.push_back(GenerateJob(next));
    }
  }

 private:
  double Factor(milliseconds at) const {
    const bool is_burst = queue_ == kBatchQueue && at >= workload_.burst_at &&
                          at < workload_.burst_at + workload_.burst_for;
    return is_burst ? workload_.burst_factor : 1.0;
  }

  Arrival GenerateJob(milliseconds at) {
    constexpr double kWidthSpread = 0.6;
    constexpr double kSizeSpread = 0.25;
    constexpr double kStepsSpread = 0.4;
    Arrival arrival;
    arrival.at = at;
    arrival.id = JobId(queue_ + "-" + std::to_string(++generated_));
    arrival.job.queue = queue_;
    const bool is_service = queue_ == kServicesQueue;
    const auto steps = static_cast<uint32_t>(std::max(
        1.0,
        std::round(is_service ? 1.0
                              : Spread(random_, mix_.steps, kStepsSpread))));
    for (uint32_t i = 0; i < steps; ++i) {
      jobs::Step step;
      step.count = static_cast<uint32_t>(
          std::clamp(std::round(Spread(random_, mix_.width, kWidthSpread)), 1.0,
                     static_cast<double>(mix_.max_width)));
      step.need.millicores = static_cast<int64_t>(
          Spread(random_, static_cast<double>(mix_.millicores), kSizeSpread));
      step.need.memory_mebibytes = static_cast<int64_t>(Spread(
          random_, static_cast<double>(mix_.memory_mebibytes), kSizeSpread));
      step.image = ImageOf(queue_, random_(mix_.images));
      if (i > 0) {
        step.depends_on = {i - 1};
      }
      step.is_long_running = is_service;
      step.is_filler = queue_ == kBatchQueue;
      step.is_checkpointing = step.is_filler;
      if (is_service) {
        step.tail_target_ms = workload_.sensitivity.target_ms;
      }
      arrival.durations.push_back(MakeDurations(step));
      arrival.job.steps.push_back(std::move(step));
    }
    return arrival;
  }

  std::vector<milliseconds> MakeDurations(jobs::Step& step) {
    constexpr double kTaskSpread = 0.15;
    constexpr double kEstimateSpread = 0.5;
    constexpr double kStepSpread = 0.5;
    const double mean = Spread(
        random_, static_cast<double>(mix_.duration.count()), kStepSpread);
    step.estimated_ms =
        static_cast<int64_t>(Spread(random_, mean, kEstimateSpread));
    std::vector<milliseconds> durations(step.count);
    std::ranges::generate(durations, [&] {
      return milliseconds(
          static_cast<int64_t>(Spread(random_, mean, kTaskSpread)));
    });
    return durations;
  }

  const Workload& workload_;
  const JobMix& mix_;
  const std::string queue_;
  pcg64 random_;
  uint64_t generated_ = 0;
};

}  // namespace

std::optional<Workload> ReadWorkload(const std::string& text,
                                     std::vector<settings::Problem>& problems) {
  const auto sections = settings::ReadChecked(kSchema, text, problems);
  if (!sections) {
    return std::nullopt;
  }
  const auto& fleet = settings::FindSection(*sections, "fleet");
  Workload result;
  result.runners = static_cast<uint32_t>(fleet.Amount("runners"));
  result.runners_per_rack =
      static_cast<uint32_t>(fleet.Amount("runners_per_rack"));
  result.capacity.millicores = fleet.Amount("cores");
  result.capacity.memory_mebibytes = fleet.Amount("memory");
  result.length = milliseconds(fleet.Amount("length"));
  result.burst_factor =
      static_cast<double>(fleet.Amount("burst_percent")) / kPercent;
  result.burst_at = milliseconds(fleet.Amount("burst_at"));
  result.burst_for = milliseconds(fleet.Amount("burst_for"));
  result.lost_orders =
      static_cast<double>(fleet.Amount("lost_orders_percent")) / kPercent;
  result.crashes_per_minute =
      static_cast<double>(fleet.Amount("crashes_per_minute"));
  result.sensitivity =
      ReadSensitivity(settings::FindSection(*sections, "sensitivity"));
  result.services = ReadMix(settings::FindSection(*sections, "services"));
  result.batch = ReadMix(settings::FindSection(*sections, "batch"));
  result.urgent = ReadMix(settings::FindSection(*sections, "urgent"));
  return result;
}

double GroundTruth::InterferenceOf(const std::string& serving,
                                   const std::string& filler) const {
  const auto it = interference.find({serving, filler});
  return it == interference.end() ? 0 : it->second;
}

// A filler loads one kind of shared hardware; a serving task is slowed if it
// depends on that kind.
GroundTruth MakeGroundTruth(const Workload& workload, uint64_t seed) {
  constexpr double kMinDependence = 0.6;
  constexpr double kMaxDependence = 1.4;
  const Sensitivity& sensitivity = workload.sensitivity;
  pcg64 random(seed);
  std::vector<std::vector<double>> dependences(workload.services.images);
  for (auto& of_image : dependences) {
    for (uint32_t kind = 0; kind < sensitivity.kinds; ++kind) {
      const bool depends =
          Uniform(random, 0, 1) < sensitivity.interfering_share;
      const double dependence = Uniform(random, kMinDependence, kMaxDependence);
      of_image.push_back(depends ? dependence : 0);
    }
  }
  GroundTruth ground_truth;
  for (uint32_t j = 0; j < workload.batch.images; ++j) {
    const uint64_t kind = random(sensitivity.kinds);
    const double interference = Uniform(random, sensitivity.min_interference,
                                        sensitivity.max_interference);
    for (uint32_t i = 0; i < workload.services.images; ++i) {
      ground_truth
          .interference[{ImageOf(kServicesQueue, i), ImageOf(kBatchQueue, j)}] =
          interference * dependences[i][kind];
    }
  }
  return ground_truth;
}

std::vector<Arrival> MakeArrivals(const Workload& workload, uint64_t seed) {
  std::vector<Arrival> all =
      JobGenerator(workload, workload.services, kServicesQueue, seed).Make();
  for (auto& more :
       {JobGenerator(workload, workload.batch, kBatchQueue, seed).Make(),
        JobGenerator(workload, workload.urgent, kUrgentQueue, seed).Make()}) {
    all.insert(all.end(), more.begin(), more.end());
  }
  std::ranges::stable_sort(all, {}, &Arrival::at);
  return all;
}

jobs::RouteTable MakeRoutes(const Workload& workload) {
  const auto queue_of = [](const char* name, uint32_t priority,
                           const JobMix& mix) {
    jobs::Queue queue;
    queue.name = name;
    queue.service = kService;
    queue.priority = priority;
    queue.max_failures = 4;
    queue.target_factor = mix.target_factor;
    queue.target_extra_ms = mix.target_extra.count();
    return queue;
  };
  jobs::RouteTable routes;
  routes.version = 1;
  routes.queues = {queue_of(kServicesQueue, 0, workload.services),
                   queue_of(kBatchQueue, 2, workload.batch),
                   queue_of(kUrgentQueue, 0, workload.urgent)};
  return routes;
}

}  // namespace papayadrift::experiment
