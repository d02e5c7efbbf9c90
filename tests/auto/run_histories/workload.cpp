#include "workload.h"

#include <string>

namespace papayadrift::run_histories {
namespace {

constexpr Resources kNeed{1000, 100, 0};
constexpr char kQueue[] = "q";
constexpr char kService[] = "s";

jobs::Step StepOf(uint32_t count, int64_t estimated_ms) {
  jobs::Step step;
  step.count = count;
  step.need = kNeed;
  step.estimated_ms = estimated_ms;
  return step;
}

std::vector<jobs::Job> MakeJobs() {
  std::vector<jobs::Job> all(kJobs);
  all[0].steps = {StepOf(2, 700)};
  all[1].steps = {StepOf(1, 300), StepOf(1, 2500)};
  all[1].steps[1].depends_on = {0};
  all[2].steps = {StepOf(1, 1000)};
  all[2].steps[0].is_long_running = true;
  for (size_t i = 0; i < all.size(); ++i) {
    all[i].queue = kQueue;
    all[i].payload = IdOf(i).text();
  }
  return all;
}

}  // namespace

const std::vector<jobs::Job>& Jobs() {
  static const std::vector<jobs::Job> jobs = MakeJobs();
  return jobs;
}

JobId IdOf(size_t job) {
  return JobId(std::string(1, static_cast<char>('a' + job)));
}

size_t JobOf(const jobs::TaskKey& task) {
  return static_cast<size_t>(task.job.text().front() - 'a');
}

const jobs::Step& StepOfTask(const jobs::TaskKey& task) {
  return Jobs().at(JobOf(task)).steps.at(task.step);
}

milliseconds DurationOf(const jobs::TaskKey& task) {
  return milliseconds(StepOfTask(task).estimated_ms);
}

std::vector<jobs::TaskKey> TasksOf(size_t job) {
  std::vector<jobs::TaskKey> tasks;
  const auto& steps = Jobs().at(job).steps;
  for (uint32_t s = 0; s < steps.size(); ++s) {
    for (uint32_t i = 0; i < steps[s].count; ++i) {
      tasks.push_back({IdOf(job), 0, s, i});
    }
  }
  return tasks;
}

jobs::RouteTable Routes() {
  jobs::Queue queue;
  queue.name = kQueue;
  queue.service = kService;
  queue.max_failures = kMaxFailures;
  jobs::RouteTable routes;
  routes.version = 1;
  routes.queues = {queue};
  routes.services = {jobs::Service{kService, false, false}};
  return routes;
}

}  // namespace papayadrift::run_histories
