#include "composition/region.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

#include "peer_protocol/handshake.h"

namespace papayadrift::test {
namespace {

constexpr milliseconds kStep(50);
constexpr milliseconds kWorkerSuspicion(700);
constexpr milliseconds kPeerSuspicion(700);
constexpr milliseconds kApplyTimeout(8000);
constexpr milliseconds kRequestDeadline(2000);
constexpr milliseconds kRestartDelay(300);
// Late appends are stored, and suspicions have passed, within this.
constexpr milliseconds kSettling(4'000);
constexpr int64_t kMaximumRateErrorPpm = 900;
constexpr uint32_t kMaximumDelayMicroseconds = 4'000;

constexpr char kFile[] = R"(
[customer barril]
[customer gruset]
[team dispatch]
customer = barril
quota_cores = 8 cores
quota_memory = 64 GiB
[team depots]
customer = gruset
quota_cores = 8 cores
quota_memory = 64 GiB
[service keg-check]
customer = barril
latency_target = 50 ms
idempotent = yes
)";

records::WorkerAnnounced AnnouncementOf(int number) {
  constexpr int32_t kSlots = 8;
  const std::string text = std::to_string(number);
  records::WorkerAnnounced announcement;
  announcement.worker = WorkerId("worker-" + text);
  announcement.zone = ZoneId("zone-" + std::to_string(number % 2));
  announcement.rack = RackId("rack-" + text);
  announcement.address = "10.0.1." + text + ":80";
  announcement.capacity = {5000, 8192, 0};
  announcement.runners.push_back({ServiceId("keg-check"),
                                  announcement.address,
                                  kSlots,
                                  kSlots,
                                  {1000, 1024, 0}});
  return announcement;
}

std::string RanOf(const http::Response& response) {
  return nlohmann::json::parse(response.body).value("ran", std::string());
}

}  // namespace

lease::LeaseSettings RegionLeaseSettings() {
  lease::LeaseSettings lease;
  lease.heartbeat_period = milliseconds(200);
  lease.renewal = milliseconds(1500);
  lease.tail_freshness = milliseconds(500);
  lease.promise = milliseconds(1000);
  lease.promise_period = milliseconds(250);
  lease.outage_cap = milliseconds(8000);
  lease.pause_margin = milliseconds(300);
  lease.maximum_request = milliseconds(1000);
  lease.loan_term = milliseconds(200);
  lease.clock_rate_error_ppm = 1000;
  return lease;
}

Region::Region(const RegionOptions& options)
    : random_(options.seed),
      auditor_([this](const std::string& what) { Report(what); },
               [this](const auto& author, const auto& lapsed) {
                 OnWorkerLapsed(author, lapsed);
               }),
      log_(timeline_,
           links_,
           options.seed + 1,
           [this](const auto& stream, Offset offset, const auto& bytes) {
             auditor_.OnStored(stream, offset, bytes);
           }),
      network_(timeline_, links_, options.seed + 2) {
  for (int i = 0; i < options.entries; ++i) {
    StartNewEntry();
  }
  for (int i = 0; i < options.workers; ++i) {
    AddWorker(i);
  }
}

void Region::RunFor(milliseconds duration) {
  RunUntil([] { return false; }, duration);
}

bool Region::RunUntil(const std::function<bool()>& condition,
                      milliseconds limit) {
  const Instant end = timeline_.now() + limit;
  while (!condition()) {
    if (timeline_.now() >= end) {
      return false;
    }
    timeline_.RunUntil(std::min(end, timeline_.now() + kStep));
    Check();
  }
  return true;
}

EntryProcess& Region::StartEntry(const EntryId& name) {
  const auto rate = static_cast<int64_t>(random_(2 * kMaximumRateErrorPpm)) -
                    kMaximumRateErrorPpm;
  auto& entry = *all_entries_.emplace_back(std::make_unique<EntryProcess>(
      SettingsFor(name), timeline_, log_, network_, rate));
  Trace("start " + name.text());
  entry.Start();
  return entry;
}

std::vector<EntryProcess*> Region::entries() {
  std::vector<EntryProcess*> running;
  for (const auto& entry : all_entries_) {
    if (entry->is_running()) {
      running.push_back(entry.get());
    }
  }
  std::ranges::sort(running, {}, &EntryProcess::name);
  return running;
}

EntryProcess* Region::FindEntry(const std::string& name) {
  const std::vector<EntryProcess*> running = entries();
  const auto it = std::ranges::find(running, name, &EntryProcess::name);
  return it == running.end() ? nullptr : *it;
}

void Region::CrashEntry(const std::string& name) {
  Trace("crash " + name);
  FindEntry(name)->Crash();
}

void Region::RestartEntry(const std::string& name) {
  if (FindEntry(name) == nullptr) {
    StartEntry(EntryId(name));
  }
}

EntryProcess& Region::StartNewEntry() {
  return StartEntry(EntryId("entry-" + std::to_string(++entries_made_)));
}

WorkerProcess& Region::worker(const std::string& name) {
  return **std::ranges::find(workers_, name,
                             [](const auto& it) { return it->name(); });
}

void Region::SubmitJob(EntryProcess& entry,
                       const std::string& job,
                       int tasks,
                       bool is_urgent,
                       int run_milliseconds) {
  const nlohmann::json body = {{"job", job},
                               {"team", is_urgent ? "depots" : "dispatch"},
                               {"kind", "kind-" + std::to_string(tasks)},
                               {"tasks", tasks},
                               {"millicores", 1000 * (1 + tasks % 2)},
                               {"memory_mebibytes", 256},
                               {"run_milliseconds", run_milliseconds},
                               {"checkpointable", tasks % 3 != 0},
                               {"urgent", is_urgent}};
  Trace("submit " + job + " at " + entry.name());
  entry.runner().Post([this, &entry, job, body] {
    entry.controller().SubmitJob(body.dump(),
                                 [this, job](const http::Response& it) {
                                   Trace("answer for " + job + ": " + it.body);
                                   if (it.status / 100 == 2) {
                                     taken_jobs_.insert(JobId(job));
                                   } else if (RanOf(it) == "no") {
                                     refused_jobs_.insert(JobId(job));
                                   }
                                 });
  });
}

void Region::CancelJob(EntryProcess& entry, const std::string& job) {
  Trace("cancel " + job + " at " + entry.name());
  entry.runner().Post([&entry, job] {
    entry.controller().CancelJob(JobId(job), [](const http::Response&) {});
  });
}

void Region::ApplyFile(EntryProcess& entry, ConfigurationVersion expected) {
  const std::string text =
      kFile + ("[customer c" + std::to_string(++files_made_)) + "]\n";
  const std::string author = "operator-" + std::to_string(files_made_);
  Trace("apply file " + std::to_string(files_made_) + " at " + entry.name());
  entry.runner().Post([this, &entry, expected, text, author] {
    entry.controller().ApplyConfiguration(
        expected, author, text, entry.Now() + kApplyTimeout,
        [this, text, author](const http::Response& it) {
          Trace("answer for " + author + ": " + it.body);
          if (it.status / 100 == 2 && !auditor_.WasInForce(text)) {
            Report("The file of " + author + " is not in force.");
          } else if (it.status / 100 != 2 && RanOf(it) == "no") {
            refused_texts_.insert(text);
          }
        });
  });
}

void Region::RetireGoneEntries(EntryProcess& entry) {
  for (const auto& [key, state] : auditor_.decisions().entries().entries()) {
    if (FindEntry(key.entry.text()) != nullptr) {
      continue;
    }
    const lease::MemberKey gone{key.entry, key.incarnation};
    Trace("retire " + key.entry.text() + " at " + entry.name());
    entry.runner().Post([this, &entry, gone] {
      entry.controller().RetireEntry(gone, [this](const http::Response& it) {
        Trace("answer for retirement: " + it.body);
      });
    });
  }
}

void Region::ClaimKey(EntryProcess& entry, const IdempotencyKey& key) {
  entry.runner().Post([this, &entry, key] {
    routing::RequestInfo facts;
    facts.customer = CustomerId("barril");
    facts.service = ServiceId("truck-dispatch");
    facts.deadline = entry.Now() + kRequestDeadline;
    facts.key = key;
    entry.controller().keys().Claim(facts, [this, key](const auto& verdict) {
      if (std::holds_alternative<routing::KeyAccepted>(verdict) &&
          ++key_uses_[key] > 1) {
        Report("Two requests may be sent for the key " + key.text() + ".");
      }
    });
  });
}

IdempotencyKey Region::NewKey() {
  constexpr int kTimeBytes = 48;
  const auto now = static_cast<unsigned long long>(
      timeline_.event_time().wall.time_since_epoch().count());
  std::array<char, kTimeBytes> text{};
  std::snprintf(text.data(), text.size(), "%08llx-%04llx-7abc-8def-%012llx",
                now >> 16U, now & 0xffffU,
                static_cast<unsigned long long>(++keys_made_));
  return IdempotencyKey(text.data());
}

void Region::Disturb(milliseconds duration) {
  disturbed_until_ =
      std::max(disturbed_until_, timeline_.now() + duration + kSettling);
}

void Region::Heal() {
  Trace("heal");
  links_.HealAll();
  log_.SetFaults({});
  Disturb(milliseconds(0));
  for (EntryProcess* entry : entries()) {
    if (entry->runner().is_paused()) {
      entry->runner().Resume(false);
    }
  }
  for (const auto& worker : workers_) {
    if (!worker->is_running()) {
      worker->Start();
    } else if (worker->is_paused()) {
      worker->Resume(false);
    }
  }
}

bool Region::IsConfigurationInForce() {
  const ConfigurationVersion newest = auditor_.configuration().version;
  return newest > ConfigurationVersion() &&
         std::ranges::all_of(entries(), [newest](EntryProcess* entry) {
           return entry->controller().configuration().in_force().version ==
                  newest;
         });
}

bool Region::AreJobsDone() {
  const bool are_closed = std::ranges::all_of(
      auditor_.decisions().jobs().jobs(),
      [](const auto& job) { return job.second.ended_at.has_value(); });
  return are_closed && std::ranges::all_of(workers_, [](const auto& worker) {
           return worker->is_idle();
         });
}

std::string Region::Summary() {
  std::string text;
  const replay::DecisionState& state = auditor_.decisions();
  for (const auto& [id, job] : state.jobs().jobs()) {
    if (!job.ended_at) {
      text += " " + id.text() + ": " + std::to_string(job.counts.waiting) +
              " tasks wait, " + std::to_string(job.counts.live) + " live;";
    }
  }
  for (const auto& [key, worker] : state.workers().workers()) {
    text += " " + key.worker.text() + ": phase " +
            std::to_string(static_cast<int>(worker.phase)) + ", " +
            ToText(worker.granted) +
            (worker.is_quarantined ? ", quarantined;" : ";");
  }
  for (const auto& [key, entry] : state.entries().entries()) {
    text += " " + key.entry.text() + ": phase " +
            std::to_string(static_cast<int>(entry.phase)) + ";";
  }
  return text;
}

void Region::CheckAtEnd() {
  for (const JobId& job : refused_jobs_) {
    if (auditor_.WasSubmitted(job) && !taken_jobs_.contains(job)) {
      Report("The job " + job.text() + " was said not to run, and may run.");
    }
  }
  for (const JobId& job : taken_jobs_) {
    if (!auditor_.WasSubmitted(job)) {
      Report("The job " + job.text() + " was taken and is lost.");
    }
  }
  for (const std::string& text : refused_texts_) {
    if (auditor_.WasInForce(text)) {
      Report("A file that was said not to be put in force was in force.");
    }
  }
  for (EntryProcess* entry : entries()) {
    const replay::DecisionState& state =
        entry->controller().decisions().state();
    if (state.next_offset() == auditor_.decisions().next_offset() &&
        state.StateDigest() != auditor_.decisions().StateDigest()) {
      Report(entry->name() + " has another state at the same offset.");
    }
    if (entry->controller().peers()->has_diverged()) {
      Report(entry->name() + " believes that a peer has diverged.");
    }
  }
}

void Region::Trace(const std::string& what) {
  const auto now = std::chrono::floor<milliseconds>(
      timeline_.now().time_since_epoch() - seconds(1000));
  trace_.push_back(std::to_string(now.count()) + " ms: " + what);
}

void Region::Report(const std::string& what) {
  Trace("VIOLATION " + what);
  violations_.push_back(what);
}

std::string Region::trace() const {
  return std::accumulate(trace_.begin(), trace_.end(), std::string(),
                         [](std::string text, const std::string& line) {
                           return std::move(text) + "  " + line + "\n";
                         });
}

int Region::lapsed_runs() const {
  int lapsed = 0;
  for (const auto& worker : workers_) {
    if (worker->is_running()) {
      lapsed += static_cast<int>(std::ranges::count(
          worker->journal(), std::string("lapsed"), &standins::TaskRun::end));
    }
  }
  return lapsed;
}

void Region::AddWorker(int number) {
  const auto rate = static_cast<int64_t>(random_(2 * kMaximumRateErrorPpm)) -
                    kMaximumRateErrorPpm;
  const size_t index = workers_.size();
  workers_.push_back(std::make_unique<WorkerProcess>(
      AnnouncementOf(number), timeline_, rate,
      WorkerProcess::Port{[this](const auto& address, const auto& heartbeat,
                                 const auto& on_answer) {
                            Deliver(address, heartbeat, on_answer);
                          },
                          [this] { return HttpAddresses(); },
                          [this, index](const auto& answer, size_t before) {
                            OnFollowed(*workers_[index], answer, before);
                          }}));
  workers_.back()->Start();
}

std::vector<std::string> Region::HttpAddresses() const {
  std::set<std::string> addresses;
  for (const auto& entry : all_entries_) {
    addresses.insert(entry->self().http_address);
  }
  return {addresses.begin(), addresses.end()};
}

void Region::Deliver(const std::string& address,
                     const worker_protocol::Heartbeat& heartbeat,
                     const WorkerProcess::OnAnswer& on_answer) {
  CheckEnforced(heartbeat);
  const auto delay = [this] {
    return microseconds(1 + random_(kMaximumDelayMicroseconds));
  };
  const std::string worker = heartbeat.announcement.worker.text();
  timeline_.At(timeline_.now() + delay(), [=, this] {
    const std::vector<EntryProcess*> running = entries();
    const auto it = std::ranges::find(
        running, address,
        [](const EntryProcess* entry) { return entry->self().http_address; });
    if (it == running.end() || links_.IsCut(worker, (*it)->name())) {
      return;
    }
    EntryProcess& entry = **it;
    entry.runner().Post([=, this, &entry] {
      NoteHeard(entry, heartbeat);
      const worker_protocol::HeartbeatAnswer answer =
          entry.controller().OnHeartbeat(heartbeat);
      if (!links_.IsCut(worker, entry.name())) {
        timeline_.At(timeline_.now() + delay(),
                     [on_answer, answer] { on_answer(answer); });
      }
    });
  });
}

void Region::NoteHeard(const EntryProcess& entry,
                       const worker_protocol::Heartbeat& heartbeat) {
  Heard& heard = heard_[{heartbeat.announcement.worker,
                         heartbeat.announcement.incarnation}];
  if (timeline_.now() - heard.last > kWorkerSuspicion / 2) {
    heard.since = timeline_.now();
    heard.entries.clear();
  }
  heard.last = timeline_.now();
  heard.entries.insert(entry.name());
}

void Region::OnFollowed(WorkerProcess& worker,
                        const worker_protocol::HeartbeatAnswer& answer,
                        size_t before) {
  const auto& journal = worker.journal();
  for (size_t i = before; i < journal.size(); ++i) {
    ++starts_;
    if (!worker.IsLeaseLive()) {
      Report(worker.name() + " started a task without a lease.");
    }
    for (const worker_protocol::Order& order : answer.orders) {
      const auto* start = std::get_if<worker_protocol::StartOrder>(&order);
      if (start == nullptr || start->task != journal[i].task) {
        continue;
      }
      Trace(worker.name() + " starts " + ToText(start->task) + "#" +
            std::to_string(start->attempt.value()));
      const records::TaskClaimed claim{
          start->task,          start->attempt, worker.announcement().worker,
          worker.incarnation(), start->grant,   start->resumes};
      if (!auditor_.WasClaimed(start->token, claim)) {
        Report(worker.name() + " started " + ToText(start->task) +
               " without an accepted claim.");
      }
      if (!start->resumes.is_empty() &&
          ++resumes_[{start->task, start->resumes}] > 1) {
        Report("The checkpoint " + start->resumes.text() + " ran twice.");
      }
    }
  }
  CheckPlaces();
}

// An entry may only have a worker lapsed that it could not know to be heard.
void Region::OnWorkerLapsed(const records::ProposalId& author,
                            const records::WorkerLapsed& lapsed) {
  if (std::exchange(breaks_at_lapse_, false)) {
    LogFaults faults;
    faults.is_down = true;
    faults.lost_answers = 100;
    log_.SetFaults(faults);
    is_log_broken_ = true;
  }
  Trace(author.author.text() + " lapses " + lapsed.worker.text());
  const auto it = heard_.find({lapsed.worker, lapsed.incarnation});
  if (it == heard_.end()) {
    return;
  }
  const Heard& heard = it->second;
  const Instant now = timeline_.now();
  const bool is_heard = now - heard.last < kWorkerSuspicion / 2 &&
                        now - heard.since > 2 * kWorkerSuspicion;
  if (is_heard && disturbed_until_ < heard.since) {
    Report(author.author.text() + " had " + lapsed.worker.text() +
           " lapsed, which was heard all the time.");
  }
}

void Region::Check() {
  CheckPlaces();
  for (EntryProcess* entry : entries()) {
    CheckEntry(*entry);
  }
  EndDrained();
}

// By what the workers run. A suspended VM runs nothing.
void Region::CheckPlaces() {
  std::map<TaskId, std::string> places;
  for (const auto& worker : workers_) {
    if (!worker->is_awake()) {
      continue;
    }
    for (const standins::TaskRun& run : worker->journal()) {
      if (run.ended_at) {
        continue;
      }
      const auto [it, is_new] = places.emplace(run.task, worker->name());
      if (!is_new) {
        Report(ToText(run.task) + " runs on " + it->second + " and " +
               worker->name() + ".");
      }
    }
  }
}

void Region::CheckEntry(EntryProcess& entry) {
  const entry::RegionController& controller = entry.controller();
  if (!auditor_.IsDigest(controller.decisions().state().digest())) {
    Report(entry.name() + " has another digest at the same offset.");
  }
  const ConfigurationVersion version =
      controller.configuration().in_force().version;
  ConfigurationVersion& highest = versions_[&entry];
  if (version < highest) {
    Report("The configuration goes back at " + entry.name() + ".");
  }
  highest = std::max(highest, version);
  if (controller.is_superseded() && !entry.runner().is_paused()) {
    const std::string name = entry.name();
    Trace(name + " is superseded");
    entry.Crash();
    timeline_.At(timeline_.now() + kRestartDelay,
                 [this, name] { RestartEntry(name); });
  }
}

void Region::CheckEnforced(const worker_protocol::Heartbeat& heartbeat) {
  Resources enforced;
  for (const records::Runner& runner : heartbeat.announcement.runners) {
    enforced = enforced + runner.reserved;
  }
  for (const worker_protocol::AttemptReport& report : heartbeat.attempts) {
    if (!report.has_ended) {
      enforced = enforced + report.grant;
    }
  }
  if (!FitsIn(enforced, heartbeat.announcement.capacity)) {
    Report(heartbeat.announcement.worker.text() + " enforces " +
           ToText(enforced) + ".");
  }
}

// A drained worker is replaced.
void Region::EndDrained() {
  for (const auto& worker : workers_) {
    if (worker->is_running() && worker->is_draining() && worker->is_idle() &&
        !worker->is_paused()) {
      Trace(worker->name() + " has drained");
      worker->Crash();
      timeline_.At(timeline_.now() + kRestartDelay, [&worker = *worker] {
        if (!worker.is_running()) {
          worker.Start();
        }
      });
    }
  }
}

entry::RegionControllerSettings Region::SettingsFor(const EntryId& name) {
  static const peer_protocol::SharedKey key =
      *peer_protocol::SharedKey::FromSecret("a secret of these tests only");
  entry::RegionControllerSettings settings;
  const std::string number = name.text().substr(name.text().rfind('-') + 1);
  settings.self.entry = name;
  settings.self.incarnation = Incarnation(static_cast<uint64_t>(
      timeline_.event_time().wall.time_since_epoch().count()));
  settings.self.zone = ZoneId("zone-1");
  settings.self.http_address = "10.0.0." + number + ":80";
  settings.self.stream_address = "10.0.0." + number + ":81";
  settings.region = RegionId("region-1");
  settings.lease = RegionLeaseSettings();
  settings.queue.group_delay = milliseconds(5);
  settings.queue.append_interval = milliseconds(10);
  settings.reader.wait_milliseconds = 100;
  settings.placement.seed = random_();
  settings.placement.reclaim_pause = seconds(2);
  settings.placement.grant_change_interval = seconds(1);
  settings.membership.suspicion.minimum_timeout = kPeerSuspicion;
  settings.membership.suspicion.maximum_timeout = 4 * kPeerSuspicion;
  settings.membership.lapse_after = kPeerSuspicion;
  settings.membership.isolated_lapse_after = 6 * kPeerSuspicion;
  for (const auto& entry : all_entries_) {
    settings.membership.first_addresses.push_back(entry->self().stream_address);
  }
  settings.peer_key = key;
  settings.worker_suspicion = kWorkerSuspicion;
  settings.reassert_interval = seconds(2);
  settings.snapshot_interval = 200;
  settings.seed = random_();
  return settings;
}

}  // namespace papayadrift::test
