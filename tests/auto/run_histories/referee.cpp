#include "referee.h"

#include <algorithm>
#include <ranges>

#include "jobs/view_limit.h"

namespace papayadrift::run_histories {
namespace {

// Settings of the users' platform.
constexpr milliseconds kCancellationLimit(3000);
constexpr milliseconds kVisibilityLimit(2000);
constexpr milliseconds kTakingNote(1000);
// An order that is carried out later than this was held up.
constexpr milliseconds kPromptOrder(250);
// Orders that were decided on before a change of the capacity may still come.
constexpr milliseconds kCapacityNews(4000);
// Starts that may have crashed a runner before a task may be given up.
constexpr uint32_t kSuspectCrashes = 3;

}  // namespace

void Referee::Break(const std::string& rule, const std::string& how) {
  if (!violation_) {
    violation_ =
        rule + " at " + std::to_string(simulation_.NowMs()) + " ms: " + how;
  }
}

bool Referee::IsDone(const jobs::TaskKey& task) const {
  const auto it = tasks_.find(task);
  return it != tasks_.end() &&
         std::ranges::any_of(it->second.ends, [](const End& end) {
           return end.end == jobs::RunEnd::kDone;
         });
}

void Referee::CheckOrder(const jobs::TaskKey& task) {
  const auto& steps = Jobs().at(JobOf(task)).steps;
  for (const uint32_t earlier : steps.at(task.step).depends_on) {
    for (uint32_t i = 0; i < steps.at(earlier).count; ++i) {
      if (!IsDone({task.job, 0, earlier, i})) {
        Break("ORDER", ToText(task) + " starts before its step's turn");
      }
    }
  }
}

void Referee::CheckJob(const jobs::TaskKey& task, Instant sent_at) {
  const Instant now = simulation_.Now();
  JobFacts& job = jobs_.at(JobOf(task));
  if (job.submissions == 0) {
    Break("UNASKED", ToText(task) + " starts, and nobody submitted its job");
  }
  job.has_started = true;
  CheckRejected(JobOf(task));
  if (now - sent_at > kPromptOrder) {
    return;  // Rules with a time bound don't hold for it.
  }
  if (job.cancelled_at && now - *job.cancelled_at > kCancellationLimit) {
    Break("UNASKED", ToText(task) + " starts after its job's cancellation");
  }
  if (job.shown_completed_at && now - *job.shown_completed_at > kTakingNote) {
    Break("TWICE",
          ToText(task) + " starts after its job was shown as completed");
  }
}

void Referee::CheckNotedEnds(const jobs::TaskKey& task, const Task& facts) {
  if (StepOfTask(task).is_long_running || facts.starts.empty()) {
    return;
  }
  uint32_t failures = 0;
  for (const End& end : facts.ends) {
    if (!end.is_noted || end.is_void || end.at >= facts.starts.back()) {
      continue;
    }
    if (end.end == jobs::RunEnd::kDone) {
      Break("TWICE", ToText(task) + " starts after it was done and noted");
    }
    failures += end.end == jobs::RunEnd::kFailed ? 1 : 0;
  }
  if (failures >= kMaxFailures) {
    Break("BUDGET", ToText(task) + " starts after its last attempt failed");
  }
}

void Referee::OnStart(size_t runner,
                      const jobs::TaskKey& task,
                      uint32_t run,
                      Instant sent_at) {
  Task& facts = tasks_[task];
  if (!facts.places.empty()) {
    Break("TWICE", ToText(task) + " run " + std::to_string(run) +
                       " starts on runner " + std::to_string(runner) +
                       " while run " +
                       std::to_string(facts.places.front().run) + " is on " +
                       std::to_string(facts.places.front().runner));
  }
  facts.places.push_back({runner, run});
  facts.starts.push_back(simulation_.Now());
  CheckNotedEnds(task, facts);
  CheckOrder(task);
  CheckJob(task, sent_at);
}

void Referee::OnCapacity(size_t runner, Instant sent_at, bool is_exceeded) {
  if (is_exceeded && sent_at > capacity_news_until_.at(runner)) {
    Break("LIMIT",
          "runner " + std::to_string(runner) + " is over its capacity");
  }
}

void Referee::OnShrunk(size_t runner) {
  capacity_news_until_.at(runner) = Instant::max();
}

void Referee::OnCapacityKnown(size_t runner) {
  Instant& until = capacity_news_until_.at(runner);
  if (until == Instant::max()) {
    until = simulation_.Now() + kCapacityNews;
  }
}

void Referee::OnEnd(size_t runner,
                    uint64_t number,
                    const jobs::TaskKey& task,
                    uint32_t run,
                    jobs::RunEnd end) {
  Task& facts = tasks_[task];
  std::erase_if(facts.places, [&](const Place& it) {
    return it.runner == runner && it.run == run;
  });
  facts.ends.push_back({runner, number, end, simulation_.Now(), false, false});
}

void Referee::OnNoted(size_t runner, uint64_t number) {
  for (auto& [task, facts] : tasks_) {
    for (End& end : facts.ends) {
      if (end.runner == runner && end.number <= number && !end.is_void) {
        end.is_noted = true;
      }
    }
    CheckNotedEnds(task, facts);
  }
}

void Referee::OnLapse(size_t runner) {
  for (Task& facts : tasks_ | std::views::values) {
    for (End& end : facts.ends) {
      end.is_void |= end.runner == runner && !end.is_noted;
    }
  }
}

void Referee::OnRunnerEnded(size_t runner) {
  ++crashes_;
  for (Task& facts : tasks_ | std::views::values) {
    for (End& end : facts.ends) {
      // Its successor numbers its ends anew.
      end.is_void |= end.runner == runner && !end.is_noted;
    }
    std::erase_if(facts.places,
                  [&](const Place& it) { return it.runner == runner; });
  }
}

void Referee::OnSubmitted(size_t job) {
  ++jobs_.at(job).submissions;
}

void Referee::OnRejected(size_t job) {
  ++jobs_.at(job).rejected;
  CheckRejected(job);
}

void Referee::CheckRejected(size_t job) {
  const JobFacts& facts = jobs_.at(job);
  if (facts.has_started && facts.rejected == facts.submissions) {
    Break("REFUSED", "job " + IdOf(job).text() +
                         " has started, and each submission was rejected");
  }
}

void Referee::OnAccepted(size_t job) {
  JobFacts& facts = jobs_.at(job);
  facts.accepted_at = facts.accepted_at.value_or(simulation_.Now());
}

void Referee::OnCancelSent(size_t job) {
  ++jobs_.at(job).cancels_sent;
}

void Referee::OnCancelRefused(size_t job) {
  --jobs_.at(job).cancels_sent;
}

void Referee::OnCancelled(size_t job) {
  JobFacts& facts = jobs_.at(job);
  facts.cancelled_at = facts.cancelled_at.value_or(simulation_.Now());
}

bool Referee::HasFailed(size_t job) const {
  // The leader can't tell which task has crashed a runner.
  return crashes_ >= kSuspectCrashes ||
         std::ranges::any_of(tasks_, [&](const auto& it) {
           const auto& [task, facts] = it;
           return JobOf(task) == job &&
                  std::ranges::count(facts.ends, jobs::RunEnd::kFailed,
                                     &End::end) >= kMaxFailures;
         });
}

void Referee::OnShown(size_t job,
                      std::optional<jobs::JobState> state,
                      Instant asked_at) {
  JobFacts& facts = jobs_.at(job);
  const Instant now = simulation_.Now();
  const std::string name = "job " + IdOf(job).text();
  if (!state) {
    if (facts.accepted_at && asked_at - *facts.accepted_at > kVisibilityLimit) {
      Break("LOST", name + " is not known");
    }
    return;
  }
  if (facts.submissions == 0) {
    Break("MIXED", name + " is shown, and nobody submitted it");
  }
  if (*state == jobs::JobState::kCancelled && facts.cancels_sent == 0) {
    Break("LOST", name + " is shown as cancelled without cause");
  }
  if (*state == jobs::JobState::kFailed && !HasFailed(job)) {
    Break("LOST", name + " is shown as failed without cause");
  }
  if (*state == jobs::JobState::kCompleted) {
    facts.shown_completed_at = facts.shown_completed_at.value_or(now);
    if (!std::ranges::all_of(TasksOf(job), [this](const jobs::TaskKey& task) {
          return IsDone(task);
        })) {
      Break("MIXED", name + " is shown as completed, and a task isn't done");
    }
  }
}

void Referee::OnOverdue(const std::string& what) {
  Break("PROGRESS", what);
}

}  // namespace papayadrift::run_histories
