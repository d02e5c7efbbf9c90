#include "composition/history.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace papayadrift::test {
namespace {

constexpr milliseconds kStartLimit(10'000);
// From the letter: in force everywhere within this.
constexpr milliseconds kConfigurationLimit(12'000);
// The cap of renewal without log, all suspicions and margins, and the work.
constexpr milliseconds kJobsLimit(60'000);
// Late appends are stored within this.
constexpr milliseconds kSettling(4'000);
constexpr uint32_t kMaximumOperations = 14;
constexpr uint32_t kMaximumRunMilliseconds = 4'000;

RegionOptions OptionsOf(uint64_t seed) {
  return {seed, 2 + static_cast<int>(seed % 2),
          2 + static_cast<int>(seed / 2 % 3)};
}

}  // namespace

History::History(uint64_t seed) : region_(OptionsOf(seed)) {}

void History::Run() {
  const bool has_started = region_.RunUntil(
      [this] {
        return std::ranges::all_of(region_.entries(), &EntryProcess::is_ready);
      },
      kStartLimit);
  if (!has_started) {
    region_.Report("The entries are not ready in time.");
  }
  region_.ApplyFile(*region_.entries().front(), ConfigurationVersion());
  region_.RunFor(seconds(1));
  SubmitJobs();
  const uint32_t operations = 4 + region_.random()(kMaximumOperations);
  for (uint32_t i = 0; i < operations; ++i) {
    DoSomething();
    region_.RunFor(milliseconds(region_.random()(1'500)));
  }
  region_.Heal();
  if (!region_.RunUntil([this] { return region_.IsConfigurationInForce(); },
                        kConfigurationLimit)) {
    region_.Report("The configuration is not in force everywhere in time.");
  }
  if (!region_.RunUntil([this] { return region_.AreJobsDone(); }, kJobsLimit)) {
    region_.Report("The jobs have not ended in time:" + region_.Summary());
  }
  region_.RunFor(kSettling);
  region_.CheckAtEnd();
}

void History::DoSomething() {
  using Operation = void (History::*)();
  static constexpr auto kOperations = std::to_array<Operation>(
      {&History::BreakLog, &History::CutLogOff, &History::EndEntry,
       &History::EndEntry, &History::PauseEntry, &History::PauseEntry,
       &History::HurtWorker, &History::HurtWorker, &History::CutLink,
       &History::CutLink, &History::RaceOperators, &History::RaceForKey,
       &History::SubmitJobs, &History::SubmitJobs, &History::CancelJob,
       &History::DrainWorker});
  (this->*kOperations[region_.random()(kOperations.size())])();
}

void History::BreakLog() {
  LogFaults faults;
  faults.lost_requests = region_.random()(20);
  faults.lost_answers = region_.random()(40);
  faults.late_appends = region_.random()(20);
  const milliseconds duration = SomeTime();
  region_.Trace("the log loses and delays");
  region_.Disturb(duration);
  region_.log().SetFaults(faults);
  After(duration, [this] {
    region_.log().SetFaults({});
    region_.Trace("the log is well");
  });
}

void History::CutLogOff() {
  const milliseconds duration = SomeTime();
  LogFaults faults;
  faults.is_down = true;
  region_.Trace("the log is down for " + std::to_string(duration.count()) +
                " ms");
  region_.Disturb(duration);
  region_.log().SetFaults(faults);
  After(duration, [this] {
    region_.log().SetFaults({});
    region_.Trace("the log is up");
  });
}

void History::EndEntry() {
  EntryProcess* entry = SomeEntry();
  if (entry == nullptr) {
    return;
  }
  const std::string name = entry->name();
  const milliseconds duration = SomeTime();
  region_.Disturb(duration);
  region_.CrashEntry(name);
  const bool is_same = region_.random()(3) != 0;
  After(duration, [this, name, is_same] {
    if (is_same) {
      region_.RestartEntry(name);
    } else {
      region_.StartNewEntry();
    }
  });
}

void History::PauseEntry() {
  EntryProcess* entry = SomeEntry();
  if (entry == nullptr || entry->runner().is_paused()) {
    return;
  }
  region_.Trace("pause " + entry->name());
  entry->runner().Pause();
  const bool is_reversed = region_.random()(2) == 0;
  After(SomeTime(), [this, entry, is_reversed] {
    if (entry->is_running()) {
      region_.Trace("resume " + entry->name());
      entry->runner().Resume(is_reversed);
    }
  });
}

void History::HurtWorker() {
  WorkerProcess& worker = SomeWorker();
  if (!worker.is_running() || worker.is_paused()) {
    return;
  }
  if (region_.random()(2) == 0) {
    region_.Trace("crash " + worker.name());
    worker.Crash();
    After(SomeTime(), [this, &worker] {
      if (!worker.is_running()) {
        region_.Trace("start " + worker.name());
        worker.Start();
      }
    });
    return;
  }
  region_.Trace("pause " + worker.name());
  worker.Pause();
  const bool is_reversed = region_.random()(2) == 0;
  After(SomeTime(), [this, &worker, is_reversed] {
    if (worker.is_running() && worker.is_paused()) {
      region_.Trace("resume " + worker.name());
      worker.Resume(is_reversed);
    }
  });
}

void History::CutLink() {
  EntryProcess* entry = SomeEntry();
  if (entry == nullptr) {
    return;
  }
  const milliseconds duration = SomeTime();
  region_.Disturb(duration);
  const uint32_t kind = region_.random()(4);
  region_.Trace("cut " + entry->name() + ", kind " + std::to_string(kind));
  if (kind == 0) {
    region_.links().Cut(entry->name(), kLogName);
  }
  for (const EntryProcess* other : region_.entries()) {
    if (kind == 1 && other != entry) {
      region_.links().Cut(entry->name(), other->name());
    }
  }
  const std::string chosen = SomeWorker().name();
  for (const auto& worker : region_.workers()) {
    if (kind == 2 || (kind == 3 && worker->name() == chosen)) {
      region_.links().Cut(entry->name(), worker->name());
    }
  }
  After(duration, [this] {
    region_.Trace("links are whole");
    region_.links().HealAll();
  });
}

void History::RaceOperators() {
  const ConfigurationVersion expected =
      region_.auditor().configuration().version;
  for (int i = 0; i < 3; ++i) {
    if (EntryProcess* entry = SomeEntry()) {
      region_.ApplyFile(*entry, expected);
    }
  }
}

void History::RaceForKey() {
  const IdempotencyKey key = region_.NewKey();
  region_.Trace("claim " + key.text());
  for (EntryProcess* entry : region_.entries()) {
    region_.ClaimKey(*entry, key);
  }
}

void History::SubmitJobs() {
  for (int i = 0; i < 2; ++i) {
    EntryProcess* entry = SomeEntry();
    if (entry == nullptr) {
      return;
    }
    region_.SubmitJob(
        *entry, "job-" + std::to_string(++jobs_made_),
        1 + static_cast<int>(region_.random()(4)), region_.random()(4) == 0,
        100 + static_cast<int>(region_.random()(kMaximumRunMilliseconds)));
  }
}

void History::CancelJob() {
  if (EntryProcess* entry = SomeEntry()) {
    region_.CancelJob(
        *entry, "job-" + std::to_string(1 + region_.random()(jobs_made_)));
  }
}

void History::DrainWorker() {
  WorkerProcess& worker = SomeWorker();
  if (worker.is_running() && !worker.is_draining()) {
    region_.Trace("drain " + worker.name());
    worker.Drain();
  }
}

milliseconds History::SomeTime() {
  const uint32_t limit = region_.random()(3) == 0 ? 6'000 : 1'200;
  return milliseconds(50 + region_.random()(limit));
}

EntryProcess* History::SomeEntry() {
  const std::vector<EntryProcess*> running = region_.entries();
  return running.empty() ? nullptr : running[region_.random()(running.size())];
}

WorkerProcess& History::SomeWorker() {
  return *region_.workers()[region_.random()(region_.workers().size())];
}

void History::After(milliseconds delay, std::function<void()> run) {
  region_.timeline().At(region_.timeline().now() + delay, std::move(run));
}

}  // namespace papayadrift::test
